/** Test double for the weight store: limits how many loads start per second and run at full speed. */
import type { Clock } from "@linkfall/kernel";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { Mebibytes, Milliseconds } from "@linkfall/types";

const loadStartsPerSecond = 2;
const maxFullSpeedLoads = 8;
const millisecondsPerSecond = 1000;

/** Cancels a load; has no effect once the load has completed. */
export type CancelLoad = () => void;

/** A simulated weight store that engines load models from. */
export interface WeightStoreCore {
  /** Starts a load, calls `onLoaded` when it completes, and returns a function that cancels it. */
  load(sizeMb: Mebibytes, onLoaded: () => void): CancelLoad;
  /** Multiplies the duration of loads started from now on by `factor`. */
  setSlowdown(factor: number): void;
  /** Maximum number of concurrent loads. */
  peakConcurrentLoads(): number;
  /** Number of loads that the start rate limit delayed. */
  delayedLoads(): number;
}

/** Creates a store that transfers `mbPerSecond` per load, less when too many loads run. */
export function createWeightStoreCore(clock: Clock, mbPerSecond: number): WeightStoreCore {
  const bucket = createTokenBucket(clock, {
    rate: loadStartsPerSecond,
    burst: loadStartsPerSecond,
  });
  let activeLoads = 0;
  let peakLoads = 0;
  let delayedCount = 0;
  let slowdownFactor = 1;

  const startLoad = (sizeMb: Mebibytes, onLoaded: () => void): CancelLoad => {
    activeLoads += 1;
    peakLoads = Math.max(peakLoads, activeLoads);
    const contentionFactor = Math.max(1, activeLoads / maxFullSpeedLoads);
    const durationMs: Milliseconds =
      (sizeMb / mbPerSecond) * millisecondsPerSecond * contentionFactor * slowdownFactor;
    let ended = false;
    const end = () => {
      if (ended) return false;
      ended = true;
      activeLoads -= 1;
      return true;
    };
    clock.after(durationMs, () => {
      if (end()) onLoaded();
    });
    return () => void end();
  };
  return {
    load(sizeMb, onLoaded) {
      let cancel: CancelLoad = () => undefined;
      const tryStart = () => {
        if (bucket.take()) cancel = startLoad(sizeMb, onLoaded);
        else cancel = clock.after(bucket.msUntil(), tryStart);
      };
      if (bucket.msUntil() > 0) delayedCount += 1;
      tryStart();
      return () => cancel();
    },
    setSlowdown(factor) {
      slowdownFactor = factor;
    },
    peakConcurrentLoads: () => peakLoads,
    delayedLoads: () => delayedCount,
  };
}
