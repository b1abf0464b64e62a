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
  readonly gone: AbortSignal;
}

/** Headers that belong to one connection, or that the box sets itself. */
const ownHeaders = ["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer"];

/** The headers that are passed on, in either direction. */
export function passedHeaders(headers: HeaderMap): HeaderMap {
  const kept = Object.entries(headers).filter(([name]) => !ownHeaders.includes(name));
  return Object.fromEntries(kept);
}
