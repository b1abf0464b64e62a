/** A token bucket on the injected clock. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

const millisecondsPerSecond = 1000;

/** How a bucket fills. */
export interface BucketLimits {
  /** Tokens a second. */
  readonly rate: number;
  /** Most tokens that it holds. */
  readonly burst: number;
}

export interface TokenBucket {
  /** Takes `count` tokens if they are there. */
  take(count?: number): boolean;
  /** Adds tokens beside the steady rate, for budgets that grow with use. */
  add(count: number): void;
  /** Time until `count` tokens will be there, 0 when they are. */
  msUntil(count?: number): Milliseconds;
  /** Changes how it fills from now on; what it holds stays, up to the new burst. */
  setLimits(limits: BucketLimits): void;
}

/** Creates a bucket that holds `initial` tokens, by default its whole burst. */
export function createTokenBucket(
  clock: Clock,
  first: BucketLimits,
  initial = first.burst,
): TokenBucket {
  let limits = first;
  let tokens = initial;
  let filledAt = clock.now();
  const fill = () => {
    const now = clock.now();
    const gained = ((now - filledAt) * limits.rate) / millisecondsPerSecond;
    tokens = Math.min(limits.burst, tokens + gained);
    filledAt = now;
  };
  return {
    take(count = 1) {
      fill();
      if (tokens < count) return false;
      tokens -= count;
      return true;
    },
    add(count) {
      fill();
      tokens = Math.min(limits.burst, tokens + count);
    },
    msUntil(count = 1) {
      fill();
      if (tokens >= count) return 0;
      if (limits.rate === 0) return Infinity;
      return Math.ceil(((count - tokens) * millisecondsPerSecond) / limits.rate);
    },
    setLimits(changed) {
      fill();
      limits = changed;
      tokens = Math.min(limits.burst, tokens);
    },
  };
}
