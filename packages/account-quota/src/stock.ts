/** Units of one account that a box has at hand, and how fast it uses them. */
import type { Milliseconds } from "@linkfall/types";

/** Changed in place by the functions of this module. */
export interface LocalBudget {
  /** Units at hand; below 0 where more ran than was granted. */
  units: number;
  /** Units a second that requests of this box have asked for lately. */
  demandPerSecond: number;
  demandUpdatedAt: Milliseconds;
  lastGrantAt: Milliseconds;
  /** A call for more that no request waits for is under way. */
  refilling: boolean;
  /** Last refusal, while it still tells what the next answer would be. */
  refusal?: CachedRefusal;
}

interface CachedRefusal {
  /** Smallest request that was refused. */
  minUnits: number;
  readonly validUntil: Milliseconds;
  /** When a request that is refused now may come back. */
  retryAt: Milliseconds;
}

const millisecondsPerSecond = 1000;
/** Time over which use is averaged. */
const useMs: Milliseconds = 1_000;
/**
 * Time of use that is asked for ahead. What lies unused at all boxes together may be let through later than
 * it was allotted, so this has to stay well under the share of the limit that may be exceeded, a tenth of
 * several seconds.
 */
const aheadMs: Milliseconds = 250;
/** Units that were not used for this long are let go of. */
const keptMs: Milliseconds = 1_000;
/** A refusal is repeated for this long without asking again. */
const refusalMs: Milliseconds = 200;

export function createLocalBudget(now: Milliseconds): LocalBudget {
  return { units: 0, demandPerSecond: 0, demandUpdatedAt: now, lastGrantAt: now, refilling: false };
}

/** Notes that a request asks for units. */
export function recordDemand(stock: LocalBudget, units: number, now: Milliseconds): void {
  const decay = Math.exp(-(now - stock.demandUpdatedAt) / useMs);
  stock.demandPerSecond = stock.demandPerSecond * decay + (units * millisecondsPerSecond) / useMs;
  stock.demandUpdatedAt = now;
}

/** Takes units if they are at hand. */
export function takeUnits(stock: LocalBudget, units: number, now: Milliseconds): boolean {
  if (now - stock.lastGrantAt > keptMs) stock.units = Math.min(0, stock.units);
  if (stock.units < units) return false;
  stock.units -= units;
  return true;
}

export function addUnits(stock: LocalBudget, units: number, now: Milliseconds): void {
  stock.units += units;
  stock.lastGrantAt = now;
  stock.refusal = undefined;
}

/** Units to ask for ahead; 0 where requests are so rare that each asks for itself. */
export function prefetchUnits({ demandPerSecond: useRate }: LocalBudget, units: number): number {
  const ahead = (useRate * aheadMs) / millisecondsPerSecond;
  return ahead >= 2 * units ? Math.round(ahead) : 0;
}

/** Whether less than half of what is wanted ahead is left. */
export function needsRefill(stock: LocalBudget, units: number): boolean {
  const ahead = prefetchUnits(stock, units);
  return !stock.refilling && ahead > 0 && stock.units < ahead / 2;
}

/** Keeps a refusal; `waitMs` is when the request would have been let through. */
export function recordRefusal(
  stock: LocalBudget,
  units: number,
  waitMs: Milliseconds,
  now: Milliseconds,
): void {
  stock.refusal = {
    minUnits: units,
    validUntil: now + Math.min(waitMs, refusalMs),
    retryAt: now + waitMs,
  };
}

/**
 * Time after which a request may come back that a kept refusal covers; undefined where there is none. Each one
 * that is refused so is sent behind the one before it.
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
