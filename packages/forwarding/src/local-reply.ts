/** Headers of a response that the box generates itself. */
import type { RawHeaders } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";

/** JSON, and the time after which the caller may come back. */
export const localReplyHeaders = (retryAfterMs?: Milliseconds): RawHeaders => {
  const headers = ["Content-Type", "application/json"];
  if (retryAfterMs === undefined) return headers;
  const seconds = (Math.ceil(retryAfterMs / 10) / 100).toString();
  return [...headers, "Retry-After", seconds];
};
