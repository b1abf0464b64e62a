/** Which boxes a caller is told of. */

/** One box that takes callers. */
export interface EntryOfBox {
  readonly address: string;
  readonly domain: string;
}

/** With fewer boxes than this in its own failure domain, a caller is told of all. */
const enoughNear = 2;

/** Addresses for a caller: boxes of its failure domain where there are enough, else all. */
export function chooseEntries(boxes: readonly EntryOfBox[], domain?: string): readonly string[] {
  const near = boxes.filter((box) => box.domain === domain);
  const chosen = near.length >= enoughNear ? near : boxes;
  return chosen.map((box) => box.address);
}
