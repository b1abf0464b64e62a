/**
 * Limits the rate and concurrency of a pool's loads from the weight store. After a change of lease
 * holder, loads of the previous one on unreachable engines are counted until they time out.
 */
import type { Clock } from "@linkfall/kernel";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { EngineReport, Milliseconds, Order, Pool } from "@linkfall/types";

export interface StoreLoadLimiter {
  /** Returns whether another load may start, and counts it against the limit. */
  tryAcquire(pool: Pool, activeLoads: number): boolean;
}

/** Counts the loads that an engine reports, and pending load orders that may still start. */
export function countActiveLoads(report: EngineReport, openOrders: readonly Order[]): number {
  const loading = report.residents.filter((resident) => resident.state === "loading");
  const reportedArtifacts = new Set(loading.map((resident) => resident.artifact));
  const pendingOrders = openOrders.filter(
    (order) => order.kind === "load" && !reportedArtifacts.has(order.artifact),
  );
  return loading.length + pendingOrders.length;
}

/**
 * Creates the limiter of a session. Its bucket starts empty, since the previous lease holder's rate
 * is unknown.
 */
export function createStoreLoadLimiter(clock: Clock, pool: Pool): StoreLoadLimiter {
  const burstOf = (limits: Pool) => Math.max(1, Math.floor(limits.loadsPerSecond));
  const bucket = createTokenBucket(clock, { rate: pool.loadsPerSecond, burst: burstOf(pool) }, 0);
  return {
    tryAcquire(current, activeLoads) {
      bucket.setLimits({ rate: current.loadsPerSecond, burst: burstOf(current) });
      return activeLoads < current.loadsAtOnce && bucket.take();
    },
  };
}

/**
 * Returns whether an engine that has not reported in this session may still run a load of the
 * previous lease holder.
 */
export function mayStillLoad(
  sessionStartedAt: Milliseconds,
  loadTimeoutMs: Milliseconds,
  now: Milliseconds,
): boolean {
  return now - sessionStartedAt < loadTimeoutMs;
}
