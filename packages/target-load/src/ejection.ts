/** Leaves out targets that fail, for a while and up to a share of each choice. */
import type { Milliseconds } from "@linkfall/types";

/** Failures in a row after which a target is left out. */
const failuresToEject = 3;
/** Each further ejection without a success between lasts longer, up to this many times. */
const longestFactor = 8;

/** A target is not left alone for longer, whatever it asks for: it could not be found well again. */
const longestLeftAloneMs: Milliseconds = 10_000;

interface FailureRecord {
  inRow: number;
  ejections: number;
  until: Milliseconds;
}

export interface Ejection {
  /** @returns whether this failure has put the target out. */
  failed(target: string, now: Milliseconds): boolean;
  succeeded(target: string): void;
  /** Leaves a target out that has asked to be left alone for a time. */
  leaveAlone(target: string, forMs: Milliseconds, now: Milliseconds): void;
  /** Those that are not left out; never less than `1 - share` of the targets that don't ask to be left alone, if there are any. */
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
  /** Until when targets that asked for it are left alone. */
  const leftAlone = new Map<string, Milliseconds>();
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
    leaveAlone(target, forMs, now) {
      leftAlone.set(target, now + Math.min(forMs, longestLeftAloneMs));
    },
    succeeded: (target) => void records.delete(target),
    keep(items, targetOf, now) {
      const willing = items.filter((item) => (leftAlone.get(targetOf(item)) ?? 0) <= now);
      return keepSound(willing.length > 0 ? willing : items, targetOf, now);
    },
  };
}
