/** Units of one account that a box has at hand, and how fast it uses them. */
import type { Milliseconds } from "@linkfall/types";

/** Changed in place by the functions of this module. */
export interface QuotaStock {
  /** Units at hand; below 0 where more ran than was granted. */
  units: number;
  /** Units a second that requests of this box have asked for lately. */
  useRate: number;
  usedAt: Milliseconds;
  grantedAt: Milliseconds;
  /** A call for more that no request waits for is under way. */
  refilling: boolean;
  /** Last refusal, while it still tells what the next answer would be. */
  refusal?: QuotaRefusal;
}

interface QuotaRefusal {
  /** Smallest request that was refused. */
  units: number;
  readonly until: Milliseconds;
  /** When a request that is refused now may come back. */
  comeBackAt: Milliseconds;
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

export function createStock(now: Milliseconds): QuotaStock {
  return { units: 0, useRate: 0, usedAt: now, grantedAt: now, refilling: false };
}

/** Notes that a request asks for units. */
export function noteUse(stock: QuotaStock, units: number, now: Milliseconds): void {
  const decay = Math.exp(-(now - stock.usedAt) / useMs);
  stock.useRate = stock.useRate * decay + (units * millisecondsPerSecond) / useMs;
  stock.usedAt = now;
}

/** Takes units if they are at hand. */
export function takeFrom(stock: QuotaStock, units: number, now: Milliseconds): boolean {
  if (now - stock.grantedAt > keptMs) stock.units = Math.min(0, stock.units);
  if (stock.units < units) return false;
  stock.units -= units;
  return true;
}

export function addTo(stock: QuotaStock, units: number, now: Milliseconds): void {
  stock.units += units;
  stock.grantedAt = now;
  stock.refusal = undefined;
}

/** Units to ask for ahead; 0 where requests are so rare that each asks for itself. */
export function wantedAhead({ useRate }: QuotaStock, units: number): number {
  const ahead = (useRate * aheadMs) / millisecondsPerSecond;
  return ahead >= 2 * units ? Math.round(ahead) : 0;
}

/** Whether less than half of what is wanted ahead is left. */
export function runsLow(stock: QuotaStock, units: number): boolean {
  const ahead = wantedAhead(stock, units);
  return !stock.refilling && ahead > 0 && stock.units < ahead / 2;
}

/** Keeps a refusal; `waitMs` is when the request would have been let through. */
export function noteRefusal(
  stock: QuotaStock,
  units: number,
  waitMs: Milliseconds,
  now: Milliseconds,
): void {
  stock.refusal = { units, until: now + Math.min(waitMs, refusalMs), comeBackAt: now + waitMs };
}

/**
 * Time after which a request may come back that a kept refusal covers; undefined where there is none. Each one
 * that is refused so is sent behind the one before it.
 */
export function refusedForMs(
  { refusal }: QuotaStock,
  units: number,
  perSecond: number,
  now: Milliseconds,
): Milliseconds | undefined {
  if (!refusal || now >= refusal.until || units < refusal.units) return undefined;
  refusal.comeBackAt += (units * millisecondsPerSecond) / perSecond;
  return Math.ceil(refusal.comeBackAt - now);
}
