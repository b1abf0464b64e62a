/**
 * Remembers which targets have said in a response that they are leaving, and replicates these notices between boxes. A
 * target's list entry may say so much later, or never.
 */
import { createReceivedUpdates } from "@linkfall/followed-news";
import type { Clock } from "@linkfall/kernel";
import {
  type Incarnation,
  isSameIncarnation,
  type LeavingMessage,
  type LeavingNotice,
  type Milliseconds,
} from "@linkfall/types";

/** Whether this box received the notice from the target itself, from its list entry or from another box. */
export type NoticeSource = "target" | "list" | "box";

export interface LeavingTargets {
  /** Records a notice; ignored if it is known. */
  record(notice: LeavingNotice, source: NoticeSource): void;
  /** Whether the incarnation of the target that started at `born` is leaving; an unknown start time matches any. */
  isLeaving(target: string, born: Milliseconds | undefined): boolean;
  /** Drops the notice of an incarnation of the target other than the one that started at `born`. */
  startIncarnation(target: string, born: Milliseconds | undefined): void;
  /** Drops the notices of targets that have not been known for a while. */
  expire(isKnown: (target: string) => boolean): void;
  /** Returns the notices after a sequence number of this box, for another box to apply. */
  noticesSince(sequence: number): LeavingMessage;
  /** Applies notices from another box. */
  applyNotices(from: Incarnation, message: LeavingMessage): void;
  /** Sequence number up to which the notices of another box have been applied. */
  appliedSequence(other: Incarnation): number;
  /** Calls the listener for each new notice. */
  onNotice(listener: (notice: LeavingNotice, source: NoticeSource) => void): void;
}

interface NoticeEntry {
  readonly notice: LeavingNotice;
  /** Sequence number of this box for the notice. */
  readonly sequence: number;
  /** When the target was last known, by `Clock.now`. */
  lastKnownAt: Milliseconds;
}

/** The oldest notices are evicted first. */
const maxNotices = 5_000;
/** A target without a list entry may serve, and be listed again, for this long. */
const retentionMs: Milliseconds = 600_000;

/** Creates a registry without notices. */
export function createLeavingTargets(clock: Clock): LeavingTargets {
  const entries = new Map<string, NoticeEntry>();
  const applied = createReceivedUpdates();
  const listeners: ((notice: LeavingNotice, source: NoticeSource) => void)[] = [];
  let lastSequence = 0;

  /** Start times grow with each incarnation unless the target's clock was set back, so a box may relay an older notice. */
  const isOutdated = ({ target, born }: LeavingNotice, source: NoticeSource) => {
    const knownBorn = entries.get(target)?.notice.born;
    return source === "box" && (born ?? Infinity) < (knownBorn ?? -Infinity);
  };

  const record = (notice: LeavingNotice, source: NoticeSource) => {
    const { target, born } = notice;
    const known = entries.get(target);
    if (known && isSameIncarnation(known.notice.born, born)) return;
    if (isOutdated(notice, source)) return;
    lastSequence += 1;
    entries.delete(target);
    entries.set(target, { notice, sequence: lastSequence, lastKnownAt: clock.now() });
    if (entries.size > maxNotices) entries.delete(entries.keys().next().value ?? "");
    for (const listener of listeners) listener(notice, source);
  };

  return {
    record,
    isLeaving(target, born) {
      const entry = entries.get(target);
      return entry !== undefined && isSameIncarnation(entry.notice.born, born);
    },
    startIncarnation(target, born) {
      const known = entries.get(target)?.notice.born;
      if (known === undefined || known !== born) entries.delete(target);
    },
    expire(isKnown) {
      const now = clock.now();
      for (const [target, entry] of entries) {
        if (isKnown(target)) entry.lastKnownAt = now;
        else if (now - entry.lastKnownAt > retentionMs) entries.delete(target);
      }
    },
    noticesSince(sequence) {
      const newer = [...entries.values()].filter((entry) => entry.sequence > sequence);
      return { number: lastSequence, notices: newer.map(({ notice }) => notice) };
    },
    applyNotices(from, { notices, number }) {
      for (const notice of notices) record(notice, "box");
      applied.record(from, number);
    },
    appliedSequence: applied.latestFrom,
    onNotice: (listener) => void listeners.push(listener),
  };
}
