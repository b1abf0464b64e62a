/** This box's own requests at each target, and the speed that it has seen there. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { type Milliseconds, parseRetryAfter } from "@linkfall/types";
import { createEjection, type Ejection } from "./ejection.js";

/** A report shows what was sent this long before it was asked for; later requests are added. */
const reportLagMs: Milliseconds = 500;
const smoothing = 0.1;
const firstServiceMs: Milliseconds = 1_000;
const firstTokensPerSecond = 30;
const millisecondsPerSecond = 1000;

/** How a request at a target ended. */
export interface RequestEnd {
  readonly ranMs: Milliseconds;
  /** Output tokens, 0 for a plain service. */
  readonly tokens: number;
}

interface TargetRecord {
  inFlight: number;
  sentAt: Milliseconds[];
  serviceMs: Milliseconds;
  tokensPerSecond: number;
}

export interface TargetLoad {
  /** Notes a request that is about to be sent. */
  sent(target: string): void;
  /** Notes that it ended; `end` only when it was answered whole. */
  ended(target: string, end: RequestEnd | undefined): void;
  /** Own requests that a report asked for at `requestedAt` may not show. */
  sentSince(target: string, requestedAt: Milliseconds): number;
  inFlight(target: string): number;
  serviceMs(target: string): Milliseconds;
  /** Tokens a second of one stream. */
  streamRate(target: string): number;
  /** Notes a failure that is the target's fault. */
  failed(target: string): void;
  /** Notes what a target that turned a request away says of when to come back; nothing where it says nothing. */
  turnedAway(target: string, retryAfter: string | undefined): void;
  ejection(): Ejection;
}

export const targetLoadName = serviceName<TargetLoad>("target-load");

/** Creates the record of one box. */
export function createTargetLoad(kernel: Kernel): TargetLoad {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const settings = kernel.find(settingsName).targets;
  const ejection = createEjection(settings.eject_ms, settings.eject_share);
  const records = new Map<string, TargetRecord>();
  const horizon = settings.report_stale_ms;

  const recordOf = (target: string): TargetRecord => {
    const known = records.get(target);
    if (known) return known;
    const fresh = {
      inFlight: 0,
      sentAt: [],
      serviceMs: firstServiceMs,
      tokensPerSecond: firstTokensPerSecond,
    };
    records.set(target, fresh);
    return fresh;
  };

  const learn = (record: TargetRecord, end: RequestEnd) => {
    record.serviceMs += smoothing * (end.ranMs - record.serviceMs);
    if (end.tokens === 0 || end.ranMs === 0) return;
    const rate = (end.tokens * millisecondsPerSecond) / end.ranMs;
    record.tokensPerSecond += smoothing * (rate - record.tokensPerSecond);
  };

  return {
    sent(target) {
      const record = recordOf(target);
      const now = clock.now();
      record.inFlight += 1;
      record.sentAt = record.sentAt.filter((at) => now - at < horizon);
      record.sentAt.push(now);
    },
    ended(target, end) {
      const record = recordOf(target);
      record.inFlight -= 1;
      if (!end) return;
      learn(record, end);
      ejection.succeeded(target);
    },
    sentSince(target, requestedAt) {
      const record = records.get(target);
      if (!record) return 0;
      const since = requestedAt - reportLagMs;
      return Math.min(record.inFlight, record.sentAt.filter((at) => at > since).length);
    },
    inFlight: (target) => records.get(target)?.inFlight ?? 0,
    serviceMs: (target) => recordOf(target).serviceMs,
    streamRate: (target) => recordOf(target).tokensPerSecond,
    failed(target) {
      if (ejection.failed(target, clock.now())) logger.event("targetEjected", { target });
    },
    turnedAway(target, retryAfter) {
      const forMs = parseRetryAfter(retryAfter);
      if (forMs !== undefined) ejection.backOff(target, forMs, clock.now());
    },
    ejection: () => ejection,
  };
}
