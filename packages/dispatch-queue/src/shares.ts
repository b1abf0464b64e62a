/** The part of a service's capacity that is left for one account and one class of requests. */
import type { Milliseconds } from "@linkfall/types";
import { type AccountQueue, lateRank, type RequestClass, reservedShare } from "./fair-queue.js";

/** A part of the capacity that is always assumed, so that expected waits stay finite. */
const minRate = 0.005;

function demandOf({ classes }: AccountQueue, now: Milliseconds): number {
  let demand = 0;
  for (const { demand: rate } of classes) demand += rate.perMs(now);
  return demand;
}

/**
 * Fraction of the capacity that an account can use: its fair share, and what the others leave. Demands are those of the
 * arriving requests, retries included.
 */
export function accountRate(
  accounts: Iterable<AccountQueue>,
  account: AccountQueue,
  now: Milliseconds,
): number {
  const others: { perWeight: number; demand: number; weight: number }[] = [];
  for (const other of accounts) {
    if (other === account) continue;
    const demand = demandOf(other, now);
    if (demand > 1e-4)
      others.push({ perWeight: demand / other.weight, demand, weight: other.weight });
  }
  if (others.length === 0) return 1;
  others.sort((a, b) => a.perWeight - b.perWeight);
  let left = 1;
  let weights = account.weight;
  for (const { weight } of others) weights += weight;
  for (const { perWeight, demand, weight } of others) {
    if (perWeight > left / weights) break;
    left -= demand;
    weights -= weight;
  }
  return Math.max(minRate, (left * account.weight) / weights);
}

/** Fraction of the account's rate that more urgent classes leave to this one. */
export function classRate(
  account: AccountQueue,
  { rank }: RequestClass,
  rate: number,
  now: Milliseconds,
): number {
  let left = rate;
  for (const other of account.classes) if (other.rank < rank) left -= other.demand.perMs(now);
  return Math.max(minRate, left);
}

/** Fraction of the account's rate that a class has in any case. */
export function reservedRate({ rank }: RequestClass, rate: number): number {
  return rank >= lateRank ? minRate : Math.max(minRate, reservedShare * rate);
}
