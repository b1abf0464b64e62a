/** Records the rate limits that targets have announced, and replicates them between boxes. */
import { createReceivedUpdates } from "@linkfall/followed-news";
import type { Clock } from "@linkfall/kernel";
import type {
  Incarnation,
  LimitedTarget,
  AdvertisedLimit,
  Milliseconds,
  TargetLimitRecord,
  TargetLimitMessage,
} from "@linkfall/types";

/** The limit of one target. */
interface LimitEntry {
  /** Requests per second; undefined once the target is no longer limited. */
  perSecond?: number;
  /** Start of the current limited period, by `Clock.elapsed`. */
  since: Milliseconds;
  /** Time of the newest response that confirmed the entry, by `Clock.elapsed`. */
  confirmedAt: Milliseconds;
  /** Sequence number of the last change. */
  sequence: number;
}

/** The limit notice of one response from a target. */
export interface ObservedAnswer {
  readonly target: string;
  readonly notice: AdvertisedLimit;
  /** Time since the request was sent. */
  readonly sentMsAgo: Milliseconds;
  /** Whether the target served the request; error responses may lack the limit notice. */
  readonly served: boolean;
}

export interface LimitChange {
  readonly target: string;
  /** Requests per second; undefined if the target is no longer limited. */
  readonly perSecond?: number;
  /** Whether the change was read from a response of the target or received from another box. */
  readonly source: "target" | "box";
}

export interface LimitRegistry {
  /** Updates a target's limit from one of its responses. */
  recordAnswer(answer: ObservedAnswer): void;
  /** Requests per second that the target accepts; undefined if it is not limited. */
  limitOf(target: string): number | undefined;
  /** Time since a response last confirmed the target's limit; 0 if it is not limited. */
  msSinceConfirmed(target: string): Milliseconds;
  /** Targets that are currently limited. */
  limited(): readonly LimitedTarget[];
  /** Removes a target whose incarnation has ended. */
  forget(target: string): void;
  /** Removes targets that are gone and that no response has confirmed for this time. */
  expire(isGone: (target: string) => boolean, keepMs: Milliseconds): void;
  /** Returns the changes after a sequence number of this box, for another box to apply. */
  changesSince(sequence: number): TargetLimitMessage;
  /** Applies changes from another box. */
  applyChanges(from: Incarnation, changes: TargetLimitMessage): void;
  /** Sequence number up to which the changes of another box have been applied. */
  appliedSequence(other: Incarnation): number;
  onChange(listener: (change: LimitChange) => void): void;
}

/** Entries without a limit are evicted first. */
const maxEntries = 5_000;

/** Returns the start time of a target's current incarnation, if known. */
export type TargetStartLookup = (target: string) => Milliseconds | undefined;

/** Creates an empty registry. */
export function createLimitRegistry(clock: Clock, startOf: TargetStartLookup): LimitRegistry {
  const entries = new Map<string, LimitEntry>();
  const applied = createReceivedUpdates();
  const listeners: ((change: LimitChange) => void)[] = [];
  let lastSequence = 0;

  const evictIfFull = () => {
    if (entries.size < maxEntries) return;
    const unlimited = [...entries].find(([, { perSecond }]) => perSecond === undefined);
    const [evicted] = unlimited ?? [entries.keys().next().value ?? ""];
    entries.delete(evicted);
  };

  const set = (
    target: string,
    perSecond: number | undefined,
    confirmedAt: Milliseconds,
    source: LimitChange["source"],
  ) => {
    const entry = entries.get(target);
    if (entry && entry.perSecond === perSecond) {
      entry.confirmedAt = confirmedAt;
      return;
    }
    evictIfFull();
    lastSequence += 1;
    const since = entry?.perSecond === undefined ? confirmedAt : entry.since;
    entries.set(target, { perSecond, since, confirmedAt, sequence: lastSequence });
    for (const listener of listeners) listener({ target, perSecond, source });
  };

  const isOtherIncarnation = ({ target, born }: TargetLimitRecord) => {
    const startedAt = startOf(target);
    return born !== undefined && startedAt !== undefined && born !== startedAt;
  };
  const applyRecord = (record: TargetLimitRecord) => {
    const { target, perSecond, ageMs } = record;
    if (isOtherIncarnation(record)) return;
    const confirmedAt = clock.elapsed() - ageMs;
    const entry = entries.get(target);
    if (entry ? confirmedAt <= entry.confirmedAt : perSecond === undefined) return;
    set(target, perSecond, confirmedAt, "box");
  };

  return {
    recordAnswer({ target, notice, sentMsAgo, served }) {
      const now = clock.elapsed();
      if (notice.kind === "limited") return set(target, notice.perSecond, now, "target");
      const entry = entries.get(target);
      if (entry?.perSecond === undefined || notice.kind === "unreadable") return;
      // The response to a request sent before the limit was confirmed may have been produced before the limit.
      if (served && now - sentMsAgo > entry.confirmedAt) set(target, undefined, now, "target");
    },
    limitOf: (target) => entries.get(target)?.perSecond,
    msSinceConfirmed(target) {
      const entry = entries.get(target);
      return entry?.perSecond === undefined ? 0 : clock.elapsed() - entry.confirmedAt;
    },
    limited: () =>
      [...entries].flatMap(([target, { perSecond, since }]) =>
        perSecond === undefined ? [] : { target, perSecond, forMs: clock.elapsed() - since },
      ),
    forget: (target) => void entries.delete(target),
    expire(isGone, keepMs) {
      const confirmedSince = clock.elapsed() - keepMs;
      for (const [target, { confirmedAt }] of entries)
        if (confirmedAt < confirmedSince && isGone(target)) entries.delete(target);
    },
    changesSince(sequence) {
      const changed = [...entries].filter(([, entry]) => entry.sequence > sequence);
      const records = changed.map(([target, { perSecond, confirmedAt }]) => {
        const ageMs = Math.round(clock.elapsed() - confirmedAt);
        return { target, born: startOf(target), perSecond, ageMs };
      });
      return { number: lastSequence, records };
    },
    applyChanges(from, changes) {
      for (const record of changes.records) applyRecord(record);
      applied.record(from, changes.number);
    },
    appliedSequence: applied.latestFrom,
    onChange: (listener) => void listeners.push(listener),
  };
}
