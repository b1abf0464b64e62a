/** Limits the requests in flight of a box, with fair sharing between client accounts under load. */
import { serviceName } from "@linkfall/kernel";
import type { Account } from "@linkfall/types";

/** Utilisation from which on accounts are limited to their fair share. */
const fairShareThreshold = 0.5;

export interface InFlightLimiter {
  /** Acquires a slot for a request; false if none is available to this account. */
  tryAcquire(account: Account): boolean;
  release(account: Account): void;
  total(): number;
}

export const inFlightLimiterName = serviceName<InFlightLimiter>("in-flight");

/** Creates a limiter that allows `maxInFlight` concurrent requests. */
export function createInFlightLimiter(maxInFlight: number): InFlightLimiter {
  const counts = new Map<string, number>();
  const shares = new Map<string, number>();
  let total = 0;

  /** The account's share of the limit among the accounts with requests in flight. */
  const fairShare = (account: Account) => {
    shares.set(account.name, account.share);
    const active = [...counts.keys(), account.name];
    const totalShares = [...new Set(active)].reduce(
      (sum, name) => sum + (shares.get(name) ?? 1),
      0,
    );
    return Math.max(1, (maxInFlight * account.share) / totalShares);
  };

  return {
    tryAcquire(account) {
      if (total >= maxInFlight) return false;
      const current = counts.get(account.name) ?? 0;
      if (total >= maxInFlight * fairShareThreshold && current >= fairShare(account)) return false;
      counts.set(account.name, current + 1);
      total += 1;
      return true;
    },
    release(account) {
      const remaining = (counts.get(account.name) ?? 0) - 1;
      if (remaining > 0) counts.set(account.name, remaining);
      else counts.delete(account.name);
      total -= 1;
    },
    total: () => total,
  };
}
