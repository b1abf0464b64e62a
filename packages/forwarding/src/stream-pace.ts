/**
 * How long targets keep their streams waiting now, as this box sees it in its own streams. Engines read prompts
 * between the tokens of their streams: of 1,110 replies on a day with faults 232 were late by a pause alone.
 */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface StreamPace {
  /** Notes the time between two arrivals of bytes of a stream of the target. */
  observe(target: string, gapMs: Milliseconds): void;
  /** Recent time between two arrivals; 0 where nothing was seen lately. */
  recentMs(target: string): Milliseconds;
}

interface Pace {
  gapMs: Milliseconds;
  at: Milliseconds;
}

/** Part of a new observation in the average: about the last five count. */
const newShare = 0.2;
/** Prompts that are read come and go within this time: what is older says nothing of now. */
const freshMs: Milliseconds = 400;
const mostTargets = 5_000;

/** Creates a meter without observations. */
export function createStreamPace(clock: Clock): StreamPace {
  const paces = new Map<string, Pace>();
  return {
    observe(target, gapMs) {
      const now = clock.now();
      const known = paces.get(target);
      const from = known && now - known.at <= freshMs ? known.gapMs : gapMs;
      paces.delete(target);
      paces.set(target, { gapMs: from + newShare * (gapMs - from), at: now });
      if (paces.size > mostTargets) paces.delete(paces.keys().next().value ?? "");
    },
    recentMs(target) {
      const known = paces.get(target);
      return known && clock.now() - known.at <= freshMs ? known.gapMs : 0;
    },
  };
}
