/** Caches refused permits, so that a target without permits is not requested again at once. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

interface Refusal {
  /** Maximum wait of the refused request; requests that can wait longer are not covered. */
  readonly maxWaitMs: Milliseconds;
  readonly validUntil: Milliseconds;
  /** Earliest time at which the next refused request may be retried. */
  retryAt: Milliseconds;
}

export interface ExhaustedTargets {
  /** Caches a refusal; `waitMs` is the time until the next permit. */
  recordRefusal(target: string, maxWaitMs: Milliseconds, waitMs: Milliseconds): void;
  /** Whether a cached refusal covers a permit request with this maximum wait. */
  isExhausted(target: string, maxWaitMs: Milliseconds): boolean;
  /** Time until the next permit that is not reserved by a refused request. */
  msUntilPermit(target: string): Milliseconds;
  /** Moves the time of the next permit back by one request. */
  reserveRetry(target: string, perSecond: number): void;
  forget(target: string): void;
}

const millisecondsPerSecond = 1000;
/** Maximum time for which a refusal is answered from the cache. */
const maxRefusalCacheMs: Milliseconds = 200;

export function createExhaustedTargets(clock: Clock): ExhaustedTargets {
  const refusals = new Map<string, Refusal>();
  return {
    recordRefusal(target, maxWaitMs, waitMs) {
      const now = clock.now();
      const validUntil = now + Math.min(waitMs, maxRefusalCacheMs);
      refusals.set(target, { maxWaitMs, validUntil, retryAt: now + waitMs });
    },
    isExhausted(target, maxWaitMs) {
      const refusal = refusals.get(target);
      return (
        refusal !== undefined && clock.now() < refusal.validUntil && maxWaitMs <= refusal.maxWaitMs
      );
    },
    msUntilPermit(target) {
      const refusal = refusals.get(target);
      return refusal ? Math.max(0, Math.ceil(refusal.retryAt - clock.now())) : 0;
    },
    reserveRetry(target, perSecond) {
      const refusal = refusals.get(target);
      if (refusal) refusal.retryAt += millisecondsPerSecond / perSecond;
    },
    forget: (target) => void refusals.delete(target),
  };
}
