/** One request on its way through a box. */
import type { RequestedWeights } from "@linkfall/model-demand";
import type { RawHeaders } from "@linkfall/ports";
import type { Milliseconds, RequestMetadata, Route, RoutedService } from "@linkfall/types";
import type { ResponseSink } from "./answer-sink.js";
import type { StreamPosition } from "./attempt.js";

export interface ForwardedRequest {
  readonly route: Route;
  readonly service: RoutedService;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Names the request by its content; its returns have the same. */
  fingerprint(): string;
  readonly terms: RequestMetadata;
  /** Name of the client account; absent where no key was needed. */
  readonly account?: string;
  /** Of the client account where it has one, else of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly sink: ResponseSink;
  readonly arrivedAt: Milliseconds;
  /** Until then the caller waits for the answer to begin. */
  readonly responseStartDueAt: Milliseconds;
  /** The final answer is due by then. */
  readonly deadlineAt: Milliseconds;
  readonly streamPosition: StreamPosition;
  /** Targets that this request is not sent to again. */
  readonly triedTargets: Set<string>;
  /** Sends that may have run. */
  possibleRuns: number;
  /** When the first bytes of an answer's body came. */
  firstByteAt?: Milliseconds;
  /** Longest time between two arrivals of bytes of its stream. */
  maxStreamGapMs: Milliseconds;
  /** Two targets have ended under it, and others may be to blame: it is sent once more, without company of its kind. */
  isFinalAttempt: boolean;
  /** It has waited for weights. */
  waitedForWeights: boolean;
  /** All sends. */
  sends: number;
  /** Sends of which no byte has left. */
  unwrittenSends: number;
}

/** How a request ended, for logs and metrics. */
export type RequestOutcome =
  | { readonly outcome: "answered"; readonly status: number }
  | { readonly outcome: "streamed" }
  | { readonly outcome: "cut"; readonly reason: string }
  | { readonly outcome: "gone" }
  | {
      readonly outcome: "refused";
      readonly status: number;
      readonly reason: string;
      readonly retryAfterMs?: Milliseconds;
    };

/** What a request asks for, in the demand meter's terms. */
export function requestedWeights(request: ForwardedRequest): RequestedWeights {
  const { model = "", adapter } = request.terms;
  return { service: request.service.name, model, adapter };
}

/** Weights as the demand meter and the prefix index name them. */
export function weightsKey(terms: RequestMetadata): string {
  return terms.adapter === undefined ? (terms.model ?? "") : `${terms.model}/${terms.adapter}`;
}
