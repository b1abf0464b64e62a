/**
 * This pool's part of the weight store. After a takeover the loads that the former holder may still
 * have under way on engines that cannot be asked are counted too, for as long as a load may take.
 */
import type { Clock } from "@linkfall/kernel";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { EngineReport, Milliseconds, Order, Pool } from "@linkfall/types";

export interface StoreLoadLimiter {
  /** Takes a slot for one more load if there is one. */
  tryAcquire(pool: Pool, underWay: number): boolean;
}

/** Loads that an engine shows, and load orders that may still start there. */
export function countActiveLoads(report: EngineReport, open: readonly Order[]): number {
  const loading = report.residents.filter((resident) => resident.state === "loading");
  const shown = new Set(loading.map((resident) => resident.artifact));
  const coming = open.filter((order) => order.kind === "load" && !shown.has(order.artifact));
  return loading.length + coming.length;
}

/** Creates the slots of one session; its rate starts from nothing, since the former holder's is not known. */
export function createStoreLoadLimiter(clock: Clock, pool: Pool): StoreLoadLimiter {
  const burst = (limits: Pool) => Math.max(1, Math.floor(limits.loadsPerSecond));
  const bucket = createTokenBucket(clock, { rate: pool.loadsPerSecond, burst: burst(pool) }, 0);
  return {
    tryAcquire(current, underWay) {
      bucket.setLimits({ rate: current.loadsPerSecond, burst: burst(current) });
      return underWay < current.loadsAtOnce && bucket.take();
    },
  };
}

/** Whether an engine that is silent since the takeover may still be loading for the former holder. */
export function mayStillLoad(
  takenAt: Milliseconds,
  loadTimeout: Milliseconds,
  now: Milliseconds,
): boolean {
  return now - takenAt < loadTimeout;
}
