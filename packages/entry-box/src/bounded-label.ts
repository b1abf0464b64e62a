/** Values of a metric's label, of which only so many have a series of their own. */

/** What stands for all values beyond the first ones, and for none. */
export const otherLabel = "other";

/** Creates a label that keeps the first `most` values apart. */
export function createBoundedLabel(most: number): (value: string | undefined) => string {
  const known = new Set<string>();
  return (value) => {
    if (value === undefined) return otherLabel;
    if (!known.has(value) && known.size >= most) return otherLabel;
    known.add(value);
    return value;
  };
}
