/** Splits long lists over several messages to keep each message small. */

/** Returns a function that returns the next `maxItems` items of a list in rotation, or all if they fit. */
export function createPages<T>(maxItems: number): (items: readonly T[]) => readonly T[] {
  let cursor = 0;
  return (items) => {
    if (items.length <= maxItems) return items;
    cursor = (cursor + maxItems) % items.length;
    return [...items, ...items].slice(cursor, cursor + maxItems);
  };
}
