/** Leaves out targets that fail, for a while and up to a share of each choice. */
import type { Milliseconds } from "@linkfall/types";

/** Failures in a row after which a target is left out. */
const minFailuresToEject = 3;
/** Each further ejection without a success between lasts longer, up to this many times. */
const maxDurationFactor = 8;

/** Longest back-off, whatever a target asks for: nobody learns that it has recovered while it gets no requests. */
const maxBackOffMs: Milliseconds = 10_000;

interface FailureRecord {
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: Milliseconds;
}

export interface Ejection {
  /** @returns whether this failure has put the target out. */
  recordFailure(target: string, now: Milliseconds): boolean;
  recordSuccess(target: string): void;
  /** Leaves out a target that has asked for no requests for a time. */
  backOff(target: string, forMs: Milliseconds, now: Milliseconds): void;
  /** Those that are not left out; never less than `1 - share` of the targets that take requests, if there are any. */
  selectAvailable<T>(
    items: readonly T[],
    targetOf: (item: T) => string,
    now: Milliseconds,
  ): readonly T[];
}

/**
 * Creates a record with no failures.
 *
 * @param firstEjectionMs how long the first ejection lasts
 * @param maxEjectedShare most targets of one choice that may be out, from 0 to 1
 */
export function createEjection(firstEjectionMs: Milliseconds, maxEjectedShare: number): Ejection {
  const records = new Map<string, FailureRecord>();
  const ejectedUntil = (target: string) => records.get(target)?.ejectedUntil ?? -Infinity;
  /** When targets that asked for no requests may get some again. */
  const backOffUntil = new Map<string, Milliseconds>();
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
      backOffUntil.set(target, now + Math.min(forMs, maxBackOffMs));
    },
    recordSuccess: (target) => void records.delete(target),
    selectAvailable(items, targetOf, now) {
      const accepting = items.filter((item) => (backOffUntil.get(targetOf(item)) ?? 0) <= now);
      return excludeEjected(accepting.length > 0 ? accepting : items, targetOf, now);
    },
  };
}
