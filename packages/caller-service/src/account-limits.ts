/**
 * Quotas of client accounts over all boxes. Each box allows the part of an account's rate that its
 * own traffic is of the whole, and never less than half an equal part.
 */
import { clockName, type Kernel } from "@linkfall/kernel";
import { membershipName } from "@linkfall/membership";
import { notRun } from "@linkfall/refusals";
import { createTokenBucket, type TokenBucket } from "@linkfall/token-bucket";
import type { Account, Refusal } from "@linkfall/types";
import { usageReportsName } from "@linkfall/usage-report";

/** Least part of the rate that a box allows, as a share of an equal part. */
const leastShare = 0.5;
/** Seconds of the rate that may come at once. */
const burstSeconds = 2;

export interface AccountLimits {
  /** Takes a request from the account's rate; answers with the refusal when it is used up. */
  admit(account: Account): Refusal | undefined;
}

/**
 * The part of an account's rate that this box may let through.
 *
 * @param own requests a second that came to this box
 * @param total the same over all boxes; undefined where it is not known
 */
export function localRate(
  whole: number,
  own: number,
  total: number | undefined,
  boxes: number,
): number {
  const equal = whole / boxes;
  if (total === undefined || total === 0) return equal;
  return Math.max(leastShare * equal, (whole * own) / Math.max(own, total));
}

/** Creates the limits of one box. */
export function createAccountLimits(kernel: Kernel): AccountLimits {
  const clock = kernel.find(clockName);
  const membership = kernel.find(membershipName);
  const usage = kernel.find(usageReportsName);
  const buckets = new Map<string, TokenBucket>();

  const limitsFor = ({ name, requestsPerSecond }: Account) => {
    const boxes = Math.max(1, membership.serving().length);
    const rate = localRate(requestsPerSecond, usage.ownRate(name), usage.totalRate(name), boxes);
    return { rate, burst: Math.max(1, rate * burstSeconds) };
  };

  return {
    admit(account) {
      const limits = limitsFor(account);
      const bucket = buckets.get(account.name) ?? createTokenBucket(clock, limits);
      buckets.set(account.name, bucket);
      bucket.setLimits(limits);
      if (bucket.take()) return undefined;
      return notRun("rate_limited", "the account's rate is used up", bucket.msUntil());
    },
  };
}
