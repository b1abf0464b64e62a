/** What one attempt is given, and its result. */
import type { TargetUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { ResponseMetadata, RequestCodec } from "@linkfall/ports";
import type {
  ExchangeRequest,
  OpenExchange,
  ResponseHead,
  SendProgress,
} from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import type { HeadProblem } from "./response-check.js";
import type { ResponseSink } from "./response-sink.js";

/** Result of one attempt. */
export type AttemptResult =
  /** No byte of the request can have reached the target. */
  | {
      readonly kind: "not_sent";
      readonly reason: string;
      /** What failed if the target did not; `no_place`: the target is fragile and had no place left. */
      readonly cause?: TargetUnreachable["cause"] | "no_place";
    }
  /** The target reported that it did not run the request. */
  | {
      readonly kind: "not_run";
      readonly status: number;
      readonly misdirected: boolean;
      /** Whether the body of the response went on beyond its bound. */
      readonly endless?: true;
    }
  /** A complete response, not yet sent to the caller. */
  | {
      readonly kind: "answered";
      readonly head: ResponseHead;
      readonly body: Buffer;
      /** Whether the target sent bytes behind the response. */
      readonly excess?: true;
    }
  /** A complete response that has been forwarded to the caller. */
  | { readonly kind: "streamed"; readonly excess?: true }
  /** The request may have run; `responseStarted` is set if part of the response was forwarded to the caller. */
  | {
      readonly kind: "lost";
      readonly reason: string;
      readonly responseStarted: boolean;
      /** What failed if the target did not; `box`: an exception before the target answered. */
      readonly cause?: TargetUnreachable["cause"] | "box";
      /** Whether a relay found that the target has crashed; absent if no relay was asked. */
      readonly targetRefuses?: boolean;
      /** The exception, if one was thrown while the response was handled. */
      readonly defect?: unknown;
    }
  /** The idle timeout or the deadline passed. */
  | {
      readonly kind: "silent";
      readonly responseStarted: boolean;
      /** The target was not read since the caller did not read. */
      readonly waitedForCaller?: true;
    }
  /** The caller disconnected; `written` is set if bytes of the request may have been sent before that. */
  | { readonly kind: "gone"; readonly written: boolean };

/** Position of a stream, kept across the attempts of a request. */
export interface StreamPosition {
  /** Id of the last event that was forwarded to the caller. */
  lastEventId?: string;
  /** Whether an attempt ended inside an event after that one, so that the stream has at least one more. */
  isEventUnfinished?: boolean;
  /** Software version that the stream is bound to; absent until its first event. */
  boundTo?: VersionBinding;
}

/** The software version at which a stream may go on. */
export interface VersionBinding {
  /** Absent if it is in doubt, so that the stream must not go on at any target. */
  readonly softwareVersion?: string;
}

export interface AttemptInput {
  readonly clock: Clock;
  readonly codec: RequestCodec;
  readonly openExchange: OpenExchange;
  readonly request: ExchangeRequest;
  readonly requestId: string;
  readonly sink: ResponseSink;
  readonly streaming: boolean;
  readonly position: StreamPosition;
  /** Clock reading at which the attempt is abandoned. */
  readonly deadlineAt: Milliseconds;
  /** Maximum time without a byte from the target; absent if no other target may be tried. */
  readonly idleTimeoutMs?: Milliseconds;
  /** Called when the exchange has begun, with a function that returns the bytes of the request that have not left the box. */
  onOpened?(unsentBytes: () => number): void;
  /** Called when the request is about to be written; resolves to false if it must not be. */
  mayWrite?(): Promise<boolean>;
  /** Whether the request may still be sent; asked after the last wait before it is written. */
  hasTimeLeft?(): boolean;
  /** Whether a begun stream may be abandoned when the idle timeout passes; absent if it always may. */
  mayAbandon?(): boolean;
  /** Called if the head of the response shows that it is no answer to the request. */
  onHeadRejected?(problem: HeadProblem): void;
  /** Called with the status and the parsed headers of the response. */
  onResponseHead(head: ResponseHead, facts: ResponseMetadata): void;
  /** Called when the caller disconnects, with the progress of the send. */
  onCallerGone(progress: SendProgress): void;
  /** Called before the first event of this attempt is forwarded to the caller. */
  onFirstEvent(): void;
  /** Called on the first bytes of the response body. */
  onFirstBodyBytes(): void;
  /** Called when a stream has ended, with the size of the event that it left unfinished; 0 if there is none. */
  onStreamEnd(unfinishedBytes: number, head: ResponseHead): void;
  /** Called with the time between two reads of a stream. */
  onStreamGap(ms: Milliseconds): void;
}
