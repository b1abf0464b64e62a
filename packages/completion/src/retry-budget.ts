/** Limits retries to a fraction of each account's requests, so that retries do not amplify an outage. */
import type { Clock } from "@linkfall/kernel";
import { createTokenBucket, type TokenBucket } from "@linkfall/token-bucket";

/** Retries of an account that are available before it has sent any requests. */
const burstRetries = 10;

export interface RetryBudget {
  /** Counts a request, which adds to the account's retry budget. */
  recordRequest(account: string): void;
  /** Takes one retry from the account's budget; returns false if it is exhausted. */
  tryTake(account: string): boolean;
}

/** Creates the budget of one box: `burstRetries`, plus `retriesPerRequest` for each request. */
export function createRetryBudget(clock: Clock, retriesPerRequest: number): RetryBudget {
  const buckets = new Map<string, TokenBucket>();
  const bucketOf = (account: string) => {
    const bucket =
      buckets.get(account) ?? createTokenBucket(clock, { rate: 0, burst: burstRetries });
    buckets.set(account, bucket);
    return bucket;
  };
  return {
    recordRequest: (account) => bucketOf(account).add(retriesPerRequest),
    tryTake: (account) => bucketOf(account).take(),
  };
}
