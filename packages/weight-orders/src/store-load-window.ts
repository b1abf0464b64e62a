/** Limits the rate of weight store loads over a sliding window. */
import type { Milliseconds } from "@linkfall/types";

export interface StoreLoadWindow {
  /** Returns the number of loads that may start now. */
  remaining(perSecond: number, now: Milliseconds): number;
  record(now: Milliseconds): void;
  /** Removes the last recorded load, which was refused. */
  removeLast(): void;
  /** Marks the window as full: the previous lease holder may have just started loads. */
  assumeFull(perSecond: number, now: Milliseconds): void;
}

const windowMs: Milliseconds = 5_000;
const millisecondsPerSecond = 1000;

export function createStoreLoadWindow(): StoreLoadWindow {
  let startTimes: Milliseconds[] = [];
  const maxLoads = (perSecond: number) =>
    Math.max(1, Math.floor((perSecond * windowMs) / millisecondsPerSecond));
  return {
    remaining(perSecond, now) {
      startTimes = startTimes.filter((startedAt) => now - startedAt < windowMs);
      return maxLoads(perSecond) - startTimes.length;
    },
    record: (now) => void startTimes.push(now),
    removeLast: () => void startTimes.pop(),
    assumeFull(perSecond, now) {
      // Spreads the assumed loads evenly over the window.
      const count = maxLoads(perSecond);
      startTimes = Array.from({ length: count }, (_, index) => now - (index * windowMs) / count);
    },
  };
}
