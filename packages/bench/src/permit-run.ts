/** Runs one permit load against one strategy. */
import { createVirtualClock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import {
  generateArrivals,
  limitAnnouncedAt,
  loadDurationMs,
  type PermitLoad,
} from "./permit-load.js";
import type { PermitStrategyFactory } from "./permit-strategies.js";

/** Accuracy and message cost of a strategy under one load. */
export interface PermitResult {
  /** Largest ratio of sent to allowed requests over all windows: above 1 the limit is exceeded. */
  readonly maxWindowUtilisation: number;
  /** Requests sent to the target as a fraction of its limit. */
  readonly usedShare: number;
  /** Messages between boxes per second. */
  readonly messagesPerSecond: number;
}

const windowMs: Milliseconds = 4_000;
/** A window may exceed the limit by this factor. */
const toleranceFactor = 1.5;
/** Requests allowed in addition per window. */
const slackRequests = 5;
/** Time from the first statement of the limit until it is enforced. */
const enforcementDelayMs: Milliseconds = 3_000;
/** Time from sending a request to its response. */
const responseLatencyMs: Milliseconds = 100;
/** Time after the last arrival for pending permits. */
const drainMs: Milliseconds = 3_000;
const millisecondsPerSecond = 1000;

function computeMaxWindowUtilisation(perSecond: number, sends: readonly Milliseconds[]): number {
  const allowed = (toleranceFactor * perSecond * windowMs) / millisecondsPerSecond + slackRequests;
  const counts = sends.map(
    (from) => sends.filter((at) => at >= from && at < from + windowMs).length,
  );
  return Math.max(0, ...counts) / Math.floor(allowed);
}

/** Runs a load once and returns the metrics of the strategy. */
export async function runPermits(
  load: PermitLoad,
  createStrategy: PermitStrategyFactory,
  seed: number,
): Promise<PermitResult> {
  const clock = createVirtualClock();
  const strategy = createStrategy(load, clock);
  const sends: Milliseconds[] = [];
  const { restart, perSecond } = load;
  if (restart) clock.after(restart.at, () => strategy.restart(restart.boxes));
  const send = (box: number) => {
    sends.push(clock.now());
    clock.after(responseLatencyMs, () => {
      if (clock.now() >= limitAnnouncedAt) strategy.observeLimit(box);
    });
  };
  for (const { at, box } of generateArrivals(load, seed)) {
    clock.after(at, () => void strategy.takePermit(box).then((permit) => permit && send(box)));
  }
  await clock.runUntil(loadDurationMs + drainMs);
  const from = limitAnnouncedAt + enforcementDelayMs;
  const counted = sends.filter((at) => at >= from && at < loadDurationMs);
  const allowedRequests = (perSecond * (loadDurationMs - from)) / millisecondsPerSecond;
  return {
    maxWindowUtilisation: computeMaxWindowUtilisation(perSecond, counted),
    usedShare: counted.length / allowedRequests,
    messagesPerSecond: strategy.messagesSent() / (loadDurationMs / millisecondsPerSecond),
  };
}
