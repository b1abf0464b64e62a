/** Notices about targets, at most one for each, numbered so that other boxes can be sent those that they lack. */
import { createReceivedUpdates } from "@linkfall/followed-news";
import type { Clock } from "@linkfall/kernel";
import type { Incarnation, LeavingNotice, Milliseconds } from "@linkfall/types";

/** Notices after a position in the sender's sequence. */
export interface NoticeMessage<Notice> {
  /** Position that the receiver has reached after applying the notices. */
  readonly number: number;
  readonly notices: readonly Notice[];
}

/** The newest notice about each target. */
export interface NoticeLog<Notice> {
  get(target: string): Notice | undefined;
  /** Replaces the notice about its target; the oldest notice is evicted if there are too many. */
  add(notice: Notice): void;
  delete(target: string): void;
  /** Drops the notices about targets that have not been known for a while. */
  expire(isKnown: (target: string) => boolean): void;
  /** Returns the notices after a sequence number of this box. */
  since(sequence: number): NoticeMessage<Notice>;
  /** Records that all notices of another box up to `number` have been applied. */
  recordApplied(from: Incarnation, number: number): void;
  /** Sequence number up to which the notices of another box have been applied. */
  appliedSequence(other: Incarnation): number;
}

interface LogEntry<Notice> {
  readonly notice: Notice;
  /** Sequence number of this box for the notice. */
  readonly sequence: number;
  /** When the target was last known, by `Clock.now`. */
  lastKnownAt: Milliseconds;
}

/** The oldest notices are evicted first. */
const maxNotices = 5_000;
/** A target without a list entry may serve, and be listed again, for this long. */
const retentionMs: Milliseconds = 600_000;

/** Creates an empty log. */
export function createNoticeLog<Notice extends LeavingNotice>(clock: Clock): NoticeLog<Notice> {
  const entries = new Map<string, LogEntry<Notice>>();
  const applied = createReceivedUpdates();
  let lastSequence = 0;
  return {
    get: (target) => entries.get(target)?.notice,
    add(notice) {
      lastSequence += 1;
      entries.delete(notice.target);
      entries.set(notice.target, { notice, sequence: lastSequence, lastKnownAt: clock.now() });
      if (entries.size > maxNotices) entries.delete(entries.keys().next().value ?? "");
    },
    delete: (target) => void entries.delete(target),
    expire(isKnown) {
      const now = clock.now();
      for (const [target, entry] of entries) {
        if (isKnown(target)) entry.lastKnownAt = now;
        else if (now - entry.lastKnownAt > retentionMs) entries.delete(target);
      }
    },
    since(sequence) {
      const newer = [...entries.values()].filter((entry) => entry.sequence > sequence);
      return { number: lastSequence, notices: newer.map(({ notice }) => notice) };
    },
    recordApplied: applied.record,
    appliedSequence: applied.latestFrom,
  };
}
