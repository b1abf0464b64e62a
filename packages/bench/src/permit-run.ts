/** Plays one load against one way to keep a target's limit, and says what came of it. */
import { createVirtualClock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { arrivalsOf, limitedFrom, loadMs, type PermitLoad } from "./permit-load.js";
import type { PermitWayMaker } from "./permit-ways.js";

export interface PermitResult {
  /** Most requests that the target got in some window, as a share of what its limit allows: over 1 breaks it. */
  readonly fullestWindow: number;
  /** What the target got, as a share of its limit. */
  readonly used: number;
  readonly messagesPerSecond: number;
}

const windowMs: Milliseconds = 4_000;
/** A window may hold so many times what the limit makes of it. */
const tolerance = 1.5;
/** Requests beside that. */
const slack = 5;
/** The limit counts so long after it was first named. */
const contactMs: Milliseconds = 3_000;
/** From a send to the answer that names the limit. */
const answerMs: Milliseconds = 100;
/** Time for the last permits. */
const settleMs: Milliseconds = 3_000;
const millisecondsPerSecond = 1000;

function fullestWindow(perSecond: number, sends: readonly Milliseconds[]): number {
  const allowed = (tolerance * perSecond * windowMs) / millisecondsPerSecond + slack;
  const counts = sends.map(
    (from) => sends.filter((at) => at >= from && at < from + windowMs).length,
  );
  return Math.max(0, ...counts) / Math.floor(allowed);
}

export async function runPermits(
  load: PermitLoad,
  make: PermitWayMaker,
  seed: number,
): Promise<PermitResult> {
  const clock = createVirtualClock();
  const way = make(load, clock);
  const sends: Milliseconds[] = [];
  const { restart, perSecond } = load;
  if (restart) clock.after(restart.at, () => way.restart(restart.boxes));
  const send = (box: number) => {
    sends.push(clock.now());
    clock.after(answerMs, () => {
      if (clock.now() >= limitedFrom) way.hear(box);
    });
  };
  for (const { at, box } of arrivalsOf(load, seed)) {
    clock.after(at, () => void way.takePermit(box).then((permit) => permit && send(box)));
  }
  await clock.runUntil(loadMs + settleMs);
  const from = limitedFrom + contactMs;
  const counted = sends.filter((at) => at >= from && at < loadMs);
  const owed = (perSecond * (loadMs - from)) / millisecondsPerSecond;
  return {
    fullestWindow: fullestWindow(perSecond, counted),
    used: counted.length / owed,
    messagesPerSecond: way.messages() / (loadMs / millisecondsPerSecond),
  };
}
