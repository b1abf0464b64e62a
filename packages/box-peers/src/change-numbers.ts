/** Numbers the changes of named values, so that each reader is told only what it lacks. */

export interface ChangeTracker<Value> {
  /** Takes the values of now; those that are not named any more are forgotten. */
  update(values: ReadonlyMap<string, Value>): void;
  /** Values that have changed after the given number. */
  changedAfter(number: number): readonly Value[];
  /** The number of the newest change. */
  latestNumber(): number;
}

interface NumberedValue<Value> {
  readonly value: Value;
  readonly number: number;
}

/** Creates numbers from 1 on; `same` tells whether a value has not changed. */
export function createChangeTracker<Value>(
  same: (before: Value, now: Value) => boolean,
): ChangeTracker<Value> {
  const numbered = new Map<string, NumberedValue<Value>>();
  let newest = 0;
  return {
    update(values) {
      for (const [name, value] of values) {
        const before = numbered.get(name);
        if (before && same(before.value, value)) continue;
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
