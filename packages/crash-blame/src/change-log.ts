/** The order in which records changed, so that the changes after a position are found without looking at all records. */
import type { Incarnation } from "@linkfall/types";

interface Change<Key> {
  readonly sequence: number;
  /** Identifies the record that changed. */
  readonly id: string;
  readonly key: Key;
  /** The box that sent the record as it is now; undefined if this box changed it. */
  readonly from?: Incarnation;
}

export interface ChangeLog<Key> {
  /** Position of the newest change; 0 before the first. */
  lastSequence(): number;
  /** Notes that the record has changed; `from` is the box that sent it in this form. */
  append(id: string, key: Key, from?: Incarnation): void;
  /**
   * Keys of the records that changed after a position, each once, the least recently changed first; without those that
   * `recipient` sent itself.
   */
  changedSince(sequence: number, recipient?: Incarnation): readonly Key[];
}

/** Superseded entries are dropped when the log has grown by this factor, so that dropping is rare. */
const compactionFactor = 2;
const minCompactedLength = 1_024;

/** Creates an empty log. */
export function createChangeLog<Key>(): ChangeLog<Key> {
  let changes: Change<Key>[] = [];
  let lastSequence = 0;
  let compactAt = minCompactedLength;

  const newestOfEach = (from: number): Change<Key>[] => {
    const seen = new Set<string>();
    const newest: Change<Key>[] = [];
    for (let index = changes.length - 1; index >= from; index--) {
      const change = changes[index];
      if (seen.has(change.id)) continue;
      seen.add(change.id);
      newest.push(change);
    }
    return newest.reverse();
  };
  const firstAfter = (sequence: number): number => {
    let index = changes.length;
    while (index > 0 && changes[index - 1].sequence > sequence) index -= 1;
    return index;
  };

  return {
    lastSequence: () => lastSequence,
    append(id, key, from) {
      lastSequence += 1;
      changes.push({ sequence: lastSequence, id, key, from });
      if (changes.length < compactAt) return;
      changes = newestOfEach(0);
      compactAt = Math.max(minCompactedLength, changes.length * compactionFactor);
    },
    changedSince: (sequence, recipient) =>
      newestOfEach(firstAfter(sequence))
        .filter(({ from }) => from === undefined || from !== recipient)
        .map(({ key }) => key),
  };
}
