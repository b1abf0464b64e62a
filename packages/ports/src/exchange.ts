/** Requests of callers and their responses, independent of the transport. */
import type { BodyPart } from "./target-port.js";

/** Headers by name in lower case. */
export type HeaderMap = Readonly<Record<string, string>>;

/** A request from a caller. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A response with a complete or a streamed body. A stream that was cut ends with a Left. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Uint8Array | AsyncIterable<BodyPart>;
}
