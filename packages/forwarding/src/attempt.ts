/** Sends a request to one target once, and passes a stream on while it comes. */
import { awaitPendingDisconnects } from "@linkfall/caller-presence";
import type { TargetUnreachable } from "@linkfall/errors";
import { createEventSplitter, type StreamEvent } from "@linkfall/event-stream";
import type { Clock } from "@linkfall/kernel";
import type { ResponseMetadata, RawHeaders, RequestCodec } from "@linkfall/ports";
import {
  type ResponseHead,
  type Exchange,
  type ExchangeRequest,
  openExchange,
  type SendProgress,
} from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import type { ResponseSink } from "./answer-sink.js";

/** How one send ended. */
export type AttemptResult =
  /** No byte can have reached the target. */
  | { readonly kind: "not_sent"; readonly reason: string }
  /** The target says that it did not run the request. */
  | {
      readonly kind: "not_run";
      readonly status: number;
      readonly misdirected: boolean;
      readonly retryAfterMs?: Milliseconds;
    }
  /** A whole answer, not yet passed on. */
  | { readonly kind: "answered"; readonly head: ResponseHead; readonly body: Buffer }
  /** A whole answer that has been passed on. */
  | { readonly kind: "streamed" }
  /** It may have run; `begun` tells whether the caller has got bytes of it. */
  | { readonly kind: "lost"; readonly reason: string; readonly begun: boolean }
  /** The time for the answer ran out. */
  | { readonly kind: "silent"; readonly begun: boolean }
  /** The caller has gone; `written` tells whether bytes of the request may have left before. */
  | { readonly kind: "gone"; readonly written: boolean };

/** Where a stream stands over all attempts of a request. */
export interface StreamPosition {
  /** Id of the last event that was passed on. */
  lastEventId?: string;
}

export interface AttemptInput {
  readonly clock: Clock;
  readonly codec: RequestCodec;
  readonly request: ExchangeRequest;
  readonly requestId: string;
  readonly sink: ResponseSink;
  readonly streaming: boolean;
  readonly position: StreamPosition;
  /** Gives the request up at this reading of the clock. */
  readonly deadlineAt: Milliseconds;
  /** Longest time without a byte before another target is tried; absent where none may be. */
  readonly idleTimeoutMs?: Milliseconds;
  /** Called with what the head of an answer says. */
  onResponseHead(status: number, facts: ResponseMetadata): void;
  /** Called when the caller has left, with how far the send had come. */
  onCallerGone(progress: SendProgress): void;
  /** Called with the first byte of the body. */
  onFirstBodyBytes(): void;
  /** Called with the time between the bytes of a stream. */
  onStreamGap(ms: Milliseconds): void;
}

/** Longest answer that is held whole; longer ones are passed on as they come. */
const maxBufferedBytes = 1_000_000;
const okStatus = 200;

function isNewer(event: StreamEvent, position: StreamPosition): boolean {
  if (event.id === undefined || position.lastEventId === undefined) return true;
  const [id, last] = [Number(event.id), Number(position.lastEventId)];
  return !(Number.isFinite(id) && Number.isFinite(last)) || id > last;
}

/** One attempt; its state lives as long as its exchange. */
export function sendAttempt(input: AttemptInput): Promise<AttemptResult> {
  return new Promise((resolve) => startAttempt(input, resolve));
}

