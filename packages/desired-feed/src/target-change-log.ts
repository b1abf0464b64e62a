/** Which targets of the list changed when, so that a box that does not read the list is told only what it lacks. */
import type { TargetChanges } from "@linkfall/box-peers";
import type { ListedTarget, Offset } from "@linkfall/types";

export interface TargetChangeLog {
  /** Takes the whole list as of `end`. */
  replace(targets: readonly ListedTarget[], unreadableIds: readonly string[], end: Offset): void;
  recordChanged(target: ListedTarget, offset: Offset): void;
  recordRemoved(id: string, offset: Offset): void;
  recordUnreadable(id: string, offset: Offset): void;
  /** What changed from `since` on, up to `end`. */
  changesSince(since: Offset, end: Offset): TargetChanges;
}

interface Entry {
  /** The record that brought the last change. */
  readonly offset: Offset;
  /** Absent where the target has gone, or its entry can't be read. */
  readonly target?: ListedTarget;
  readonly unreadable?: boolean;
}

/** Targets that are gone and still remembered. */
const mostGone = 2_000;

/** What other boxes need of a target: engines' holdings come from the holder of the order lease. */
function withoutModels({ models: _, ...target }: ListedTarget): ListedTarget {
  return target;
}

const isSame = (left: ListedTarget | undefined, right: ListedTarget): boolean =>
  left !== undefined && JSON.stringify(left) === JSON.stringify(right);

const isGone = ({ target, unreadable }: Entry): boolean => !target && !unreadable;

/** Creates a log that knows of nothing. */
export function createTargetChangeLog(): TargetChangeLog {
  const entries = new Map<string, Entry>();
  /** Before this offset it is not known what has gone. */
  let first: Offset = 0;

  const forgetOldest = () => {
    const gone = [...entries].filter(([, entry]) => isGone(entry));
    for (const [id, { offset }] of gone.slice(0, Math.max(0, gone.length - mostGone))) {
      entries.delete(id);
      first = Math.max(first, offset + 1);
    }
  };

  return {
    replace(targets, unreadable, end) {
      entries.clear();
      first = end;
      for (const target of targets) {
        entries.set(target.id, { offset: end - 1, target: withoutModels(target) });
      }
      for (const id of unreadable) entries.set(id, { offset: end - 1, unreadable: true });
    },
    recordChanged(target, offset) {
      const told = withoutModels(target);
      if (isSame(entries.get(target.id)?.target, told)) return;
      entries.set(target.id, { offset, target: told });
    },
    recordRemoved(id, offset) {
      entries.delete(id);
      entries.set(id, { offset });
      forgetOldest();
    },
    recordUnreadable(id, offset) {
      if (entries.get(id)?.unreadable) return;
      entries.set(id, { offset, unreadable: true });
    },
    changesSince(since, end) {
      const whole = since < first;
      const told = [...entries].filter(([, entry]) => whole || entry.offset >= since);
      return {
        end,
        whole,
        changed: told.flatMap(([, entry]) => entry.target ?? []),
        gone: whole ? [] : told.flatMap(([id, entry]) => (isGone(entry) ? [id] : [])),
        unreadable: told.flatMap(([id, entry]) => (entry.unreadable ? [id] : [])),
      };
    },
  };
}
