/**
 * Limits that targets name: what they take from all boxes together. One box hands out the permits of each target, since
 * boxes that keep a limit each for itself send it as many times over as there are boxes.
 */
import { type AllocationPeers, createDistributedAllocator } from "@linkfall/allocation";
import { type Clock, sleep } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { createExhaustedTargets } from "./closed-targets.js";
import { type TargetStartLookup, createLimitRegistry, type LimitRegistry } from "./limit-book.js";
import type { PermitRequest, PermitGrant } from "./messages.js";
import { createPermitAllocator, minPerSecond } from "./permit-allocator.js";

export * from "./limit-book.js";
export * from "./messages.js";
export { createPermitAllocator, type PermitAllocator } from "./permit-allocator.js";

/** The other boxes, as far as the limits of targets need them. */
export interface PermitPeers extends AllocationPeers<PermitRequest, PermitGrant> {
  /** Part of each limit that is this box's own while it is cut off. */
  ownShare(): number;
  /** Parts of the boxes that are silent, and may be sending by their own parts. */
  silentShare(): number;
  /** Boxes that send requests. */
  boxCount(): number;
}

export interface TargetLimits extends LimitRegistry {
  /** Waits for a permit to send one request; false where there is none within that time, or it has lapsed meanwhile. */
  acquirePermit(target: string, withinMs: Milliseconds): Promise<boolean>;
  /** Whether a request that can wait so long is known to get no permit now. */
  isExhausted(target: string, withinMs: Milliseconds): boolean;
  /** Whether the target is to be tried although others are there, to learn whether its limit still holds. */
  isProbeDue(target: string): boolean;
  /** When a request that gets no permit at these targets may come back; each one behind the one before it. */
  retryAfterMs(targets: readonly string[]): Milliseconds;
  /** Hands out a permit to another box that has asked. */
  allocate(ask: PermitRequest): Promise<PermitGrant>;
}

/** However many boxes are silent, this part of a limit is left to those that are not. */
const leastConnectedPart = 0.5;
/** A permit that is taken later than this is lost: this box may have slept meanwhile. */
const lapsesMs: Milliseconds = 500;
/** A target is not tried more often than this by one box. */
const leastTrialMs: Milliseconds = 2_000;
const millisecondsPerSecond = 1000;

const declined: PermitGrant = { granted: false, waitMs: 0, declined: true };

/** Creates the limits as one box keeps them. */
export function createTargetLimits(
  clock: Clock,
  peers: PermitPeers,
  bornOf: TargetStartLookup,
): TargetLimits {
  const book = createLimitRegistry(clock, bornOf);
  const closed = createExhaustedTargets(clock);
  const shared = createPermitAllocator(clock);
  /** Used while this box is cut off; its rates are a part of the limits. */
  const alone = createPermitAllocator(clock);

  const allocation = createDistributedAllocator(
    clock,
    peers,
    {
      grantShared(ask) {
        // Boxes that ask may have older words of the target than this one.
        const perSecond = book.limitOf(ask.target) ?? ask.perSecond;
        const part = Math.max(leastConnectedPart, 1 - peers.silentShare());
        return shared.grant({ ...ask, perSecond }, part);
      },
      grantIsolated: (ask) => alone.grant(ask, peers.ownShare()),
      onDisconnected: alone.reset,
      onReconnected: shared.reset,
      declinedGrant: declined,
    },
    ({ target }) => target,
  );

  const rateOf = (target: string) => Math.max(minPerSecond, book.limitOf(target) ?? 0);

  return {
    ...book,
    async acquirePermit(target, withinMs) {
      const perSecond = book.limitOf(target);
      if (perSecond === undefined) return true;
      const askedAt = clock.elapsed();
      const { granted, waitMs } = await allocation.acquire({ target, perSecond, withinMs });
      if (!granted) {
        closed.recordRefusal(target, withinMs, waitMs);
        return false;
      }
      if (waitMs > 0) await sleep(clock, waitMs);
      return clock.elapsed() - askedAt <= waitMs + lapsesMs;
    },
    isExhausted: closed.isExhausted,
    isProbeDue(target) {
      const everyMs = (peers.boxCount() * millisecondsPerSecond) / rateOf(target);
      return book.msSinceConfirmed(target) >= Math.max(leastTrialMs, everyMs);
    },
    retryAfterMs(targets) {
      const due = targets.map((target) => ({ target, ms: closed.msUntilPermit(target) }));
      const [soonest] = due.sort((left, right) => left.ms - right.ms);
      if (!soonest) return 0;
      closed.reserveRetry(soonest.target, rateOf(soonest.target));
      return soonest.ms;
    },
    allocate: allocation.allocate,
    forget(target) {
      book.forget(target);
      closed.forget(target);
      shared.forget(target);
      alone.forget(target);
    },
  };
}
