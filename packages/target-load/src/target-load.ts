/** This box's own requests at each target, and the speed that it has seen there. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { type Milliseconds, parseRetryAfter } from "@linkfall/types";
import { createEjection, type Ejection } from "./ejection.js";

/** A report shows what was sent this long before it was asked for; later requests are added. */
const reportLagMs: Milliseconds = 500;
const smoothing = 0.1;
const initialServiceMs: Milliseconds = 1_000;
const initialTokensPerSecond = 30;
const millisecondsPerSecond = 1000;

/** How a request at a target ended. */
export interface CompletedRequest {
  readonly durationMs: Milliseconds;
  /** Output tokens, 0 for a plain service. */
  readonly outputTokens: number;
}

interface TargetStats {
  inFlight: number;
  sentAt: Milliseconds[];
  serviceMs: Milliseconds;
  tokensPerSecond: number;
}

export interface TargetLoad {
  /** Notes a request that is about to be sent. */
  requestSent(target: string): void;
  /** Notes that it ended; `end` only when it was answered whole. */
  requestEnded(target: string, end: CompletedRequest | undefined): void;
  /** Own requests that a report asked for at `requestedAt` may not show. */
  unreportedRequests(target: string, requestedAt: Milliseconds): number;
  inFlight(target: string): number;
  meanServiceMs(target: string): Milliseconds;
  /** Tokens a second of one stream. */
  streamTokensPerSecond(target: string): number;
  /** Notes a failure that is the target's fault. */
  recordFailure(target: string): void;
  /** Notes what a target that turned a request away says of when to come back; nothing where it says nothing. */
  recordRefusal(target: string, retryAfter: string | undefined): void;
  ejection(): Ejection;
}

export const targetLoadName = serviceName<TargetLoad>("target-load");

/** Creates the record of one box. */
export function createTargetLoad(kernel: Kernel): TargetLoad {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const settings = kernel.find(settingsName).targets;
  const ejection = createEjection(settings.eject_ms, settings.eject_share);
  const statsByTarget = new Map<string, TargetStats>();
  const sentHistoryMs = settings.report_stale_ms;

  const statsOf = (target: string): TargetStats => {
    const known = statsByTarget.get(target);
    if (known) return known;
    const fresh = {
      inFlight: 0,
      sentAt: [],
      serviceMs: initialServiceMs,
      tokensPerSecond: initialTokensPerSecond,
    };
    statsByTarget.set(target, fresh);
    return fresh;
  };

  const updateAverages = (record: TargetStats, end: CompletedRequest) => {
    record.serviceMs += smoothing * (end.durationMs - record.serviceMs);
    if (end.outputTokens === 0 || end.durationMs === 0) return;
    const rate = (end.outputTokens * millisecondsPerSecond) / end.durationMs;
    record.tokensPerSecond += smoothing * (rate - record.tokensPerSecond);
  };

  return {
    requestSent(target) {
      const record = statsOf(target);
      const now = clock.now();
      record.inFlight += 1;
      record.sentAt = record.sentAt.filter((at) => now - at < sentHistoryMs);
      record.sentAt.push(now);
    },
    requestEnded(target, end) {
      const record = statsOf(target);
      record.inFlight -= 1;
      if (!end) return;
      updateAverages(record, end);
      ejection.recordSuccess(target);
    },
    unreportedRequests(target, requestedAt) {
      const record = statsByTarget.get(target);
      if (!record) return 0;
      const since = requestedAt - reportLagMs;
      return Math.min(record.inFlight, record.sentAt.filter((at) => at > since).length);
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
