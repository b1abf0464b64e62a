/** One call to a plain service. */
import type { HeaderMap } from "@linkfall/ports";
import type { Milliseconds, PlainService } from "@linkfall/types";

export interface PlainCall {
  readonly account: string;
  /** Hash of the request's content. */
  readonly fingerprint: string;
  readonly service: PlainService;
  readonly method: string;
  /** Path and query, as sent to the service. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Clock reading of this box by which the call has to end. */
  readonly deadlineAt: Milliseconds;
  /** Whether the call may be run again after it may have run. */
  readonly repeatable: boolean;
  /** Aborted when the caller disconnects. */
  readonly callerGone: AbortSignal;
}

/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders = [
  "connection",
  "keep-alive",
  "transfer-encoding",
  "upgrade",
  "te",
  "trailer",
];

/** Headers that are forwarded with a request or a response. */
export function endToEndHeaders(headers: HeaderMap): HeaderMap {
  const forwarded = Object.entries(headers).filter(([name]) => !hopByHopHeaders.includes(name));
  return Object.fromEntries(forwarded);
}
