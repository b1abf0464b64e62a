/** A stand-in for the weight store: about two loads begin a second, eight run at full speed. */
import type { Clock } from "@linkfall/kernel";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { Mebibytes, Milliseconds } from "@linkfall/types";

const startsPerSecond = 2;
const fullSpeedLoads = 8;
const millisecondsPerSecond = 1000;

/** Ends a load whose engine no longer wants it. */
export type CancelLoad = () => void;

export interface WeightStoreCore {
  /** Begins a load; `done` is called when the weights are there. The answer ends it early. */
  load(sizeMb: Mebibytes, done: () => void): CancelLoad;
  /** Makes loads that begin from now on take so many times as long. */
  slow(factor: number): void;
  /** Most loads that ran at once. */
  peak(): number;
  /** Loads that had to wait for their turn. */
  waited(): number;
}

/** Creates a store that gives `mbPerSecond` to each load. */
export function createWeightStoreCore(clock: Clock, mbPerSecond: number): WeightStoreCore {
  const bucket = createTokenBucket(clock, { rate: startsPerSecond, burst: startsPerSecond });
  let active = 0;
  let peak = 0;
  let waited = 0;
  let slowness = 1;

  const run = (sizeMb: Mebibytes, done: () => void): CancelLoad => {
    active += 1;
    peak = Math.max(peak, active);
    const slowing = Math.max(1, active / fullSpeedLoads);
    const time: Milliseconds = (sizeMb / mbPerSecond) * millisecondsPerSecond * slowing * slowness;
    let ended = false;
    const end = () => {
      if (ended) return false;
      ended = true;
      active -= 1;
      return true;
    };
    clock.after(time, () => {
      if (end()) done();
    });
    return () => void end();
  };
  return {
    load(sizeMb, done) {
      let cancel: CancelLoad = () => undefined;
      const begin = () => {
        if (bucket.take()) cancel = run(sizeMb, done);
        else cancel = clock.after(bucket.msUntil(), begin);
      };
      if (bucket.msUntil() > 0) waited += 1;
      begin();
      return () => cancel();
    },
    slow(factor) {
      slowness = factor;
    },
    peak: () => peak,
    waited: () => waited,
  };
}
