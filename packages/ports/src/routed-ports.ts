/** What the product asks of a platform whose requests are opaque to it. */
import type { InvalidInput, TargetUnreachable } from "@linkfall/errors";
import type {
  EngineState,
  FencedOrder,
  AdvertisedLimit,
  ListedTarget,
  Milliseconds,
  OrderResult,
  RequestMetadata,
  RoutedConfiguration,
} from "@linkfall/types";
import type { Either } from "purify-ts";

/** Header names and values by turns, as they stand on the wire. */
export type RawHeaders = readonly string[];

/** Reads the platform's records of desired state and of targets. */
export interface RecordCodec {
  parseConfiguration(text: string): Either<InvalidInput, RoutedConfiguration>;
  parseTarget(id: string, text: string): Either<InvalidInput, ListedTarget>;
}

/** The target of one send, as far as the wire needs it. */
export interface AttemptMetadata {
  readonly targetId: string;
  readonly remainingMs: Milliseconds;
  /** Rank for the engine's own queue, 0 first. */
  readonly rank?: number;
  /** The client account that the request belongs to; absent where no key was needed. */
  readonly account?: string;
  /** Position after which a stream goes on; as the caller sent it when absent. */
  readonly resumeAfter?: string;
}

/** What the head of a target's answer says about the request. */
export interface ResponseMetadata {
  readonly requestId?: string;
  /** The target says that it did not run the request. */
  readonly notRun: boolean;
  /** Another start of a target has the address, or it does not hold what was asked for. */
  readonly misdirected: boolean;
  /** Time for which the target asks for no requests; absent where it does not ask. */
  readonly retryAfterMs?: Milliseconds;
  /** What it says of the requests that the target takes. */
  readonly limit: AdvertisedLimit;
}

/** Translates between requests on the wire and their terms. */
export interface RequestCodec {
  readMetadata(headers: RawHeaders): RequestMetadata;
  /** The key of the caller's account. It is kept out of the terms, which are logged. */
  readApiKey(headers: RawHeaders): string | undefined;
  /** Why the terms cannot be read, such as one that comes with two values; such a request reaches no target. */
  describeInvalidHeaders(headers: RawHeaders): string | undefined;
  /** The caller's end-to-end headers with those that linkfall sets itself. */
  toTargetHeaders(headers: RawHeaders, terms: AttemptMetadata): string[];
  /** The target's end-to-end headers. */
  toCallerHeaders(headers: RawHeaders): string[];
  readResponse(status: number, headers: RawHeaders): ResponseMetadata;
}

/** Asks engines for their state and gives them orders. */
export interface RoutedEnginePort {
  readState(target: ListedTarget): Promise<Either<TargetUnreachable, EngineState>>;
  order(target: ListedTarget, order: FencedOrder): Promise<OrderResult>;
}
