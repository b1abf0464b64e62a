/** The order in which records changed, so that the changes after a position are found without looking at all records. */

interface Change {
  readonly sequence: number;
  /** Identifies the record that changed. */
  readonly key: string;
}

export interface ChangeLog {
  /** Position of the newest change; 0 before the first. */
  lastSequence(): number;
  /** Notes that the record has changed. */
  append(key: string): void;
  /** Keys of the records that changed after a position, each once, the least recently changed first. */
  changedSince(sequence: number): readonly string[];
}

/** Superseded entries are dropped when the log has grown by this factor, so that dropping is rare. */
const compactionFactor = 2;
const minCompactedLength = 1_024;

/** Creates an empty log. */
export function createChangeLog(): ChangeLog {
  let changes: Change[] = [];
  let lastSequence = 0;
  let compactAt = minCompactedLength;

  const newestOfEach = (from: number): Change[] => {
    const seen = new Set<string>();
    const newest: Change[] = [];
    for (let index = changes.length - 1; index >= from; index--) {
      const change = changes[index];
      if (seen.has(change.key)) continue;
      seen.add(change.key);
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
    append(key) {
      lastSequence += 1;
      changes.push({ sequence: lastSequence, key });
      if (changes.length < compactAt) return;
      changes = newestOfEach(0);
      compactAt = Math.max(minCompactedLength, changes.length * compactionFactor);
    },
    changedSince: (sequence) => newestOfEach(firstAfter(sequence)).map(({ key }) => key),
  };
}
