/** One call of a caller to a plain service. */
import type { HeaderMap } from "@linkfall/ports";
import type { Milliseconds, PlainService } from "@linkfall/types";

export interface PlainCall {
  readonly account: string;
  /** Names the request by its content. */
  readonly fingerprint: string;
  readonly service: PlainService;
  readonly method: string;
  /** Path and query at the service. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  readonly deadlineAt: Milliseconds;
  readonly repeatable: boolean;
  readonly callerGone: AbortSignal;
}

/** Headers that belong to one connection, or that the box sets itself. */
const hopByHopHeaders = [
  "connection",
  "keep-alive",
  "transfer-encoding",
  "upgrade",
  "te",
  "trailer",
];

/** The headers that are passed on, in either direction. */
export function endToEndHeaders(headers: HeaderMap): HeaderMap {
  const kept = Object.entries(headers).filter(([name]) => !hopByHopHeaders.includes(name));
  return Object.fromEntries(kept);
}
