/**
 * Rate limits of client accounts, divided between the boxes. Each box grants a part of an account's
 * rate that is proportional to its own traffic, but at least half of an equal part.
 */
import { clockName, type Kernel } from "@linkfall/kernel";
import { membershipName } from "@linkfall/membership";
import { notRun } from "@linkfall/refusals";
import { createTokenBucket, type TokenBucket } from "@linkfall/token-bucket";
import type { Account, Refusal } from "@linkfall/types";
import { usageReportsName } from "@linkfall/usage-report";

/** Lower bound of a box's part of the rate, as a fraction of an equal part. */
const minLocalShare = 0.5;
/** Burst size, in seconds of the rate. */
const burstSeconds = 2;

export interface AccountLimits {
  /** Consumes one request of the account's rate; returns a refusal when the limit is reached. */
  admit(account: Account): Refusal | undefined;
}

/**
 * Computes this box's part of an account's rate, in requests per second.
 *
 * @param accountRate the account's rate over all boxes, in requests per second
 * @param totalRequestsPerSecond traffic over all boxes; undefined if unknown
 * @param boxes number of serving boxes
 */
export function localRate(
  accountRate: number,
  localRequestsPerSecond: number,
  totalRequestsPerSecond: number | undefined,
  boxes: number,
): number {
  const equalPart = accountRate / boxes;
  if (totalRequestsPerSecond === undefined || totalRequestsPerSecond === 0) return equalPart;
  return Math.max(
    minLocalShare * equalPart,
    (accountRate * localRequestsPerSecond) /
      Math.max(localRequestsPerSecond, totalRequestsPerSecond),
  );
}

/** Creates the account limits enforced by this box. */
export function createAccountLimits(kernel: Kernel): AccountLimits {
  const clock = kernel.find(clockName);
  const membership = kernel.find(membershipName);
  const usage = kernel.find(usageReportsName);
  const buckets = new Map<string, TokenBucket>();

  const bucketLimitsFor = ({ name, requestsPerSecond }: Account) => {
    const boxes = Math.max(1, membership.serving().length);
    const rate = localRate(requestsPerSecond, usage.ownRate(name), usage.totalRate(name), boxes);
    return { rate, burst: Math.max(1, rate * burstSeconds) };
  };

  return {
    admit(account) {
      const limits = bucketLimitsFor(account);
      const bucket = buckets.get(account.name) ?? createTokenBucket(clock, limits);
      buckets.set(account.name, bucket);
      bucket.setLimits(limits);
      if (bucket.take()) return undefined;
      return notRun("rate_limited", "the account's rate limit is reached", bucket.msUntil());
    },
  };
}
