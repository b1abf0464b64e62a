/** Finds the end of a head without following its lines. */

const carriageReturn = 0x0d;
const lineFeed = 0x0a;
/** How an empty line begins, behind the end of the line before it; a line feed has to follow. */
const emptyLineStart = Buffer.from("\n\r");
const emptyLineWithoutReturn = Buffer.from("\n\n");

/**
 * Returns the offset behind the empty line of the head that begins at `from`; undefined if the head does not end by `to`, if it begins
 * with an empty line, or if its empty line is not CR LF, so that its lines have to be followed.
 */
export function findHeadEnd(bytes: Buffer, from: number, to: number): number | undefined {
  if (bytes[from] === carriageReturn || bytes[from] === lineFeed) return undefined;
  const found = bytes.indexOf(emptyLineStart, from);
  const last = found + emptyLineStart.length;
  if (found < 0 || last >= to || bytes[last] !== lineFeed) return undefined;
  const head = bytes.subarray(from, last);
  return head.includes(emptyLineWithoutReturn) ? undefined : last + 1;
}
