/** Tells whether header lines can be written, which is not so for all that Node's parser accepts. */
import { validateHeaderName, validateHeaderValue } from "node:http";

export { findHeadEnd } from "./head-end.js";

/** Returns what is wrong with the first line that cannot be written, or undefined if all lines can be. */
export function findUnwritableHeader(rawHeaders: readonly string[]): string | undefined {
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      validateHeaderName(rawHeaders[index]);
      validateHeaderValue(rawHeaders[index], rawHeaders[index + 1]);
    }
    return undefined;
  } catch (problem) {
    return problem instanceof Error ? problem.message : String(problem);
  }
}