function startAttempt(input: AttemptInput, resolve: (end: AttemptResult) => void): void {
  const { clock, sink, position } = input;
  const splitter = createEventSplitter();
  const buffered: Buffer[] = [];
  let bufferedBytes = 0;
  let head: ResponseHead | undefined;
  let facts: ResponseMetadata | undefined;
  let forwarding = false;
  let lastBytesAt: Milliseconds | undefined;
  let settled = false;
  let cancelIdleTimer = () => undefined as void;

  const settle = (end: AttemptResult) => {
    if (settled) return;
    settled = true;
    cancelIdleTimer();
    cancelDeadline();
    exchange.abort();
    resolve(end);
  };
  const responseStarted = () => sink.headersSent();
  const restartIdleTimer = () => {
    cancelIdleTimer();
    if (input.idleTimeoutMs === undefined) return;
    cancelIdleTimer = clock.after(input.idleTimeoutMs, () =>
      settle({ kind: "silent", begun: responseStarted() }),
    );
  };

  const forward = (bytes: Buffer) => {
    if (sink.write(bytes)) return;
    exchange.pause();
    sink.onDrain(() => exchange.resume());
  };
  const startForwarding = (answer: ResponseHead) => {
    forwarding = true;
    if (!sink.headersSent())
      sink.writeHead(answer.status, input.codec.toCallerHeaders(answer.headers));
  };
  const forwardEvents = (answer: ResponseHead, bytes: Buffer) => {
    for (const event of splitter.push(bytes)) {
      if (!isNewer(event, position)) continue;
      if (!forwarding) startForwarding(answer);
      if (event.id !== undefined) position.lastEventId = event.id;
      forward(event.bytes);
    }
  };
  const bufferOrForward = (answer: ResponseHead, bytes: Buffer) => {
    if (forwarding) return forward(bytes);
    buffered.push(bytes);
    bufferedBytes += bytes.length;
    if (bufferedBytes <= maxBufferedBytes) return;
    startForwarding(answer);
    for (const earlier of buffered.splice(0)) forward(earlier);
  };

  const isStream = () => input.streaming && head?.status === okStatus;

  const handleHead = (answer: ResponseHead) => {
    restartIdleTimer();
    const read = input.codec.readResponse(answer.status, answer.headers);
    if (read.requestId !== undefined && read.requestId !== input.requestId) {
      return settle({
        kind: "lost",
        reason: "answer to another request",
        begun: responseStarted(),
      });
    }
    head = answer;
    facts = read;
    input.onResponseHead(answer.status, read);
  };
  const handleBytes = (bytes: Buffer) => {
    if (settled || !head) return;
    restartIdleTimer();
    const previousBytesAt = lastBytesAt;
    lastBytesAt = clock.now();
    if (previousBytesAt === undefined) input.onFirstBodyBytes();
    if (!isStream()) return bufferOrForward(head, bytes);
    if (previousBytesAt !== undefined) input.onStreamGap(lastBytesAt - previousBytesAt);
    forwardEvents(head, bytes);
  };
  const handleComplete = () => {
    if (!head || !facts)
      return settle({ kind: "lost", reason: "no answer", begun: responseStarted() });
    if (facts.notRun) {
      const { misdirected, retryAfterMs } = facts;
      return settle({ kind: "not_run", status: head.status, misdirected, retryAfterMs });
    }
    if (isStream()) {
      if (!forwarding) startForwarding(head);
      if (splitter.rest().length > 0) forward(splitter.rest());
      return settle({ kind: "streamed" });
    }
    if (forwarding) return settle({ kind: "streamed" });
    // A stream of which the caller has a part cannot go on with an answer of another kind.
    if (responseStarted())
      return settle({ kind: "lost", reason: `status ${head.status}`, begun: true });
    settle({ kind: "answered", head, body: Buffer.concat(buffered) });
  };
  const handleFailure = (failure: TargetUnreachable) => {
    if (!failure.mayHaveArrived) return settle({ kind: "not_sent", reason: failure.reason });
    settle({ kind: "lost", reason: failure.reason, begun: responseStarted() });
  };

  const cancelDeadline = clock.after(Math.max(0, input.deadlineAt - clock.now()), () =>
    settle({ kind: "silent", begun: responseStarted() }),
  );
  const openedAt = clock.now();
  const beforeWrite = () => awaitPendingDisconnects(clock.now, sink.isCallerGone, openedAt);
  const exchange: Exchange = openExchange(
    clock,
    { ...input.request, beforeWrite: beforeWrite },
    {
      onHead: handleHead,
      onBytes: handleBytes,
      onComplete: handleComplete,
      onFailure: handleFailure,
    },
  );
  sink.onCallerGone(() => {
    if (settled) return;
    const progress = exchange.progress();
    input.onCallerGone(progress);
    settle({ kind: "gone", written: progress.written });
  });
  restartIdleTimer();
}

/** Headers of an answer that linkfall makes itself. */
export const localReplyHeaders = (retryAfterMs?: Milliseconds): RawHeaders => {
  const headers = ["Content-Type", "application/json"];
  if (retryAfterMs === undefined) return headers;
  const seconds = (Math.ceil(retryAfterMs / 10) / 100).toString();
  return [...headers, "Retry-After", seconds];
};
