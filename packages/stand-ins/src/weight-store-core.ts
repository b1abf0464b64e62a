/** A stand-in for the weight store: about two loads begin a second, eight run at full speed. */
import type { Clock } from "@linkfall/kernel";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { Mebibytes, Milliseconds } from "@linkfall/types";

const loadStartsPerSecond = 2;
const maxFullSpeedLoads = 8;
const millisecondsPerSecond = 1000;

/** Ends a load whose engine no longer wants it. */
export type CancelLoad = () => void;

export interface WeightStoreCore {
  /** Begins a load; `done` is called when the weights are there. The answer ends it early. */
  load(sizeMb: Mebibytes, onLoaded: () => void): CancelLoad;
  /** Makes loads that begin from now on take so many times as long. */
  setSlowdown(factor: number): void;
  /** Most loads that ran at once. */
  peakConcurrentLoads(): number;
  /** Loads that had to wait for their turn. */
  delayedLoads(): number;
}

/** Creates a store that gives `mbPerSecond` to each load. */
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
    load(sizeMb, done) {
      let cancel: CancelLoad = () => undefined;
      const tryStart = () => {
        if (bucket.take()) cancel = startLoad(sizeMb, done);
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
