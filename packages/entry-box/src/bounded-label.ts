/** Bounds the number of series that a metric label can create. */

/** Label of absent values and of all values beyond the limit. */
export const otherLabel = "other";

/** Creates a label function that maps the first `maxValues` distinct values to themselves and all others to `otherLabel`. */
export function createBoundedLabel(maxValues: number): (value: string | undefined) => string {
  const seen = new Set<string>();
  return (value) => {
    if (value === undefined) return otherLabel;
    if (!seen.has(value) && seen.size >= maxValues) return otherLabel;
    seen.add(value);
    return value;
  };
}
