/** Records the latest change of each target, to send boxes that don't read the store only the changes they lack. */
import type { TargetChanges } from "@linkfall/box-peers";
import type { ListedTarget, Offset } from "@linkfall/types";

/** The latest change of each target of the list. */
export interface TargetChangeLog {
  /** Replaces all records by the full list as of offset `end`. */
  replace(targets: readonly ListedTarget[], unreadableIds: readonly string[], end: Offset): void;
  /** Records a new or changed entry; one that only differs in models or heartbeats is ignored. */
  recordChanged(target: ListedTarget, offset: Offset): void;
  /** Records that an entry was deleted. */
  recordRemoved(id: string, offset: Offset): void;
  /** Records that an entry can't be read. */
  recordUnreadable(id: string, offset: Offset): void;
  /** Returns the changes from offset `since` up to `end`, or the full list if removals since then are unknown. */
  changesSince(since: Offset, end: Offset): TargetChanges;
}

interface ChangeEntry {
  /** Offset of the latest change. */
  readonly offset: Offset;
  /** Absent if the target was removed, or its entry can't be read. */
  readonly target?: ListedTarget;
  readonly unreadable?: boolean;
}

/** Limit of recorded removals; the oldest are dropped. */
const maxRemovedEntries = 2_000;

/** Omits the models, as other boxes receive the engines' holdings from the lease holder. */
function withoutModels({ models: _, ...target }: ListedTarget): ListedTarget {
  return target;
}

function withoutHeartbeats({ heartbeats: _, ...target }: ListedTarget): ListedTarget {
  return target;
}

const isSame = (left: ListedTarget | undefined, right: ListedTarget): boolean =>
  left !== undefined &&
  JSON.stringify(withoutHeartbeats(left)) === JSON.stringify(withoutHeartbeats(right));

const isRemoved = ({ target, unreadable }: ChangeEntry): boolean => !target && !unreadable;

/** Creates an empty log. */
export function createTargetChangeLog(): TargetChangeLog {
  const entries = new Map<string, ChangeEntry>();
  /** Removals before this offset are unknown. */
  let firstCompleteOffset: Offset = 0;

  const dropOldestRemovals = () => {
    const removed = [...entries].filter(([, entry]) => isRemoved(entry));
    for (const [id, { offset }] of removed.slice(
      0,
      Math.max(0, removed.length - maxRemovedEntries),
    )) {
      entries.delete(id);
      firstCompleteOffset = Math.max(firstCompleteOffset, offset + 1);
    }
  };

  return {
    replace(targets, unreadable, end) {
      entries.clear();
      firstCompleteOffset = end;
      for (const target of targets) {
        entries.set(target.id, { offset: end - 1, target: withoutModels(target) });
      }
      for (const id of unreadable) entries.set(id, { offset: end - 1, unreadable: true });
    },
    recordChanged(target, offset) {
      const entry = withoutModels(target);
      if (isSame(entries.get(target.id)?.target, entry)) return;
      entries.set(target.id, { offset, target: entry });
    },
    recordRemoved(id, offset) {
      entries.delete(id);
      entries.set(id, { offset });
      dropOldestRemovals();
    },
    recordUnreadable(id, offset) {
      if (entries.get(id)?.unreadable) return;
      entries.set(id, { offset, unreadable: true });
    },
    changesSince(since, end) {
      const whole = since < firstCompleteOffset;
      const changes = [...entries].filter(([, entry]) => whole || entry.offset >= since);
      return {
        end,
        whole,
        changed: changes.flatMap(([, entry]) => entry.target ?? []),
        gone: whole ? [] : changes.flatMap(([id, entry]) => (isRemoved(entry) ? [id] : [])),
        unreadable: changes.flatMap(([id, entry]) => (entry.unreadable ? [id] : [])),
      };
    },
  };
}
