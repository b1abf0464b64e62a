/** Requests of callers and their answers, free of any transport. */
import type { BodyPart } from "./target-port.js";

/** Headers by name in lower case. */
export type HeaderMap = Readonly<Record<string, string>>;

/** A request as it came from a caller. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** An answer: whole at once, or a stream that ends with a Left where it was cut. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Uint8Array | AsyncIterable<BodyPart>;
}
