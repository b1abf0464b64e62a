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
  /** Longest time between two arrivals in the last while; 0 where nothing was seen. */
  longestMs(target: string): Milliseconds;
}

interface Pace {
  readonly gapMs: Milliseconds;
  readonly at: Milliseconds;
  /** When the present span began. */
  readonly spanFrom: Milliseconds;
  /** Longest gap of the present span, and of the one before. */
  readonly longestMs: Milliseconds;
  readonly longestBeforeMs: Milliseconds;
}

/** Part of a new observation in the average: about the last five count. */
const newShare = 0.2;
/** Prompts that are read come and go within this time: what is older says nothing of now. */
const freshMs: Milliseconds = 400;
/** The longest gap is kept for one to two spans: bursts of prompts come again within seconds. */
const spanMs: Milliseconds = 5_000;
const mostTargets = 5_000;

/** The longest gaps once a gap has been seen. */
function longestAfter(known: Pace | undefined, gapMs: Milliseconds, now: Milliseconds) {
  const age = known ? now - known.spanFrom : Infinity;
  if (known && age < spanMs) return { ...known, longestMs: Math.max(known.longestMs, gapMs) };
  const longestBeforeMs = known && age < spanMs * 2 ? known.longestMs : 0;
  return { spanFrom: now, longestMs: gapMs, longestBeforeMs };
}

/** Creates a meter without observations. */
export function createStreamPace(clock: Clock): StreamPace {
  const paces = new Map<string, Pace>();
  return {
    observe(target, gapMs) {
      const now = clock.now();
      const known = paces.get(target);
      const from = known && now - known.at <= freshMs ? known.gapMs : gapMs;
      paces.delete(target);
      const averageMs = from + newShare * (gapMs - from);
      paces.set(target, { ...longestAfter(known, gapMs, now), gapMs: averageMs, at: now });
      if (paces.size > mostTargets) paces.delete(paces.keys().next().value ?? "");
    },
    recentMs(target) {
      const known = paces.get(target);
      return known && clock.now() - known.at <= freshMs ? known.gapMs : 0;
    },
    longestMs(target) {
      const known = paces.get(target);
      if (!known || clock.now() - known.spanFrom >= spanMs * 2) return 0;
      return Math.max(known.longestMs, known.longestBeforeMs);
    },
  };
}
