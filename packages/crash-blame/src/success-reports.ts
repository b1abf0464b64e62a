/** Counts what this box has served, and tells other boxes of it once that may clear a suspect. */
import type { Fingerprint, Incarnation, Milliseconds } from "@linkfall/types";
import { addServed, type BlameState, isSuspect, reportedServed } from "./blame-state.js";
import type { SharedTrait } from "./shared-trait.js";
import { createSuccessCounter } from "./success-counter.js";

export interface SuccessReports {
  /** Fingerprint of a trait. */
  idOf(service: string, trait: SharedTrait): Fingerprint;
  /** Requests with the suspect that this box and others have served, as far as they have said. */
  servedCount(suspect: Fingerprint): number;
  /** Requests with the suspect that this box has served. */
  ownCount(suspect: Fingerprint): number;
  /** Counts a served request with the trait. */
  recordTrait(service: string, trait: SharedTrait): Fingerprint;
  /** Counts and reports a served request if a target has crashed under it; returns whether that is news to other boxes. */
  recordRequest(request: Fingerprint): boolean;
  /** Reports what this box has served with the traits, as far as others need to know; returns whether there is news. */
  reportTraits(traits: Iterable<Fingerprint>): boolean;
}

/** Requests with a crash whose successes are counted; the oldest are forgotten. */
const maxCountedRequests = 10_000;
/** Crashes with a trait from which on boxes report how often they have served it. */
const minCrashesToReport = 2;
/** A count is reported again once it has grown by this factor. */
const reportGrowth = 1.5;
/** Other boxes' successes that suffice for each crash, so that this box need not report its own. */
const sufficientSuccessesPerCrash = 50;

/** Creates reports without counts; `self` is the incarnation of this box. */
export function createSuccessReports(
  state: BlameState,
  self: Incarnation,
  now: () => Milliseconds,
): SuccessReports {
  const counter = createSuccessCounter(now, (suspect) => isSuspect(state, suspect));
  const requestCounts = new Map<Fingerprint, number>();

  const ownCount = (suspect: Fingerprint) => requestCounts.get(suspect) ?? counter.countOf(suspect);
  const servedByOthers = (suspect: Fingerprint) => reportedServed(state, suspect, self);
  const crashesWith = (trait: Fingerprint): number =>
    [...state.crashes.values()].filter(({ shared }) => shared.has(trait)).length;
  const report = (suspect: Fingerprint): boolean => {
    const count = ownCount(suspect);
    const last = state.served.get(suspect)?.get(self)?.count ?? 0;
    if (count < Math.max(1, last * reportGrowth)) return false;
    return addServed(state, suspect, self, { count, at: now() });
  };
  const reportTrait = (trait: Fingerprint): boolean => {
    const crashes = crashesWith(trait);
    if (crashes < minCrashesToReport) return false;
    if (servedByOthers(trait) >= crashes * sufficientSuccessesPerCrash) return false;
    return report(trait);
  };

  return {
    idOf: counter.idOf,
    servedCount: (suspect) => ownCount(suspect) + servedByOthers(suspect),
    ownCount,
    recordTrait: counter.record,
    recordRequest(request) {
      if (!isSuspect(state, request)) return false;
      requestCounts.set(request, (requestCounts.get(request) ?? 0) + 1);
      if (requestCounts.size > maxCountedRequests)
        requestCounts.delete(requestCounts.keys().next().value ?? "");
      return report(request);
    },
    reportTraits: (traits) => [...new Set(traits)].filter(reportTrait).length > 0,
  };
}
