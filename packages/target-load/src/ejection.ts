/** Outlier ejection: excludes failing targets for a limited time, up to a maximum fraction of the targets. */
import type { Milliseconds } from "@linkfall/types";

/** Number of consecutive failures after which a target is ejected. */
const minFailuresToEject = 3;
/** Ejections double in length until the target succeeds, up to this multiple of the first one. */
const maxDurationFactor = 8;

interface FailureRecord {
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: Milliseconds;
}

export interface Ejection {
  /** @returns whether the failure caused the target to be ejected. */
  recordFailure(target: string, now: Milliseconds): boolean;
  recordSuccess(target: string): void;
  /** Excludes a target for the back-off time that it requested. */
  backOff(target: string, forMs: Milliseconds, now: Milliseconds): void;
  /** Time until the end of the target's back-off; 0 if it has none. */
  backOffRemainingMs(target: string, now: Milliseconds): Milliseconds;
  /**
   * Selects the items whose targets are neither backing off nor ejected. Ejections are limited to `maxEjectedShare` of the
   * accepting targets; back-offs are not, as the targets themselves asked for them.
   */
  selectAvailable<T>(
    items: readonly T[],
    targetOf: (item: T) => string,
    now: Milliseconds,
  ): readonly T[];
}

/**
 * Creates the ejection state of one box, without failures.
 *
 * @param firstEjectionMs duration of the first ejection
 * @param maxEjectedShare maximum fraction of the targets that may be ejected, from 0 to 1
 */
export function createEjection(firstEjectionMs: Milliseconds, maxEjectedShare: number): Ejection {
  const records = new Map<string, FailureRecord>();
  const ejectedUntil = (target: string) => records.get(target)?.ejectedUntil ?? -Infinity;
  /** Clock reading at which the requested back-off of a target ends. */
  const backOffUntil = new Map<string, Milliseconds>();
  const backOffRemainingMs = (target: string, now: Milliseconds): Milliseconds =>
    Math.max(0, (backOffUntil.get(target) ?? -Infinity) - now);
  const excludeEjected = <T>(
    items: readonly T[],
    targetOf: (item: T) => string,
    now: Milliseconds,
  ): readonly T[] => {
    const ejected = items.filter((item) => ejectedUntil(targetOf(item)) > now);
    const maxEjected = Math.floor(items.length * maxEjectedShare);
    const byEjectionEnd = [...ejected].sort(
      (a, b) => ejectedUntil(targetOf(a)) - ejectedUntil(targetOf(b)),
    );
    const excluded = new Set(byEjectionEnd.slice(Math.max(0, ejected.length - maxEjected)));
    return items.filter((item) => !excluded.has(item));
  };
  return {
    recordFailure(target, now) {
      const record = records.get(target) ?? {
        consecutiveFailures: 0,
        ejections: 0,
        ejectedUntil: -Infinity,
      };
      records.set(target, record);
      record.consecutiveFailures += 1;
      if (record.consecutiveFailures < minFailuresToEject || now < record.ejectedUntil)
        return false;
      const factor = Math.min(maxDurationFactor, 2 ** record.ejections);
      record.ejectedUntil = now + firstEjectionMs * factor;
      record.ejections += 1;
      return true;
    },
    backOff(target, forMs, now) {
      backOffUntil.set(target, Math.max(backOffUntil.get(target) ?? -Infinity, now + forMs));
    },
    recordSuccess: (target) => void records.delete(target),
    selectAvailable(items, targetOf, now) {
      const accepting = items.filter((item) => backOffRemainingMs(targetOf(item), now) === 0);
      return excludeEjected(accepting, targetOf, now);
    },
    backOffRemainingMs,
  };
}
