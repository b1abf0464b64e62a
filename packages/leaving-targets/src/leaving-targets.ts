/**
 * Remembers which targets have said in a response that they are leaving, and replicates these notices between boxes. A
 * target's list entry may say so much later, or never.
 */
import type { Clock } from "@linkfall/kernel";
import {
  type Incarnation,
  isSameIncarnation,
  type LeavingMessage,
  type LeavingNotice,
  type Milliseconds,
} from "@linkfall/types";
import { createNoticeLog } from "./notice-log.js";

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

/** Creates a registry without notices. */
export function createLeavingTargets(clock: Clock): LeavingTargets {
  const log = createNoticeLog<LeavingNotice>(clock);
  const listeners: ((notice: LeavingNotice, source: NoticeSource) => void)[] = [];

  /** Start times grow with each incarnation unless the target's clock was set back, so a box may relay an older notice. */
  const isOutdated = ({ target, born }: LeavingNotice, source: NoticeSource) => {
    const knownBorn = log.get(target)?.born;
    return source === "box" && (born ?? Infinity) < (knownBorn ?? -Infinity);
  };

  const record = (notice: LeavingNotice, source: NoticeSource) => {
    const known = log.get(notice.target);
    if (known && isSameIncarnation(known.born, notice.born)) return;
    if (isOutdated(notice, source)) return;
    log.add(notice);
    for (const listener of listeners) listener(notice, source);
  };

  return {
    record,
    isLeaving(target, born) {
      const notice = log.get(target);
      return notice !== undefined && isSameIncarnation(notice.born, born);
    },
    startIncarnation(target, born) {
      const known = log.get(target)?.born;
      if (known === undefined || known !== born) log.delete(target);
    },
    expire: log.expire,
    noticesSince: log.since,
    applyNotices(from, { notices, number }) {
      for (const notice of notices) record(notice, "box");
      log.recordApplied(from, number);
    },
    appliedSequence: log.appliedSequence,
    onNotice: (listener) => void listeners.push(listener),
  };
}
