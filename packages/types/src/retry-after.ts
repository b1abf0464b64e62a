import type { Milliseconds } from "./identifiers.js";

/** A Retry-After header as sent by a target. */
export type RetryAfter =
  | { readonly kind: "none" }
  | { readonly kind: "after"; readonly ms: Milliseconds }
  /** The header is not a number of seconds. */
  | { readonly kind: "unreadable"; readonly text: string };

const secondsPattern = /^\s*\d{1,9}(\.\d{1,20})?\s*$/;
const millisecondsPerSecond = 1000;
/** Maximum number of characters of an unreadable value that are logged. */
const maxLoggedChars = 40;

/**
 * Parses a `Retry-After` header in seconds, fractions included. Dates are unreadable, because the
 * sender's clock may differ from this box's.
 */
export function readRetryAfter(text: string | undefined): RetryAfter {
  if (text === undefined) return { kind: "none" };
  if (!secondsPattern.test(text))
    return { kind: "unreadable", text: text.slice(0, maxLoggedChars) };
  return { kind: "after", ms: Number(text) * millisecondsPerSecond };
}

/** Like `readRetryAfter`; undefined if there is no readable time. */
export function parseRetryAfter(text: string | undefined): Milliseconds | undefined {
  const read = readRetryAfter(text);
  return read.kind === "after" ? read.ms : undefined;
}
