/** Plays one load against one way to keep a limit, and says what came of it. */
import { createVirtualClock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { arrivalsOf, loadMs, type QuotaArrival, type QuotaLoad } from "./quota-load.js";
import type { WayMaker } from "./quota-ways.js";

export interface QuotaResult {
  /** Largest share of what a window may let through, tolerance included, that a window did: over 1 breaks the limit. */
  readonly fullestWindow: number;
  /** Share of what one bucket for all boxes would have let through that was refused in its place. */
  readonly refusedWithin: number;
  /** Messages between boxes a second. */
  readonly messagesPerSecond: number;
}

const windowMs: Milliseconds = 8_000;
const overage = 0.1;
const slack = 110_000;
const millisecondsPerSecond = 1000;
/** Time for the last decisions. */
const settleMs: Milliseconds = 2_000;

/** Which requests one bucket for all boxes lets through: what the account is owed. */
function owed(load: QuotaLoad, arrivals: readonly QuotaArrival[]): readonly boolean[] {
  let level = load.perSecond;
  let filledAt = 0;
  return arrivals.map(({ at, units }) => {
    const gained = ((at - filledAt) * load.perSecond) / millisecondsPerSecond;
    level = Math.min(load.perSecond, level + gained);
    filledAt = at;
    if (level <= 0) return false;
    level -= units;
    return true;
  });
}

function fullestWindow(load: QuotaLoad, letThrough: readonly QuotaArrival[]): number {
  const limit = load.perSecond * (windowMs / millisecondsPerSecond) + load.perSecond;
  const most = limit * (1 + overage) + slack;
  let first = 0;
  let sum = 0;
  let fullest = 0;
  for (const { at, units } of letThrough) {
    sum += units;
    for (; letThrough[first].at <= at - windowMs; first += 1) sum -= letThrough[first].units;
    fullest = Math.max(fullest, sum);
  }
  return fullest / most;
}

const unitsOf = (arrivals: readonly QuotaArrival[]) =>
  arrivals.reduce((sum, { units }) => sum + units, 0);

export async function runQuota(
  load: QuotaLoad,
  make: WayMaker,
  seed: number,
): Promise<QuotaResult> {
  const clock = createVirtualClock();
  const way = make(load, clock);
  const arrivals = arrivalsOf(load, seed);
  const through = new Set<QuotaArrival>();
  const { restartAt } = load;
  if (restartAt !== undefined) clock.after(restartAt, way.restart);
  for (const arrival of arrivals) {
    clock.after(arrival.at, () => {
      void way.admit(arrival.box, arrival.units).then((yes) => yes && through.add(arrival));
    });
  }
  await clock.runUntil(loadMs + settleMs);
  const within = owed(load, arrivals);
  const due = arrivals.filter((_, index) => within[index]);
  return {
    fullestWindow: fullestWindow(
      load,
      arrivals.filter((arrival) => through.has(arrival)),
    ),
    refusedWithin: Math.max(0, 1 - unitsOf([...through]) / unitsOf(due)),
    messagesPerSecond: way.messages() / (loadMs / millisecondsPerSecond),
  };
}
