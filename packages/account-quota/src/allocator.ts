/**
 * Allocates the limits of client accounts from one token bucket per account. Each account has a single allocating
 * box; counting per box with periodic synchronization would admit several times the limit until counts converge.
 */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { QuotaGrant, QuotaRate, QuotaRequest } from "./messages.js";

/** The token bucket of one account. */
interface AccountBucket {
  rate: QuotaRate;
  /** Version of the configuration that `rate` was read from. */
  version: number;
  /** Available units; negative after a request larger than what was left. */
  level: number;
  /** Units of refused requests that are expected to be retried. */
  backlog: number;
  refilledAt: Milliseconds;
}

export interface QuotaAllocator {
  grant(request: QuotaRequest): QuotaGrant;
  /** Deducts units that another allocator has granted, or restores units that were granted in vain. */
  correct(request: QuotaRequest): void;
  /** Caps every bucket at its initial level, since isolated boxes have admitted requests from their own shares. */
  reset(): void;
}

const millisecondsPerSecond = 1000;
/** Fraction of the burst that is never granted ahead, but reserved for waiting requests. */
const reservedBurstFraction = 0.25;
/** After this time without requests, another allocator may have served the account. */
const idleResetMs: Milliseconds = 2_000;
/** Upper bound of the backlog, in seconds at the account's rate. */
const maxBacklogSeconds = 4;

function refill(bucket: AccountBucket, now: Milliseconds): void {
  const { perSecond, burst } = bucket.rate;
  const gained = ((now - bucket.refilledAt) * perSecond) / millisecondsPerSecond;
  bucket.level = Math.min(burst, bucket.level + gained);
  bucket.backlog = Math.max(0, bucket.backlog - gained);
  bucket.refilledAt = now;
}

/** Applies the limit of a request unless its version is outdated; the level is capped at the new burst. */
function applyLimit(bucket: AccountBucket, { rate, version }: QuotaRequest): void {
  if (version < bucket.version) return;
  bucket.rate = rate;
  bucket.version = version;
  bucket.level = Math.min(bucket.level, rate.burst);
}

function refuse(bucket: AccountBucket, needed: number): QuotaGrant {
  const { perSecond } = bucket.rate;
  const missing = bucket.backlog - bucket.level;
  bucket.backlog = Math.min(bucket.backlog + needed, perSecond * maxBacklogSeconds);
  return { granted: 0, waitMs: 1 + Math.ceil((missing * millisecondsPerSecond) / perSecond) };
}

/**
 * Creates an allocator without any buckets.
 *
 * @param initialLevel units in a new or idle bucket. A previous allocator may have granted units that this one
 *   has no record of, so the value must stay within the tolerated overage.
 */
export function createQuotaAllocator(
  clock: Clock,
  initialLevel: (rate: QuotaRate) => number,
): QuotaAllocator {
  const buckets = new Map<string, AccountBucket>();

  const bucketFor = ({ account, rate, version }: QuotaRequest): AccountBucket => {
    const existing = buckets.get(account);
    if (existing) return existing;
    const level = Math.min(rate.burst, initialLevel(rate));
    const created = { rate, version, level, backlog: 0, refilledAt: clock.now() };
    buckets.set(account, created);
    return created;
  };

  const updatedBucket = (request: QuotaRequest): AccountBucket => {
    const bucket = bucketFor(request);
    const wasIdle = clock.now() - bucket.refilledAt > idleResetMs;
    refill(bucket, clock.now());
    applyLimit(bucket, request);
    if (wasIdle) bucket.level = Math.min(bucket.level, initialLevel(bucket.rate));
    return bucket;
  };

  return {
    grant(request) {
      const bucket = updatedBucket(request);
      const { burst } = bucket.rate;
      // A request is granted while the level is positive and may overdraw the bucket. This keeps large requests
      // from being starved by small ones, and admits requests larger than the burst.
      if (request.needed > 0 && bucket.level <= 0) return refuse(bucket, request.needed);
      bucket.level -= request.needed;
      const spare = Math.max(0, bucket.level - burst * reservedBurstFraction);
      const ahead = Math.min(request.ahead, spare);
      bucket.level -= ahead;
      return { granted: request.needed + ahead, waitMs: 0 };
    },
    correct(request) {
      const bucket = updatedBucket(request);
      const change = request.correction === "unused" ? request.needed : -request.needed;
      bucket.level = Math.min(bucket.rate.burst, bucket.level + change);
    },
    reset() {
      for (const bucket of buckets.values()) {
        refill(bucket, clock.now());
        bucket.level = Math.min(bucket.level, initialLevel(bucket.rate));
      }
    },
  };
}
