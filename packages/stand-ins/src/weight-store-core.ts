/** A stand-in for the weight store: about two loads begin a second, eight run at full speed. */
import type { Clock } from "@linkfall/kernel";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { Mebibytes, Milliseconds } from "@linkfall/types";

const startsPerSecond = 2;
const fullSpeedLoads = 8;
const millisecondsPerSecond = 1000;

export interface WeightStoreCore {
  /** Begins a load; `done` is called when the weights are there. */
  load(sizeMb: Mebibytes, done: () => void): void;
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

  const run = (sizeMb: Mebibytes, done: () => void) => {
    active += 1;
    peak = Math.max(peak, active);
    const slowing = Math.max(1, active / fullSpeedLoads);
    const time: Milliseconds = (sizeMb / mbPerSecond) * millisecondsPerSecond * slowing;
    clock.after(time, () => {
      active -= 1;
      done();
    });
  };
  const begin = (sizeMb: Mebibytes, done: () => void) => {
    if (bucket.take()) return run(sizeMb, done);
    clock.after(bucket.waitFor(), () => begin(sizeMb, done));
  };
  return {
    load(sizeMb, done) {
      if (bucket.waitFor() > 0) waited += 1;
      begin(sizeMb, done);
    },
    peak: () => peak,
    waited: () => waited,
  };
}
