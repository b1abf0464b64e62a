/** Plays one load against one way to keep a target's limit, and says what came of it. */
import { createVirtualClock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import {
  generateArrivals,
  limitAnnouncedAt,
  loadDurationMs,
  type PermitLoad,
} from "./permit-load.js";
import type { PermitStrategyFactory } from "./permit-strategies.js";

export interface PermitResult {
  /** Most requests that the target got in some window, as a share of what its limit allows: over 1 breaks it. */
  readonly maxWindowUtilization: number;
  /** What the target got, as a share of its limit. */
  readonly usedShare: number;
  readonly messagesPerSecond: number;
}

const windowMs: Milliseconds = 4_000;
/** A window may hold so many times what the limit makes of it. */
const toleranceFactor = 1.5;
/** Requests beside that. */
const slackRequests = 5;
/** The limit counts so long after it was first named. */
const enforcementDelayMs: Milliseconds = 3_000;
/** From a send to the answer that names the limit. */
const responseLatencyMs: Milliseconds = 100;
/** Time for the last permits. */
const drainMs: Milliseconds = 3_000;
const millisecondsPerSecond = 1000;

function computeMaxWindowUtilization(perSecond: number, sends: readonly Milliseconds[]): number {
  const allowed = (toleranceFactor * perSecond * windowMs) / millisecondsPerSecond + slackRequests;
  const counts = sends.map(
    (from) => sends.filter((at) => at >= from && at < from + windowMs).length,
  );
  return Math.max(0, ...counts) / Math.floor(allowed);
}

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
    maxWindowUtilization: computeMaxWindowUtilization(perSecond, counted),
    usedShare: counted.length / allowedRequests,
    messagesPerSecond: strategy.messagesSent() / (loadDurationMs / millisecondsPerSecond),
  };
}
