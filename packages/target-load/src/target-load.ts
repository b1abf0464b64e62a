/** Tracks this box's own requests at each target and the service times observed there. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { type Milliseconds, parseRetryAfter } from "@linkfall/types";
import { createEjection, type Ejection } from "./ejection.js";

/** Requests sent less than this before a report was requested may be missing from it. */
const reportLagMs: Milliseconds = 500;
const smoothing = 0.1;
const initialServiceMs: Milliseconds = 1_000;
const initialTokensPerSecond = 30;
const millisecondsPerSecond = 1000;

/** Duration and output of a completed request. */
export interface CompletedRequest {
  readonly durationMs: Milliseconds;
  /** Number of generated tokens; 0 for a plain service. */
  readonly outputTokens: number;
}

interface TargetStats {
  inFlight: number;
  sentAt: Milliseconds[];
  serviceMs: Milliseconds;
  tokensPerSecond: number;
}

export interface TargetLoad {
  /** Counts a request that is about to be sent. */
  requestSent(target: string): void;
  /** Counts the end of a request; `completed` is undefined if it had no complete response. */
  requestEnded(target: string, completed: CompletedRequest | undefined): void;
  /** Number of this box's requests that a report requested at `requestedAt` may not include. */
  unreportedRequests(target: string, requestedAt: Milliseconds): number;
  inFlight(target: string): number;
  /** Smoothed duration of a request. */
  meanServiceMs(target: string): Milliseconds;
  /** Smoothed generation rate of one stream. */
  streamTokensPerSecond(target: string): number;
  /** Counts a failure that was caused by the target. */
  recordFailure(target: string): void;
  /** Applies the Retry-After header of a refusal, if there is one, as a back-off. */
  recordRefusal(target: string, retryAfter: string | undefined): void;
  ejection(): Ejection;
}

export const targetLoadName = serviceName<TargetLoad>("target-load");

/** Creates the load tracking of one box. */
export function createTargetLoad(kernel: Kernel): TargetLoad {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const settings = kernel.find(settingsName).targets;
  const ejection = createEjection(settings.eject_ms, settings.eject_share);
  const statsByTarget = new Map<string, TargetStats>();
  const sentHistoryMs = settings.report_stale_ms;

  const statsOf = (target: string): TargetStats => {
    const existing = statsByTarget.get(target);
    if (existing) return existing;
    const created = {
      inFlight: 0,
      sentAt: [],
      serviceMs: initialServiceMs,
      tokensPerSecond: initialTokensPerSecond,
    };
    statsByTarget.set(target, created);
    return created;
  };

  const updateAverages = (stats: TargetStats, completed: CompletedRequest) => {
    stats.serviceMs += smoothing * (completed.durationMs - stats.serviceMs);
    if (completed.outputTokens === 0 || completed.durationMs === 0) return;
    const rate = (completed.outputTokens * millisecondsPerSecond) / completed.durationMs;
    stats.tokensPerSecond += smoothing * (rate - stats.tokensPerSecond);
  };

  return {
    requestSent(target) {
      const stats = statsOf(target);
      const now = clock.now();
      stats.inFlight += 1;
      stats.sentAt = stats.sentAt.filter((at) => now - at < sentHistoryMs);
      stats.sentAt.push(now);
    },
    requestEnded(target, completed) {
      const stats = statsOf(target);
      stats.inFlight -= 1;
      if (!completed) return;
      updateAverages(stats, completed);
      ejection.recordSuccess(target);
    },
    unreportedRequests(target, requestedAt) {
      const stats = statsByTarget.get(target);
      if (!stats) return 0;
      const since = requestedAt - reportLagMs;
      return Math.min(stats.inFlight, stats.sentAt.filter((at) => at > since).length);
    },
    inFlight: (target) => statsByTarget.get(target)?.inFlight ?? 0,
    meanServiceMs: (target) => statsOf(target).serviceMs,
    streamTokensPerSecond: (target) => statsOf(target).tokensPerSecond,
    recordFailure(target) {
      if (ejection.recordFailure(target, clock.now())) logger.event("targetEjected", { target });
    },
    recordRefusal(target, retryAfter) {
      const forMs = parseRetryAfter(retryAfter);
      if (forMs !== undefined) ejection.backOff(target, forMs, clock.now());
    },
    ejection: () => ejection,
  };
}
