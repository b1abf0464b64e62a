/** Retries are a small share of an account's requests, so that a fault is not multiplied. */
import type { Clock } from "@linkfall/kernel";
import { createTokenBucket, type TokenBucket } from "@linkfall/token-bucket";

const burstRetries = 10;

export interface RetryBudget {
  /** Counts a request, which adds to what may be retried. */
  recordRequest(account: string): void;
  /** Takes one retry if the budget has it. */
  tryTake(account: string): boolean;
}

/** Creates the budget of one box; `share` retries are allowed for each request beyond the burst. */
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
