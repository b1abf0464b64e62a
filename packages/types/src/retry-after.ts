/** The time in a `Retry-After` header, as targets and callers write it. */
import type { Milliseconds } from "./identifiers.js";

const secondsPattern = /^\s*\d{1,9}(\.\d{1,9})?\s*$/;
const millisecondsPerSecond = 1000;

/** Reads seconds, fractions too. A date is not read: the sender's clock may differ from this box's. */
export function parseRetryAfter(text: string | undefined): Milliseconds | undefined {
  if (text === undefined || !secondsPattern.test(text)) return undefined;
  return Number(text) * millisecondsPerSecond;
}
