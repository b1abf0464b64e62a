/**
 * Determines the expiry of leases by this box's own clock. The holder counts from before it sent the record, a competing box
 * from when it read the record, which makes the holder always stop first. The holder's times include suspensions of the
 * machine (`elapsed`), those of competing boxes don't (`now`).
 */
import type { Lease } from "@linkfall/state-fold";
import type { Epoch, Milliseconds, Offset } from "@linkfall/types";

/** Expiry of leases as seen by one box. */
export interface LeaseClock {
  /** Records that a claim or renewal of this box was sent at `sentAt` or later. */
  recordSent(epoch: Epoch, sentAt: Milliseconds): void;
  /** Records that a claim or renewal was read. */
  recordRead(lease: Lease, now: Milliseconds): void;
  /** Whether this box's own lease is still valid. */
  isHeld(lease: Lease, elapsed: Milliseconds): boolean;
  /** Whether the lease of another box has been released, or has expired by more than the margin. */
  hasExpired(lease: Lease, marginMs: Milliseconds, now: Milliseconds): boolean;
}

/** When the newest record of a lease was read. */
interface LeaseRead {
  readonly touched: Offset;
  readonly readAt: Milliseconds;
}

/** Creates a clock without leases. */
export function createLeaseClock(): LeaseClock {
  const sentAt = new Map<Epoch, Milliseconds>();
  const reads = new Map<string, LeaseRead>();
  return {
    recordSent(epoch, time) {
      sentAt.set(epoch, Math.max(time, sentAt.get(epoch) ?? -Infinity));
    },
    recordRead(lease, now) {
      if (reads.get(lease.pool)?.touched === lease.touched) return;
      reads.set(lease.pool, { touched: lease.touched, readAt: now });
    },
    isHeld(lease, elapsed) {
      const start = sentAt.get(lease.epoch);
      return start !== undefined && !lease.released && elapsed < start + lease.leaseMs;
    },
    hasExpired(lease, marginMs, now) {
      if (lease.released) return true;
      const lastRead = reads.get(lease.pool);
      if (lastRead?.touched !== lease.touched) return false;
      return now > lastRead.readAt + lease.leaseMs + marginMs;
    },
  };
}
