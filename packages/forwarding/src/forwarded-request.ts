/** State of one request while a box forwards it. */
import type { RequestedWeights } from "@linkfall/model-demand";
import type { RawHeaders } from "@linkfall/ports";
import type { Milliseconds, RequestMetadata, Route, RoutedService } from "@linkfall/types";
import type { ResponseSink } from "./response-sink.js";
import type { StreamPosition } from "./attempt.js";

/** Clock readings of one send. */
export interface SendTimes {
  readonly startedAt: Milliseconds;
  /** When the first bytes of the response body arrived. */
  firstByteAt?: Milliseconds;
  /** Number of reads of its stream after the first, about one for each event. */
  events?: number;
  /** Whether the target may be running the request: it is being written or has been, and the send has not ended. */
  mayBeRunning?: boolean;
}

export interface ForwardedRequest {
  readonly route: Route;
  readonly service: RoutedService;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Hash of the request's content; equal for the same request sent again. */
  fingerprint(): string;
  readonly terms: RequestMetadata;
  /** Name of the client account; absent for anonymous requests. */
  readonly account?: string;
  /** Priority of the client account if it has one, else of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Rank sent to engines; 0 is the most urgent. */
  readonly rank: number;
  readonly sink: ResponseSink;
  readonly arrivedAt: Milliseconds;
  /** Clock reading by which the response has to start. */
  readonly responseStartDueAt: Milliseconds;
  /** Clock reading by which the response has to be complete. */
  readonly deadlineAt: Milliseconds;
  readonly streamPosition: StreamPosition;
  /** Targets that are excluded from further attempts. */
  readonly triedTargets: Set<string>;
  /** Fragile targets that had no place for the request since its last send. */
  readonly targetsWithoutPlace: Set<string>;
  /** Number of sends after which the request may have run. */
  possibleRuns: number;
  /** Clock reading at which the first bytes of a response body arrived. */
  firstByteAt?: Milliseconds;
  /** The newest send; absent before the first. */
  lastSend?: SendTimes;
  /** Longest time between two reads of the stream. */
  maxStreamGapMs: Milliseconds;
  /** Two targets crashed while running the request: it is sent once more, to a target that runs no other such request. */
  isFinalAttempt: boolean;
  /** Whether the software version of a stream that is taken up was inferred, and not recorded yet. */
  isVersionInferred?: boolean;
  /** When the request began to wait for weights; undefined if it has not. */
  heldSince?: Milliseconds;
  /** Set when no dispatcher replied: the next pick of a target is this box's own. */
  choosesAlone?: boolean;
  /** Number of all sends. */
  sends: number;
  /** Number of sends of which no byte left the box. */
  unwrittenSends: number;
}

/** Whether a target may have run the request, or may be running it. */
export function mayHaveRun({ possibleRuns, lastSend }: ForwardedRequest): boolean {
  return possibleRuns > 0 || lastSend?.mayBeRunning === true;
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

/** The service, model and adapter that a request needs, as keyed by the demand meter. */
export function requestedWeights(request: ForwardedRequest): RequestedWeights {
  const { model = "", adapter } = request.terms;
  return { service: request.service.name, model, adapter };
}

/** Key of the requested weights in the prefix index: `model` or `model/adapter`. */
export function weightsKey(terms: RequestMetadata): string {
  return terms.adapter === undefined ? (terms.model ?? "") : `${terms.model}/${terms.adapter}`;
}
