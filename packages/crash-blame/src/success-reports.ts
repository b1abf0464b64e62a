/** Counts what this box has served, and tells other boxes of it once that may clear a suspect. */
import type { Fingerprint, Incarnation, Milliseconds } from "@linkfall/types";
import { addServed, type BlameState, isSuspect, reportedServed } from "./blame-state.js";
import type { SharedTrait } from "./shared-trait.js";
import { createCrashWeights } from "./crash-weights.js";
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
  /** Counts and reports a served request if a target has crashed under it. */
  recordRequest(request: Fingerprint): ReportNews;
  /** Reports what this box has served with the traits, as far as others need to know. */
  reportTraits(traits: Iterable<Fingerprint>): ReportNews;
  /** Whether one of the requests may soon be held and a success with it that was reported a moment ago may not have been sent. */
  hasUnsentRequest(requests: Iterable<Fingerprint>): boolean;
}

/**
 * What others learn from a report: nothing; that this box has served more with a suspect than it had reported; or that it has
 * served anything at all with one that may soon be held, which may clear it.
 */
export type ReportNews = "none" | "more" | "first";

/** Requests with a crash whose successes are counted; the oldest are forgotten. */
const maxCountedRequests = 10_000;
/** Crashes with a trait from which on boxes report how often they have served it. */
const minCrashesToReport = 2;
/**
 * Weight of the crashes with a trait from which on boxes report it. A suspect is doubted from 1.6 on if it has never been
 * served; when many targets crash at once, each crash weighs so little that few of the parts lost with them get there.
 */
const minWeightToReport = 1;
/** Reports are sent with the next regular heartbeat, which follows within this time. */
const unsentMs: Milliseconds = 1_000;
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
  const weights = createCrashWeights(state);
  const requestCounts = new Map<Fingerprint, number>();

  const ownCount = (suspect: Fingerprint) => requestCounts.get(suspect) ?? counter.countOf(suspect);
  const servedByOthers = (suspect: Fingerprint) => reportedServed(state, suspect, self);
  const crashesWith = (suspect: Fingerprint): number =>
    state.crashesBySuspect.get(suspect)?.size ?? 0;
  const mayBeHeld = (suspect: Fingerprint): boolean =>
    crashesWith(suspect) >= minCrashesToReport && weights.weightOf(suspect) >= minWeightToReport;
  const report = (suspect: Fingerprint): ReportNews => {
    const count = ownCount(suspect);
    const last = state.served.get(suspect)?.get(self)?.count ?? 0;
    if (count < Math.max(1, last * reportGrowth)) return "none";
    if (!addServed(state, suspect, self, { count, at: now() })) return "none";
    return last === 0 && mayBeHeld(suspect) ? "first" : "more";
  };
  const reportTrait = (trait: Fingerprint): ReportNews => {
    if (!mayBeHeld(trait)) return "none";
    if (servedByOthers(trait) >= crashesWith(trait) * sufficientSuccessesPerCrash) return "none";
    return report(trait);
  };

  return {
    idOf: counter.idOf,
    servedCount: (suspect) => ownCount(suspect) + servedByOthers(suspect),
    ownCount,
    recordTrait: counter.record,
    recordRequest(request) {
      if (!isSuspect(state, request)) return "none";
      requestCounts.set(request, (requestCounts.get(request) ?? 0) + 1);
      if (requestCounts.size > maxCountedRequests)
        requestCounts.delete(requestCounts.keys().next().value ?? "");
      return report(request);
    },
    reportTraits(traits) {
      const news = [...new Set(traits)].map(reportTrait);
      if (news.includes("first")) return "first";
      return news.includes("more") ? "more" : "none";
    },
    hasUnsentRequest(requests) {
      for (const request of requests) {
        const reportedAt = state.served.get(request)?.get(self)?.at ?? -Infinity;
        if (now() - reportedAt < unsentMs && mayBeHeld(request)) return true;
      }
      return false;
    },
  };
}
