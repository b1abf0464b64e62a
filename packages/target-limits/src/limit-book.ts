/** What one box knows of the limits that targets have named: from its own answers, and from other boxes. */
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

/** One target that has named a limit; changed in place by the book that owns it. */
interface Entry {
  /** Absent once the target takes any number again. */
  perSecond?: number;
  /** When that was first said, by the clock's `elapsed`. */
  since: Milliseconds;
  /** When the newest answer that said so was read, by the clock's `elapsed`. */
  heardAt: Milliseconds;
  /** Number of the last change. */
  number: number;
}

/** What one answer of a target shows. */
export interface ObservedAnswer {
  readonly target: string;
  readonly notice: AdvertisedLimit;
  /** Time since the request was sent that it answers. */
  readonly sentMsAgo: Milliseconds;
  /** Whether the target has made the answer as it should; failures may lack what it says of itself. */
  readonly served: boolean;
}

/** A change of a target's limit. */
export interface LimitChange {
  readonly target: string;
  /** Absent where the limit has ended. */
  readonly perSecond?: number;
  /** Who said so. */
  readonly source: "target" | "box";
}

export interface LimitRegistry {
  /** Takes what an answer says. */
  recordAnswer(answer: ObservedAnswer): void;
  /** Requests a second that the target takes; undefined where it takes any number. */
  limitOf(target: string): number | undefined;
  /** Time since the target itself was last heard to name its limit; 0 where it has none. */
  msSinceConfirmed(target: string): Milliseconds;
  /** Targets whose limits hold now. */
  limited(): readonly LimitedTarget[];
  /** Forgets a target whose life has ended. */
  forget(target: string): void;
  /** What another box lacks that has followed this one to `number`. */
  changesSince(number: number): TargetLimitMessage;
  /** Takes the word of another box. */
  applyChanges(from: Incarnation, word: TargetLimitMessage): void;
  /** How far this box has followed another one. */
  appliedSequence(other: Incarnation): number;
  /** Calls the listener with each change. */
  onChange(listener: (change: LimitChange) => void): void;
}

/** Targets that are remembered; those whose limits have ended go first. */
const mostEntries = 5_000;

/** Start of a target's life, as far as this box knows it. */
export type TargetStartLookup = (target: string) => Milliseconds | undefined;

/** Creates a book in which no target has a limit. */
export function createLimitRegistry(clock: Clock, bornOf: TargetStartLookup): LimitRegistry {
  const entries = new Map<string, Entry>();
  const followed = createReceivedUpdates();
  const listeners: ((change: LimitChange) => void)[] = [];
  let newest = 0;

  const makeRoom = () => {
    if (entries.size < mostEntries) return;
    const ended = [...entries].find(([, { perSecond }]) => perSecond === undefined);
    const [oldest] = ended ?? [entries.keys().next().value ?? ""];
    entries.delete(oldest);
  };

  const set = (
    target: string,
    perSecond: number | undefined,
    heardAt: Milliseconds,
    source: LimitChange["source"],
  ) => {
    const known = entries.get(target);
    if (known && known.perSecond === perSecond) {
      known.heardAt = heardAt;
      return;
    }
    makeRoom();
    newest += 1;
    const since = known?.perSecond === undefined ? heardAt : known.since;
    entries.set(target, { perSecond, since, heardAt, number: newest });
    for (const listener of listeners) listener({ target, perSecond, source });
  };

  const isOtherLife = ({ target, born }: TargetLimitRecord) => {
    const known = bornOf(target);
    return born !== undefined && known !== undefined && born !== known;
  };
  const takeRecord = (record: TargetLimitRecord) => {
    const { target, perSecond, ageMs } = record;
    if (isOtherLife(record)) return;
    const heardAt = clock.elapsed() - ageMs;
    const known = entries.get(target);
    if (known ? heardAt <= known.heardAt : perSecond === undefined) return;
    set(target, perSecond, heardAt, "box");
  };

  return {
    recordAnswer({ target, notice, sentMsAgo, served }) {
      const now = clock.elapsed();
      if (notice.kind === "limited") return set(target, notice.perSecond, now, "target");
      const known = entries.get(target);
      if (known?.perSecond === undefined || notice.kind === "unreadable") return;
      // The head of a long answer may be older than the limit.
      if (served && now - sentMsAgo > known.heardAt) set(target, undefined, now, "target");
    },
    limitOf: (target) => entries.get(target)?.perSecond,
    msSinceConfirmed(target) {
      const known = entries.get(target);
      return known?.perSecond === undefined ? 0 : clock.elapsed() - known.heardAt;
    },
    limited: () =>
      [...entries].flatMap(([target, { perSecond, since }]) =>
        perSecond === undefined ? [] : { target, perSecond, forMs: clock.elapsed() - since },
      ),
    forget: (target) => void entries.delete(target),
    changesSince(number) {
      const news = [...entries].filter(([, entry]) => entry.number > number);
      const records = news.map(([target, { perSecond, heardAt }]) => {
        const ageMs = Math.round(clock.elapsed() - heardAt);
        return { target, born: bornOf(target), perSecond, ageMs };
      });
      return { number: newest, records };
    },
    applyChanges(from, word) {
      for (const record of word.records) takeRecord(record);
      followed.record(from, word.number);
    },
    appliedSequence: followed.latestFrom,
    onChange: (listener) => void listeners.push(listener),
  };
}
