/** The units of one account that a box holds locally, and the demand that determines how many it prefetches. */
import type { Milliseconds } from "@linkfall/types";

/** Mutated in place by the functions of this module. */
export interface LocalBudget {
  /** Available units; negative if more was executed than granted. */
  units: number;
  /** Exponentially decaying average of the units per second that requests ask for. */
  demandPerSecond: number;
  demandUpdatedAt: Milliseconds;
  lastGrantAt: Milliseconds;
  /** Whether a prefetch is in progress. */
  refilling: boolean;
  /** The last refusal; cleared by a grant. */
  refusal?: CachedRefusal;
}

interface CachedRefusal {
  /** Units of the refused request; smaller requests are not covered. */
  minUnits: number;
  readonly validUntil: Milliseconds;
  /** Earliest time at which the next refused request may be retried. */
  retryAt: Milliseconds;
}

const millisecondsPerSecond = 1000;
/** Time constant of the demand average. */
const demandAveragingMs: Milliseconds = 1_000;
/**
 * Duration of demand that is prefetched. Prefetched units may be used later than they were allocated, so this
 * must stay well below the tolerated overage, a tenth of several seconds.
 */
const prefetchMs: Milliseconds = 250;
/** Units are discarded when nothing has been granted for this long. */
const unusedUnitsTtlMs: Milliseconds = 1_000;
/** Maximum time for which a refusal is answered from the cache. */
const maxRefusalCacheMs: Milliseconds = 200;

export function createLocalBudget(now: Milliseconds): LocalBudget {
  return { units: 0, demandPerSecond: 0, demandUpdatedAt: now, lastGrantAt: now, refilling: false };
}

/** Updates the demand average with the units of a request. */
export function recordDemand(budget: LocalBudget, units: number, now: Milliseconds): void {
  const decay = Math.exp(-(now - budget.demandUpdatedAt) / demandAveragingMs);
  budget.demandPerSecond =
    budget.demandPerSecond * decay + (units * millisecondsPerSecond) / demandAveragingMs;
  budget.demandUpdatedAt = now;
}

/** Takes units if enough are available; returns whether it did. */
export function takeUnits(budget: LocalBudget, units: number, now: Milliseconds): boolean {
  if (now - budget.lastGrantAt > unusedUnitsTtlMs) budget.units = Math.min(0, budget.units);
  if (budget.units < units) return false;
  budget.units -= units;
  return true;
}

export function addUnits(budget: LocalBudget, units: number, now: Milliseconds): void {
  budget.units += units;
  budget.lastGrantAt = now;
  budget.refusal = undefined;
}

/** Number of units to prefetch; 0 if demand is too low for a prefetch to save calls. */
export function prefetchUnits({ demandPerSecond }: LocalBudget, units: number): number {
  const ahead = (demandPerSecond * prefetchMs) / millisecondsPerSecond;
  return ahead >= 2 * units ? Math.round(ahead) : 0;
}

/** Whether to start a prefetch: less than half of its target is left, and none is in progress. */
export function needsRefill(budget: LocalBudget, units: number): boolean {
  const ahead = prefetchUnits(budget, units);
  return !budget.refilling && ahead > 0 && budget.units < ahead / 2;
}

/** Caches a refusal; `waitMs` is the time until the request could have been granted. */
export function recordRefusal(
  budget: LocalBudget,
  units: number,
  waitMs: Milliseconds,
  now: Milliseconds,
): void {
  budget.refusal = {
    minUnits: units,
    validUntil: now + Math.min(waitMs, maxRefusalCacheMs),
    retryAt: now + waitMs,
  };
}

/**
 * Returns the time after which a request may be retried if the cached refusal covers it, else undefined. Each call
 * moves the retry time back by the request's units, so that retries are spread out.
 */
export function cachedRetryAfterMs(
  { refusal }: LocalBudget,
  units: number,
  perSecond: number,
  now: Milliseconds,
): Milliseconds | undefined {
  if (!refusal || now >= refusal.validUntil || units < refusal.minUnits) return undefined;
  refusal.retryAt += (units * millisecondsPerSecond) / perSecond;
  return Math.ceil(refusal.retryAt - now);
}
