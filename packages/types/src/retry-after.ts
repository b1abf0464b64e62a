import type { Milliseconds } from "./identifiers.js";

const secondsPattern = /^\s*\d{1,9}(\.\d{1,9})?\s*$/;
const millisecondsPerSecond = 1000;

/**
 * Parses a `Retry-After` header in seconds, fractions included. Dates are ignored, because the
 * sender's clock may differ from this box's.
 */
export function parseRetryAfter(text: string | undefined): Milliseconds | undefined {
  if (text === undefined || !secondsPattern.test(text)) return undefined;
  return Number(text) * millisecondsPerSecond;
}
