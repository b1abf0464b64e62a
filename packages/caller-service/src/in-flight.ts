/** Requests in flight, by client account: the bound of a box, and fair shares when it is full. */
import { serviceName } from "@linkfall/kernel";
import type { Account } from "@linkfall/types";

/** Share of the bound from which on accounts are held to their fair part. */
const fairShareFrom = 0.5;

export interface InFlightLimiter {
  /** Takes a place for a request; false when there is none for this account. */
  tryAcquire(account: Account): boolean;
  release(account: Account): void;
  total(): number;
}

export const inFlightLimiterName = serviceName<InFlightLimiter>("in-flight");

/** Creates the count of one box that bears `most` requests at once. */
export function createInFlightLimiter(most: number): InFlightLimiter {
  const counts = new Map<string, number>();
  const shares = new Map<string, number>();
  let total = 0;

  /** The account's part of the bound among the accounts that have requests in flight. */
  const fairPart = (account: Account) => {
    shares.set(account.name, account.share);
    const active = [...counts.keys(), account.name];
    const all = [...new Set(active)].reduce((sum, name) => sum + (shares.get(name) ?? 1), 0);
    return Math.max(1, (most * account.share) / all);
  };

  return {
    tryAcquire(account) {
      if (total >= most) return false;
      const own = counts.get(account.name) ?? 0;
      if (total >= most * fairShareFrom && own >= fairPart(account)) return false;
      counts.set(account.name, own + 1);
      total += 1;
      return true;
    },
    release(account) {
      const left = (counts.get(account.name) ?? 0) - 1;
      if (left > 0) counts.set(account.name, left);
      else counts.delete(account.name);
      total -= 1;
    },
    total: () => total,
  };
}
