/** Parts of a long list, one after the other, so that a message stays small in a large fleet. */

/** Returns the next part of a list each time; one that fits is returned whole. */
export function createPages<T>(most: number): (items: readonly T[]) => readonly T[] {
  let cursor = 0;
  return (items) => {
    if (items.length <= most) return items;
    cursor = (cursor + most) % items.length;
    return [...items, ...items].slice(cursor, cursor + most);
  };
}
