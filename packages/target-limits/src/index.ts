/**
 * Enforces the rate limits that targets announce for requests from all boxes together. One box allocates the permits of
 * each target; if every box enforced the limit on its own, the target would receive a multiple of it.
 */
import { type AllocationPeers, createDistributedAllocator } from "@linkfall/allocation";
import { type Clock, sleep } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { createExhaustedTargets } from "./exhausted-targets.js";
import {
  createLimitRegistry,
  type LimitRegistry,
  type TargetStartLookup,
} from "./limit-registry.js";
import type { PermitGrant, PermitRequest } from "./messages.js";
import { createPermitAllocator, minPerSecond } from "./permit-allocator.js";

export * from "./limit-registry.js";
export * from "./messages.js";
export { createPermitAllocator, type PermitAllocator } from "./permit-allocator.js";

/** Access to the other boxes. */
export interface PermitPeers extends AllocationPeers<PermitRequest, PermitGrant> {
  /** Fraction of each limit that this box may use while it is isolated. */
  ownShare(): number;
  /** Fraction of each limit that boxes without recent heartbeats may be using on their own. */
  silentShare(): number;
  /** Number of boxes that send requests. */
  boxCount(): number;
}

export interface TargetLimits extends LimitRegistry {
  /**
   * Waits for a permit to send one request. Resolves to false if none is available within the given time, or if the
   * permit has expired while waiting.
   */
  acquirePermit(target: string, withinMs: Milliseconds): Promise<boolean>;
  /** Whether a request that can wait this long is currently refused without asking the allocator. */
  isExhausted(target: string, withinMs: Milliseconds): boolean;
  /** Whether to consider this target along with unlimited ones, to check whether its limit still applies. */
  isProbeDue(target: string): boolean;
  /** Reserves the earliest retry time at one of the targets and returns the time until then. */
  retryAfterMs(targets: readonly string[]): Milliseconds;
  /** Handles a permit request from another box. */
  allocate(request: PermitRequest): Promise<PermitGrant>;
}

/** Minimum fraction of a limit that remains for connected boxes, however many are silent. */
const minConnectedShare = 0.5;
/** Permits used later than this are void, for example after the box was suspended. */
const permitExpiryMs: Milliseconds = 500;
/** Minimum time between two probes of a target by one box. */
const minProbeIntervalMs: Milliseconds = 2_000;
const millisecondsPerSecond = 1000;

const declinedGrant: PermitGrant = { granted: false, waitMs: 0, declined: true };

/** Creates the target limits of one box. */
export function createTargetLimits(
  clock: Clock,
  peers: PermitPeers,
  startOf: TargetStartLookup,
): TargetLimits {
  const registry = createLimitRegistry(clock, startOf);
  const exhausted = createExhaustedTargets(clock);
  const shared = createPermitAllocator(clock);
  /** Used while this box is isolated, with rates scaled to its own share. */
  const isolated = createPermitAllocator(clock);

  const connectedShare = () => Math.max(minConnectedShare, 1 - peers.silentShare());
  // The sender's limit may be older than the one known here.
  const withKnownLimit = (request: PermitRequest): PermitRequest => {
    return { ...request, perSecond: registry.limitOf(request.target) ?? request.perSecond };
  };
  const allocator = createDistributedAllocator(
    clock,
    peers,
    {
      grantShared: (request) => shared.grant(withKnownLimit(request), connectedShare()),
      correct: (request) => shared.correct(withKnownLimit(request), connectedShare()),
      toCorrection: (request, { granted }) => (granted ? request : undefined),
      grantIsolated: (request) => isolated.grant(request, peers.ownShare()),
      onDisconnected: isolated.reset,
      onReconnected: shared.reset,
      declinedGrant,
    },
    ({ target }) => target,
  );

  const rateOf = (target: string) => Math.max(minPerSecond, registry.limitOf(target) ?? 0);

  return {
    ...registry,
    async acquirePermit(target, withinMs) {
      const perSecond = registry.limitOf(target);
      if (perSecond === undefined) return true;
      const requestedAt = clock.elapsed();
      const { granted, waitMs } = await allocator.acquire({ target, perSecond, withinMs });
      if (!granted) {
        exhausted.recordRefusal(target, withinMs, waitMs);
        return false;
      }
      if (waitMs > 0) await sleep(clock, waitMs);
      return clock.elapsed() - requestedAt <= waitMs + permitExpiryMs;
    },
    isExhausted: exhausted.isExhausted,
    isProbeDue(target) {
      const intervalMs = (peers.boxCount() * millisecondsPerSecond) / rateOf(target);
      return registry.msSinceConfirmed(target) >= Math.max(minProbeIntervalMs, intervalMs);
    },
    retryAfterMs(targets) {
      const waits = targets.map((target) => ({ target, ms: exhausted.msUntilPermit(target) }));
      const [shortest] = waits.sort((left, right) => left.ms - right.ms);
      if (!shortest) return 0;
      exhausted.reserveRetry(shortest.target, rateOf(shortest.target));
      return shortest.ms;
    },
    allocate: allocator.allocate,
    forget(target) {
      registry.forget(target);
      exhausted.forget(target);
      shared.forget(target);
      isolated.forget(target);
    },
  };
}
