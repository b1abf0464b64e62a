/** Interfaces to a platform whose requests are opaque to linkfall. */
import type { InvalidInput, TargetUnreachable } from "@linkfall/errors";
import type {
  EngineState,
  FencedOrder,
  AdvertisedLimit,
  ListedTarget,
  Milliseconds,
  OrderResult,
  RequestMetadata,
  RetryAfter,
  RoutedConfiguration,
} from "@linkfall/types";
import type { Either } from "purify-ts";

/** Alternating header names and values, as on the wire (like Node's `rawHeaders`). */
export type RawHeaders = readonly string[];

/** Parses the platform's records of the configuration and of targets. */
export interface RecordCodec {
  parseConfiguration(text: string): Either<InvalidInput, RoutedConfiguration>;
  parseTarget(id: string, text: string): Either<InvalidInput, ListedTarget>;
}

/** Values that linkfall adds to the headers of one attempt. */
export interface AttemptMetadata {
  readonly targetId: string;
  readonly remainingMs: Milliseconds;
  /** Priority in the engine's own queue; 0 is the most urgent. */
  readonly rank?: number;
  /** Client account of the request; absent on routes that allow anonymous requests. */
  readonly account?: string;
  /** Id of the event after which to resume the stream; if absent, the caller's header is passed on. */
  readonly resumeAfter?: string;
}

/** Facts about a request, read from the head of the target's response. */
export interface ResponseMetadata {
  readonly requestId?: string;
  /** Whether the response carries the signature that targets give to their answers. */
  readonly isSigned: boolean;
  /** Whether the target reported that it did not run the request. */
  readonly notRun: boolean;
  /** Whether another incarnation or target uses the address, or it lacks the requested model. */
  readonly misdirected: boolean;
  /** Time for which the target asked not to receive requests. */
  readonly retryAfter: RetryAfter;
  /** Request limit that the target advertises. */
  readonly limit: AdvertisedLimit;
  /** Rejections per second that the target survives; limited while the target is fragile. */
  readonly rejectionAllowance: AdvertisedLimit;
  /** Whether the target says that it is leaving. */
  readonly leaving: boolean;
}

/** Translates between headers on the wire and linkfall's metadata. */
export interface RequestCodec {
  readMetadata(headers: RawHeaders): RequestMetadata;
  /** The caller's API key. It is kept out of the metadata, which is logged. */
  readApiKey(headers: RawHeaders): string | undefined;
  /**
   * Describes why the headers are invalid, such as a header with two conflicting values; undefined if
   * they are valid. A request with invalid headers is not sent to any target.
   */
  describeInvalidHeaders(headers: RawHeaders): string | undefined;
  /** Headers to send to a target: the caller's end-to-end headers and those of the attempt. */
  toTargetHeaders(headers: RawHeaders, terms: AttemptMetadata): string[];
  /** Headers to pass on to the caller: the target's end-to-end headers. */
  toCallerHeaders(headers: RawHeaders): string[];
  readResponse(status: number, headers: RawHeaders): ResponseMetadata;
}

/** Polls the state of engines and sends them orders. */
export interface RoutedEnginePort {
  readState(target: ListedTarget): Promise<Either<TargetUnreachable, EngineState>>;
  /**
   * Sends the order. `isPermitted` is asked on the established connection, immediately before the order is written; if it
   * returns false, nothing is written. Left without an answer; an order that may have arrived may still be carried out.
   */
  order(
    target: ListedTarget,
    order: FencedOrder,
    isPermitted: () => boolean,
  ): Promise<Either<TargetUnreachable, OrderResult>>;
}
