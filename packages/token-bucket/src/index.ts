/** A token bucket for rate limits, quotas and retry budgets. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

const millisecondsPerSecond = 1000;

export interface BucketLimits {
  /** Refill rate in tokens per second. */
  readonly rate: number;
  /** Capacity in tokens. */
  readonly burst: number;
}

export interface TokenBucket {
  /** Takes `count` tokens (1 by default) if they are available; returns whether it did. */
  take(count?: number): boolean;
  /** Adds tokens in addition to the refill, up to the capacity. */
  add(count: number): void;
  /** Time until `count` tokens (1 by default) are available; `Infinity` if the bucket is not refilled. */
  msUntil(count?: number): Milliseconds;
  /** Changes the limits; tokens above the new capacity are discarded. */
  setLimits(limits: BucketLimits): void;
}

/** Creates a bucket that holds `initialTokens`, by default its whole capacity. */
export function createTokenBucket(
  clock: Clock,
  initialLimits: BucketLimits,
  initialTokens = initialLimits.burst,
): TokenBucket {
  let limits = initialLimits;
  let tokens = initialTokens;
  let refilledAt = clock.now();
  const refill = () => {
    const now = clock.now();
    const gained = ((now - refilledAt) * limits.rate) / millisecondsPerSecond;
    tokens = Math.min(limits.burst, tokens + gained);
    refilledAt = now;
  };
  return {
    take(count = 1) {
      refill();
      if (tokens < count) return false;
      tokens -= count;
      return true;
    },
    add(count) {
      refill();
      tokens = Math.min(limits.burst, tokens + count);
    },
    msUntil(count = 1) {
      refill();
      if (tokens >= count) return 0;
      if (limits.rate === 0) return Infinity;
      return Math.ceil(((count - tokens) * millisecondsPerSecond) / limits.rate);
    },
    setLimits(newLimits) {
      refill();
      limits = newLimits;
      tokens = Math.min(limits.burst, tokens);
    },
  };
}
