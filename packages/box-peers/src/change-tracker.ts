/** Numbers the changes of keyed values, so that each reader receives only what it lacks. */

export interface ChangeTracker<Value> {
  /** Sets the current values; keys that are missing are removed. */
  update(values: ReadonlyMap<string, Value>): void;
  /** Values that changed after the given number. */
  changedAfter(number: number): readonly Value[];
  /** Number of the latest change; 0 before the first one. */
  latestNumber(): number;
}

interface NumberedValue<Value> {
  readonly value: Value;
  readonly number: number;
}

/** Creates a tracker that numbers changes from 1; `same` compares two values of a key. */
export function createChangeTracker<Value>(
  same: (previous: Value, now: Value) => boolean,
): ChangeTracker<Value> {
  const numbered = new Map<string, NumberedValue<Value>>();
  let newest = 0;
  return {
    update(values) {
      for (const [name, value] of values) {
        const previous = numbered.get(name);
        if (previous && same(previous.value, value)) continue;
        newest += 1;
        numbered.set(name, { value, number: newest });
      }
      for (const name of numbered.keys()) {
        if (!values.has(name)) numbered.delete(name);
      }
    },
    changedAfter: (number) =>
      [...numbered.values()].filter((entry) => entry.number > number).map(({ value }) => value),
    latestNumber: () => newest,
  };
}
