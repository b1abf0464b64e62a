/** Leaves out targets that fail, for a while and up to a share of each choice. */
import type { Milliseconds } from "@linkfall/types";

/** Failures in a row after which a target is left out. */
const failuresToEject = 3;
/** Each further ejection without a success between lasts longer, up to this many times. */
const longestFactor = 8;

/** Longest back-off, whatever a target asks for: nobody learns that it has recovered while it gets no requests. */
const longestBackOffMs: Milliseconds = 10_000;

interface FailureRecord {
  inRow: number;
  ejections: number;
  until: Milliseconds;
}

export interface Ejection {
  /** @returns whether this failure has put the target out. */
  failed(target: string, now: Milliseconds): boolean;
  succeeded(target: string): void;
  /** Leaves out a target that has asked for no requests for a time. */
  backOff(target: string, forMs: Milliseconds, now: Milliseconds): void;
  /** Those that are not left out; never less than `1 - share` of the targets that take requests, if there are any. */
  keep<T>(items: readonly T[], targetOf: (item: T) => string, now: Milliseconds): readonly T[];
}

/**
 * Creates a record with no failures.
 *
 * @param ejectMs how long the first ejection lasts
 * @param share most targets of one choice that may be out, from 0 to 1
 */
export function createEjection(ejectMs: Milliseconds, share: number): Ejection {
  const records = new Map<string, FailureRecord>();
  const untilOf = (target: string) => records.get(target)?.until ?? -Infinity;
  /** When targets that asked for no requests may get some again. */
  const backOffUntil = new Map<string, Milliseconds>();
  const keepSound = <T>(
    items: readonly T[],
    targetOf: (item: T) => string,
    now: Milliseconds,
  ): readonly T[] => {
    const out = items.filter((item) => untilOf(targetOf(item)) > now);
    const mayBeOut = Math.floor(items.length * share);
    const soonestBack = [...out].sort((a, b) => untilOf(targetOf(a)) - untilOf(targetOf(b)));
    const stayOut = new Set(soonestBack.slice(Math.max(0, out.length - mayBeOut)));
    return items.filter((item) => !stayOut.has(item));
  };
  return {
    failed(target, now) {
      const record = records.get(target) ?? { inRow: 0, ejections: 0, until: -Infinity };
      records.set(target, record);
      record.inRow += 1;
      if (record.inRow < failuresToEject || now < record.until) return false;
      const factor = Math.min(longestFactor, 2 ** record.ejections);
      record.until = now + ejectMs * factor;
      record.ejections += 1;
      return true;
    },
    backOff(target, forMs, now) {
      backOffUntil.set(target, now + Math.min(forMs, longestBackOffMs));
    },
    succeeded: (target) => void records.delete(target),
    keep(items, targetOf, now) {
      const willing = items.filter((item) => (backOffUntil.get(targetOf(item)) ?? 0) <= now);
      return keepSound(willing.length > 0 ? willing : items, targetOf, now);
    },
  };
}
