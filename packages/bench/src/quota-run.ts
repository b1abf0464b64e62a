/** Runs one quota load against one strategy. */
import { createVirtualClock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import {
  generateArrivals,
  loadDurationMs,
  type QuotaArrival,
  type QuotaLoad,
} from "./quota-load.js";
import type { QuotaStrategyFactory } from "./quota-strategies.js";

/** Accuracy and message cost of a strategy under one load. */
export interface QuotaResult {
  /** Largest ratio of admitted to allowed units, tolerance included, over all windows: above 1 the limit is exceeded. */
  readonly maxWindowUtilisation: number;
  /** Fraction of the units admitted by a single shared bucket that the strategy refused. */
  readonly refusedShare: number;
  /** Messages between boxes per second. */
  readonly messagesPerSecond: number;
}

const windowMs: Milliseconds = 8_000;
const allowedOverage = 0.1;
const slackUnits = 110_000;
const millisecondsPerSecond = 1000;
/** Time after the last arrival for pending decisions. */
const drainMs: Milliseconds = 2_000;

/** Reports for each request whether a single bucket shared by all boxes would admit it. */
function admittedBySharedBucket(
  load: QuotaLoad,
  arrivals: readonly QuotaArrival[],
): readonly boolean[] {
  let level = load.perSecond;
  let filledAt = 0;
  return arrivals.map(({ at, units }) => {
    const refill = ((at - filledAt) * load.perSecond) / millisecondsPerSecond;
    level = Math.min(load.perSecond, level + refill);
    filledAt = at;
    if (level <= 0) return false;
    level -= units;
    return true;
  });
}

function computeMaxWindowUtilisation(load: QuotaLoad, admitted: readonly QuotaArrival[]): number {
  const limit = load.perSecond * (windowMs / millisecondsPerSecond) + load.perSecond;
  const allowedUnits = limit * (1 + allowedOverage) + slackUnits;
  let first = 0;
  let windowUnits = 0;
  let maxWindowUnits = 0;
  for (const { at, units } of admitted) {
    windowUnits += units;
    for (; admitted[first].at <= at - windowMs; first += 1) windowUnits -= admitted[first].units;
    maxWindowUnits = Math.max(maxWindowUnits, windowUnits);
  }
  return maxWindowUnits / allowedUnits;
}

const totalUnits = (arrivals: readonly QuotaArrival[]) =>
  arrivals.reduce((sum, { units }) => sum + units, 0);

/** Runs a load once and returns the metrics of the strategy. */
export async function runQuota(
  load: QuotaLoad,
  createStrategy: QuotaStrategyFactory,
  seed: number,
): Promise<QuotaResult> {
  const clock = createVirtualClock();
  const strategy = createStrategy(load, clock);
  const arrivals = generateArrivals(load, seed);
  const admitted = new Set<QuotaArrival>();
  const { restartAt } = load;
  if (restartAt !== undefined) clock.after(restartAt, strategy.restart);
  for (const arrival of arrivals) {
    clock.after(arrival.at, () => {
      void strategy.admit(arrival.box, arrival.units).then((yes) => yes && admitted.add(arrival));
    });
  }
  await clock.runUntil(loadDurationMs + drainMs);
  const expected = admittedBySharedBucket(load, arrivals);
  const expectedArrivals = arrivals.filter((_, index) => expected[index]);
  return {
    maxWindowUtilisation: computeMaxWindowUtilisation(
      load,
      arrivals.filter((arrival) => admitted.has(arrival)),
    ),
    refusedShare: Math.max(0, 1 - totalUnits([...admitted]) / totalUnits(expectedArrivals)),
    messagesPerSecond: strategy.messagesSent() / (loadDurationMs / millisecondsPerSecond),
  };
}
