/** One request on its way through a box. */
import type { Wanted } from "@linkfall/model-demand";
import type { RawHeaders } from "@linkfall/ports";
import type { Milliseconds, RequestMetadata, Route, RoutedService } from "@linkfall/types";
import type { AnswerSink } from "./answer-sink.js";
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
  readonly sink: AnswerSink;
  readonly arrivedAt: Milliseconds;
  /** Until then the caller waits for the answer to begin. */
  readonly awaitedUntil: Milliseconds;
  /** The final answer is due by then. */
  readonly endsAt: Milliseconds;
  readonly position: StreamPosition;
  /** Targets that this request is not sent to again. */
  readonly tried: Set<string>;
  /** Sends that may have run. */
  runs: number;
  /** When the first bytes of an answer's body came. */
  firstAt?: Milliseconds;
  /** Longest time between two arrivals of bytes of its stream. */
  longestGapMs: Milliseconds;
  /** Two targets have ended under it, and others may be to blame: it is sent once more, without company of its kind. */
  lastTry: boolean;
  /** It has waited for weights. */
  held: boolean;
  /** All sends. */
  sends: number;
  /** Sends of which no byte has left. */
  unwritten: number;
}

/** How a request ended, for logs and metrics. */
export type RequestEnd =
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
export function wantedOf(request: ForwardedRequest): Wanted {
  const { model = "", adapter } = request.terms;
  return { service: request.service.name, model, adapter };
}

/** Weights as the demand meter and the prefix index name them. */
export function weightsOf(terms: RequestMetadata): string {
  return terms.adapter === undefined ? (terms.model ?? "") : `${terms.model}/${terms.adapter}`;
}
