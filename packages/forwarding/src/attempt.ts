/** Sends a request to one target once, and passes a stream on while it comes. */
import { lookForCaller } from "@linkfall/caller-presence";
import type { TargetUnreachable } from "@linkfall/errors";
import { createEventSplitter, type StreamEvent } from "@linkfall/event-stream";
import type { Clock } from "@linkfall/kernel";
import type { ResponseMetadata, RawHeaders, RequestCodec } from "@linkfall/ports";
import {
  type AnswerHead,
  type Exchange,
  type ExchangeRequest,
  openExchange,
  type SendProgress,
} from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import type { AnswerSink } from "./answer-sink.js";

/** How one send ended. */
export type AttemptEnd =
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
  | { readonly kind: "answered"; readonly head: AnswerHead; readonly body: Buffer }
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
  lastId?: string;
}

export interface AttemptInput {
  readonly clock: Clock;
  readonly codec: RequestCodec;
  readonly request: ExchangeRequest;
  readonly requestId: string;
  readonly sink: AnswerSink;
  readonly streaming: boolean;
  readonly position: StreamPosition;
  /** Gives the request up at this reading of the clock. */
  readonly endsAt: Milliseconds;
  /** Longest time without a byte before another target is tried; absent where none may be. */
  readonly silentMs?: Milliseconds;
  /** Called with what the head of an answer says. */
  onHead(status: number, facts: ResponseMetadata): void;
  /** Called when the caller has left, with how far the send had come. */
  onLeft(progress: SendProgress): void;
  /** Called with the first byte of the body. */
  onFirstBytes(): void;
  /** Called with the time between the bytes of a stream. */
  onGap(ms: Milliseconds): void;
}

/** Longest answer that is held whole; longer ones are passed on as they come. */
const heldBytes = 1_000_000;
const okStatus = 200;

function isNewer(event: StreamEvent, position: StreamPosition): boolean {
  if (event.id === undefined || position.lastId === undefined) return true;
  const [id, last] = [Number(event.id), Number(position.lastId)];
  return !(Number.isFinite(id) && Number.isFinite(last)) || id > last;
}

/** One attempt; its state lives as long as its exchange. */
export function sendAttempt(input: AttemptInput): Promise<AttemptEnd> {
  return new Promise((resolve) => startAttempt(input, resolve));
}

function startAttempt(input: AttemptInput, resolve: (end: AttemptEnd) => void): void {
  const { clock, sink, position } = input;
  const splitter = createEventSplitter();
  const held: Buffer[] = [];
  let heldSize = 0;
  let head: AnswerHead | undefined;
  let facts: ResponseMetadata | undefined;
  let passing = false;
  let bytesAt: Milliseconds | undefined;
  let settled = false;
  let cancelSilence = () => undefined as void;

  const settle = (end: AttemptEnd) => {
    if (settled) return;
    settled = true;
    cancelSilence();
    cancelEnd();
    exchange.abort();
    resolve(end);
  };
  const begun = () => sink.begun();
  const watchSilence = () => {
    cancelSilence();
    if (input.silentMs === undefined) return;
    cancelSilence = clock.after(input.silentMs, () => settle({ kind: "silent", begun: begun() }));
  };

  const pass = (bytes: Buffer) => {
    if (sink.bytes(bytes)) return;
    exchange.pause();
    sink.onDrain(() => exchange.resume());
  };
  const beginPassing = (answer: AnswerHead) => {
    passing = true;
    if (!sink.begun()) sink.head(answer.status, input.codec.toCallerHeaders(answer.headers));
  };
  const passEvents = (answer: AnswerHead, bytes: Buffer) => {
    for (const event of splitter.push(bytes)) {
      if (!isNewer(event, position)) continue;
      if (!passing) beginPassing(answer);
      if (event.id !== undefined) position.lastId = event.id;
      pass(event.bytes);
    }
  };
  const hold = (answer: AnswerHead, bytes: Buffer) => {
    if (passing) return pass(bytes);
    held.push(bytes);
    heldSize += bytes.length;
    if (heldSize <= heldBytes) return;
    beginPassing(answer);
    for (const earlier of held.splice(0)) pass(earlier);
  };

  const isStream = () => input.streaming && head?.status === okStatus;

  const takeHead = (answer: AnswerHead) => {
    watchSilence();
    const read = input.codec.readResponse(answer.status, answer.headers);
    if (read.requestId !== undefined && read.requestId !== input.requestId) {
      return settle({ kind: "lost", reason: "answer to another request", begun: begun() });
    }
    head = answer;
    facts = read;
    input.onHead(answer.status, read);
  };
  const takeBytes = (bytes: Buffer) => {
    if (settled || !head) return;
    watchSilence();
    const before = bytesAt;
    bytesAt = clock.now();
    if (before === undefined) input.onFirstBytes();
    if (!isStream()) return hold(head, bytes);
    if (before !== undefined) input.onGap(bytesAt - before);
    passEvents(head, bytes);
  };
  const takeWhole = () => {
    if (!head || !facts) return settle({ kind: "lost", reason: "no answer", begun: begun() });
    if (facts.notRun) {
      const { misdirected, retryAfterMs } = facts;
      return settle({ kind: "not_run", status: head.status, misdirected, retryAfterMs });
    }
    if (isStream()) {
      if (!passing) beginPassing(head);
      if (splitter.rest().length > 0) pass(splitter.rest());
      return settle({ kind: "streamed" });
    }
    if (passing) return settle({ kind: "streamed" });
    // A stream of which the caller has a part cannot go on with an answer of another kind.
    if (begun()) return settle({ kind: "lost", reason: `status ${head.status}`, begun: true });
    settle({ kind: "answered", head, body: Buffer.concat(held) });
  };
  const takeFailure = (failure: TargetUnreachable) => {
    if (!failure.mayHaveArrived) return settle({ kind: "not_sent", reason: failure.reason });
    settle({ kind: "lost", reason: failure.reason, begun: begun() });
  };

  const cancelEnd = clock.after(Math.max(0, input.endsAt - clock.now()), () =>
    settle({ kind: "silent", begun: begun() }),
  );
  const openedAt = clock.now();
  const beforeBytes = () => lookForCaller(clock.now, sink.gone, openedAt);
  const exchange: Exchange = openExchange(
    clock,
    { ...input.request, beforeBytes },
    {
      onHead: takeHead,
      onBytes: takeBytes,
      onWhole: takeWhole,
      onFailure: takeFailure,
    },
  );
  sink.onGone(() => {
    if (settled) return;
    const progress = exchange.progress();
    input.onLeft(progress);
    settle({ kind: "gone", written: progress.written });
  });
  watchSilence();
}

/** Headers of an answer that linkfall makes itself. */
export const ownHeaders = (retryAfterMs?: Milliseconds): RawHeaders => {
  const headers = ["Content-Type", "application/json"];
  if (retryAfterMs === undefined) return headers;
  const seconds = (Math.ceil(retryAfterMs / 10) / 100).toString();
  return [...headers, "Retry-After", seconds];
};
