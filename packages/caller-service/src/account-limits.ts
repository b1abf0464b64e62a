/**
 * Quotas of client accounts over all boxes. Each box allows the part of an account's rate that its
 * own traffic is of the whole, as the heartbeats report it, and never less than half an equal part.
 */
import { type Clock, clockName, type Kernel } from "@linkfall/kernel";
import { createDemandMeter } from "@linkfall/demand-meter";
import { membershipName } from "@linkfall/membership";
import { notRun } from "@linkfall/refusals";
import { createTokenBucket, type TokenBucket } from "@linkfall/token-bucket";
import type { Account, AccountRate, Refusal } from "@linkfall/types";

/** Least part of the rate that a box allows, as a share of an equal part. */
const leastShare = 0.5;
/** Seconds of the rate that may come at once. */
const burstSeconds = 2;

export interface AccountLimits {
  /** Counts a request against the account's rate; answers with the refusal when it is used up. */
  admit(account: Account): Refusal | undefined;
  /** This box's rates, to be told to the others. */
  rates(): readonly AccountRate[];
}

/** The part of an account's rate that this box may let through. */
export function localRate(whole: number, own: number, others: number, boxes: number): number {
  const equal = whole / boxes;
  const total = own + others;
  const byTraffic = total > 0 ? (whole * own) / total : equal;
  return Math.max(leastShare * equal, byTraffic);
}

/** Creates the limits of one box. */
export function createAccountLimits(kernel: Kernel): AccountLimits {
  const clock: Clock = kernel.find(clockName);
  const membership = kernel.find(membershipName);
  const meter = createDemandMeter(clock);
  const buckets = new Map<string, TokenBucket>();

  const rates = () =>
    meter.own().map(({ model, requestsPerSecond }) => ({ account: model, requestsPerSecond }));

  const rateOf = (list: readonly AccountRate[], account: string) =>
    list.find((entry) => entry.account === account)?.requestsPerSecond ?? 0;

  const limitsFor = (account: Account) => {
    const own = rateOf(rates(), account.name);
    const others = membership
      .peerAccountRates()
      .reduce((sum, list) => sum + rateOf(list, account.name), 0);
    const boxes = Math.max(1, membership.serving().length);
    const rate = localRate(account.requestsPerSecond, own, others, boxes);
    return { rate, burst: Math.max(1, rate * burstSeconds) };
  };

  return {
    admit(account) {
      meter.note(account.name, 0);
      const limits = limitsFor(account);
      const bucket = buckets.get(account.name) ?? createTokenBucket(clock, limits);
      buckets.set(account.name, bucket);
      bucket.limit(limits);
      if (bucket.take()) return undefined;
      return notRun("rate_limited", "the account's rate is used up", bucket.waitFor());
    },
    rates,
  };
}
