/** How much the crashes with a suspect weigh at most, whatever has been served with it. */
import type { Fingerprint } from "@linkfall/types";
import type { BlameState } from "./blame-state.js";
import { createCrashTimes, type CrashTimes } from "./crash-times.js";
import { instantMs } from "./judge.js";
import type { TargetCrash } from "./target-crash.js";

export interface CrashWeights {
  /** Sum over the suspect's crashes, each divided by the number of crashes of its instant. */
  weightOf(suspect: Fingerprint): number;
}

/** Traits of the crashes that happened at the same instant as those of a suspect, which weigh more once it is held. */
export function traitsBeside(state: BlameState, suspect: Fingerprint): readonly Fingerprint[] {
  const keys = [...(state.crashesBySuspect.get(suspect) ?? [])];
  const times = keys.flatMap((key) => state.crashes.get(key)?.at ?? []);
  const isBeside = ({ at }: TargetCrash) => times.some((time) => Math.abs(at - time) <= instantMs);
  return [...state.crashes.values()].filter(isBeside).flatMap(({ shared }) => [...shared.keys()]);
}

/** Creates weights that follow the state. */
export function createCrashWeights(state: BlameState): CrashWeights {
  let knownChanges = -1;
  const timesByService = new Map<string, CrashTimes>();

  /** Times of the crashes that nothing held explains; the others could cease to count as simultaneous ones. */
  const timesOf = (service: string): CrashTimes => {
    if (knownChanges !== state.decisiveChanges) {
      timesByService.clear();
      knownChanges = state.decisiveChanges;
    }
    const known = timesByService.get(service);
    if (known) return known;
    const explained = new Set<string>();
    for (const { request, held } of state.held.values()) {
      if (!held) continue;
      for (const key of state.crashesBySuspect.get(request) ?? []) explained.add(key);
    }
    const crashes = [...state.crashes]
      .filter(([key, crash]) => crash.service === service && !explained.has(key))
      .map(([, crash]) => crash)
      .sort((left, right) => left.at - right.at);
    const times = createCrashTimes(crashes, 1);
    timesByService.set(service, times);
    return times;
  };

  return {
    weightOf(suspect) {
      let sum = 0;
      for (const key of state.crashesBySuspect.get(suspect) ?? []) {
        const crash = state.crashes.get(key);
        if (!crash) continue;
        const { at, service } = crash;
        sum += 1 / Math.max(1, timesOf(service).countWithin(at - instantMs, at + instantMs));
      }
      return sum;
    },
  };
}
