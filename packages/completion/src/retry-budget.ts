/** Retries are a small share of an account's requests, so that a fault is not multiplied. */
import type { Clock } from "@linkfall/kernel";
import { createTokenBucket, type TokenBucket } from "@linkfall/token-bucket";

const burst = 10;

export interface RetryBudget {
  /** Counts a request, which adds to what may be retried. */
  request(account: string): void;
  /** Takes one retry if the budget has it. */
  retry(account: string): boolean;
}

/** Creates the budget of one box; `share` retries are allowed for each request beyond the burst. */
export function createRetryBudget(clock: Clock, share: number): RetryBudget {
  const buckets = new Map<string, TokenBucket>();
  const bucketOf = (account: string) => {
    const bucket = buckets.get(account) ?? createTokenBucket(clock, { rate: 0, burst });
    buckets.set(account, bucket);
    return bucket;
  };
  return {
    request: (account) => bucketOf(account).add(share),
    retry: (account) => bucketOf(account).take(),
  };
}
