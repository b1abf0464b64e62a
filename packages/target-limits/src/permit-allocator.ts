/** Allocates permits for rate-limited targets, spaced at the rate that each target accepts. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { PermitGrant, PermitRequest } from "./messages.js";

/** The token bucket of one target. */
interface PermitBucket {
  /** Available permits; negative if permits were granted ahead of time. */
  level: number;
  /** Number of refused requests that are expected to be retried. */
  backlog: number;
  refilledAt: Milliseconds;
}

export interface PermitAllocator {
  /** @param share fraction of the target's limit that this allocator may grant */
  grant(request: PermitRequest, share: number): PermitGrant;
  /** Deducts a permit that another allocator has granted, or restores one that was granted in vain. */
  correct(request: PermitRequest, share: number): void;
  /** Discards saved permits, since other boxes may have granted them. */
  reset(): void;
  forget(target: string): void;
}

const millisecondsPerSecond = 1000;
/** Capacity of a bucket in seconds at the target's rate; at least one permit. */
const capacitySeconds = 0.5;
/** Minimum rate at which a target is tried, so that the end of its limit is detected. */
export const minPerSecond = 0.1;
/** Upper bound of the backlog, in seconds at the target's rate. */
const maxBacklogSeconds = 10;

function refill(bucket: PermitBucket, perSecond: number, now: Milliseconds): void {
  const gained = ((now - bucket.refilledAt) * perSecond) / millisecondsPerSecond;
  const capacity = Math.max(1, perSecond * capacitySeconds);
  bucket.level = Math.min(capacity, bucket.level + gained);
  bucket.backlog = Math.max(0, bucket.backlog - gained);
  bucket.refilledAt = now;
}

function refuse(bucket: PermitBucket, perSecond: number): PermitGrant {
  const missing = 1 - bucket.level + bucket.backlog;
  bucket.backlog = Math.min(bucket.backlog + 1, Math.max(1, perSecond * maxBacklogSeconds));
  return { granted: false, waitMs: Math.ceil((missing * millisecondsPerSecond) / perSecond) };
}

/** Creates an allocator without any buckets. */
export function createPermitAllocator(clock: Clock): PermitAllocator {
  const buckets = new Map<string, PermitBucket>();

  const bucketOf = (target: string): PermitBucket => {
    const existing = buckets.get(target);
    if (existing) return existing;
    // Starts empty, since another box may have granted permits until now.
    const created = { level: 0, backlog: 0, refilledAt: clock.now() };
    buckets.set(target, created);
    return created;
  };

  const refilledBucket = (target: string, rate: number): PermitBucket => {
    const bucket = bucketOf(target);
    refill(bucket, rate, clock.now());
    return bucket;
  };
  const rateOf = ({ perSecond }: PermitRequest, share: number) =>
    Math.max(minPerSecond, perSecond) * share;

  return {
    grant(request, share) {
      const { target, withinMs } = request;
      const rate = rateOf(request, share);
      const bucket = refilledBucket(target, rate);
      const waitMs = Math.max(0, Math.ceil(((1 - bucket.level) * millisecondsPerSecond) / rate));
      if (waitMs > withinMs) return refuse(bucket, rate);
      bucket.level -= 1;
      return { granted: true, waitMs };
    },
    correct(request, share) {
      const bucket = refilledBucket(request.target, rateOf(request, share));
      bucket.level += request.correction === "unused" ? 1 : -1;
    },
    reset() {
      for (const bucket of buckets.values()) {
        bucket.level = Math.min(0, bucket.level);
        bucket.refilledAt = clock.now();
      }
    },
    forget: (target) => void buckets.delete(target),
  };
}
