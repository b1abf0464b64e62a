/**
 * How long leases last by this box's own clock. A holder counts from before it sent the record, a rival from when it
 * read it, so the holder always stops first. The holder's times count suspensions (`elapsed`), the rival's don't (`now`).
 */
import type { Lease } from "@linkfall/state-fold";
import type { Epoch, Milliseconds, Offset } from "@linkfall/types";

export interface LeaseClock {
  /** Notes that the record at `offset` of a lease of this box was sent no earlier than `sentAt`. */
  recordSent(epoch: Epoch, sentAt: Milliseconds): void;
  /** Notes that a claim or a renewal was read. */
  recordRead(lease: Lease, now: Milliseconds): void;
  /** Whether this box may still act under its own lease. */
  isHeld(lease: Lease, elapsed: Milliseconds): boolean;
  /** Whether a rival may claim the lease of another box. */
  hasExpired(lease: Lease, margin: Milliseconds, now: Milliseconds): boolean;
}

interface LeaseRead {
  readonly touched: Offset;
  readonly at: Milliseconds;
}

/** Creates a clock that knows no lease. */
export function createLeaseClock(): LeaseClock {
  const sentAt = new Map<Epoch, Milliseconds>();
  const readAt = new Map<string, LeaseRead>();
  return {
    recordSent(epoch, at) {
      sentAt.set(epoch, Math.max(at, sentAt.get(epoch) ?? -Infinity));
    },
    recordRead(lease, now) {
      if (readAt.get(lease.pool)?.touched === lease.touched) return;
      readAt.set(lease.pool, { touched: lease.touched, at: now });
    },
    isHeld(lease, elapsed) {
      const start = sentAt.get(lease.epoch);
      return start !== undefined && !lease.released && elapsed < start + lease.leaseMs;
    },
    hasExpired(lease, margin, now) {
      if (lease.released) return true;
      const mark = readAt.get(lease.pool);
      if (mark?.touched !== lease.touched) return false;
      return now > mark.at + lease.leaseMs + margin;
    },
  };
}
