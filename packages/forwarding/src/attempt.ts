/** Sends a request to one target once and forwards a streamed response as it arrives. */
import { awaitPendingDisconnects } from "@linkfall/caller-presence";
import { createChunkBuffer } from "@linkfall/chunk-buffer";
import type { TargetUnreachable } from "@linkfall/errors";
import { createEventSplitter, type StreamEvent } from "@linkfall/event-stream";
import type { ResponseMetadata } from "@linkfall/ports";
import type { Exchange, ResponseHead } from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import type { AttemptInput, AttemptResult, StreamPosition } from "./attempt-types.js";
import { bodyBoundsOf, type BodyBounds } from "./body-bounds.js";
import { findHeadProblem } from "./response-check.js";
import { isDeclaredEventStream, isEndUnmarked, isForwardedByEvents } from "./response-content.js";
import type { ResponseSink } from "./response-sink.js";

export type * from "./attempt-types.js";

/** Maximum size of a buffered response; larger ones are forwarded as they arrive. */
const maxBufferedBytes = 1_000_000;
/** Maximum size of one event of a stream, whose bytes are kept until it is complete; a larger one counts as one without end. */
const maxEventBytes = 4_000_000;

function isNewer(event: StreamEvent, position: StreamPosition): boolean {
  if (event.id === undefined || position.lastEventId === undefined) return true;
  const [id, last] = [Number(event.id), Number(position.lastEventId)];
  return !(Number.isFinite(id) && Number.isFinite(last)) || id > last;
}

/** Whether another attempt may continue the response; without the id of an event, a target would begin the stream again. */
export function isContinuable(sink: ResponseSink, { lastEventId }: StreamPosition): boolean {
  return !sink.headersSent() || lastEventId !== undefined;
}

/** Makes one attempt; resolves once the exchange has ended. */
export function sendAttempt(input: AttemptInput): Promise<AttemptResult> {
  if (!isContinuable(input.sink, input.position)) {
    const reason = "a stream without event ids cannot be continued";
    return Promise.resolve({ kind: "lost", reason, responseStarted: true });
  }
  return new Promise((resolve) => startAttempt(input, resolve));
}

/** A partly forwarded stream cannot continue with a response that is not a stream. */
function notTheStream({ status }: ResponseHead): AttemptResult {
  return { kind: "lost", reason: `status ${status}`, responseStarted: true };
}

function startAttempt(input: AttemptInput, resolve: (result: AttemptResult) => void): void {
  const { clock, sink, position } = input;
  const splitter = createEventSplitter();
  const buffered = createChunkBuffer();
  let hasAnswered = false;
  let head: ResponseHead | undefined;
  let facts: ResponseMetadata | undefined;
  let forwarding = false;
  let hasForwardedEvent = false;
  let hasReceivedEvent = false;
  let lastBytesAt: Milliseconds | undefined;
  let settled = false;
  let waitingForCaller = false;
  let cancelIdleTimer = () => undefined as void;
  let cancelBodyTimer = () => undefined as void;
  let bodyBounds: BodyBounds | undefined;
  let bodyBytes = 0;

  let exchange: Exchange | undefined;

  const settle = (result: AttemptResult) => {
    if (settled) return;
    settled = true;
    if (isStream() && splitter.isInsideEvent()) position.isEventUnfinished = true;
    cancelIdleTimer();
    cancelBodyTimer();
    cancelDeadline();
    exchange?.abort();
    sink.setUnforwarded?.(0);
    resolve(result);
  };
  const settleDefect = (defect: unknown) =>
    settle({
      kind: "lost",
      reason: "internal error",
      responseStarted: responseStarted(),
      // A target that has sent nothing cannot have caused it.
      cause: hasAnswered ? undefined : "box",
      defect,
    });
  /** Wraps a callback, so that an exception ends this attempt only and not the process. */
  const guard =
    <Arguments extends unknown[]>(handle: (...received: Arguments) => void) =>
    (...received: Arguments) => {
      try {
        handle(...received);
      } catch (defect) {
        settleDefect(defect);
      }
    };
  /** Whether the box reads on from targets of slow callers as long as it has room. */
  const readsAhead = sink.setUnforwarded !== undefined;
  const responseStarted = () => sink.headersSent();
  const restartIdleTimer = () => {
    cancelIdleTimer();
    if (input.idleTimeoutMs === undefined) return;
    const handleIdle = () => {
      // A stream that pauses may go on; abandoned without another target, it would be cut for nothing.
      if (responseStarted() && input.mayAbandon?.() === false) return restartIdleTimer();
      settle({ kind: "silent", responseStarted: responseStarted() });
    };
    cancelIdleTimer = clock.after(input.idleTimeoutMs, guard(handleIdle));
  };

  const forward = (bytes: Buffer) => {
    if (sink.write(bytes) || waitingForCaller) return;
    waitingForCaller = true;
    exchange?.pause();
    // A target that is not read cannot show that it is alive.
    if (readsAhead) cancelIdleTimer();
    const handleDrain = () => {
      waitingForCaller = false;
      if (readsAhead && !settled) restartIdleTimer();
      exchange?.resume();
    };
    sink.onDrain(guard(handleDrain));
  };
  const startForwarding = (response: ResponseHead) => {
    forwarding = true;
    if (!sink.headersSent())
      sink.writeHead(response.status, input.codec.toCallerHeaders(response.headers));
  };
  const splitEvents = (bytes: Buffer) => {
    const events = splitter.push(bytes);
    hasReceivedEvent ||= events.length > 0;
    countKept();
    if (settled) return [];
    if (splitter.restBytes() <= maxEventBytes) return events;
    settle({ kind: "lost", reason: "an event without end", responseStarted: responseStarted() });
    return [];
  };
  const forwardEvents = (response: ResponseHead, bytes: Buffer) => {
    const newer = splitEvents(bytes).filter((event) => {
      if (!isNewer(event, position)) return false;
      position.lastEventId = event.id ?? position.lastEventId;
      return true;
    });
    if (newer.length === 0) return;
    position.isEventUnfinished = false;
    if (!hasForwardedEvent) input.onFirstEvent();
    hasForwardedEvent = true;
    if (!forwarding) startForwarding(response);
    forward(newer.length === 1 ? newer[0].bytes : Buffer.concat(newer.map((event) => event.bytes)));
  };
  const bufferOrForward = (response: ResponseHead, bytes: Buffer) => {
    if (forwarding) return forward(bytes);
    buffered.append(bytes);
    countKept();
    if (!settled && buffered.size() > maxBufferedBytes) forwardBuffered(response);
  };
  const forwardBuffered = (response: ResponseHead) => {
    if (responseStarted()) return settle(notTheStream(response));
    startForwarding(response);
    const kept = buffered.take();
    countKept();
    forward(kept);
  };
  /** There is no room to keep what has not been forwarded: an answer is passed on from here, the rest is given up. */
  const giveWay = () => {
    if (settled || !head) return;
    if (!isStream() && !bodyBounds && buffered.size() > 0) return forwardBuffered(head);
    const reason = "no room for an event that goes on";
    settle({ kind: "lost", reason, responseStarted: responseStarted() });
  };
  const source = { target: input.request.address, onGiveWay: guard(giveWay) };
  const countKept = () => sink.setUnforwarded?.(splitter.restBytes() + buffered.size(), source);

  const isStream = () => input.streaming && head !== undefined && isForwardedByEvents(head);

  /** Ends the attempt at a rejection or a failure of the target, whose body is not complete within its bound. */
  const settleIncomplete = (endless?: true) => {
    if (head && facts?.notRun) {
      const { misdirected } = facts;
      return settle({ kind: "not_run", status: head.status, misdirected, endless });
    }
    settle({ kind: "lost", reason: "an error without end", responseStarted: responseStarted() });
  };

  const handleHead = (response: ResponseHead) => {
    hasAnswered = true;
    restartIdleTimer();
    const parsed = input.codec.readResponse(response.status, response.headers);
    const problem = findHeadProblem(response, parsed, input.requestId);
    if (problem) {
      input.onHeadRejected?.(problem);
      return settle({ kind: "lost", reason: problem, responseStarted: responseStarted() });
    }
    head = response;
    facts = parsed;
    input.onResponseHead(response, parsed);
    bodyBounds = bodyBoundsOf(response, parsed);
    if (bodyBounds)
      cancelBodyTimer = clock.after(
        bodyBounds.maxMs,
        guard(() => settleIncomplete()),
      );
  };
  const handleBytes = (bytes: Buffer) => {
    if (settled || !head) return;
    bodyBytes += bytes.length;
    if (bodyBounds && bodyBytes > bodyBounds.maxBytes) return settleIncomplete(true);
    restartIdleTimer();
    const previousBytesAt = lastBytesAt;
    lastBytesAt = clock.now();
    if (previousBytesAt === undefined) input.onFirstBodyBytes();
    if (!isStream()) {
      if (isDeclaredEventStream(head)) splitEvents(bytes);
      if (settled) return;
      return bufferOrForward(head, bytes);
    }
    if (previousBytesAt !== undefined) input.onStreamGap(lastBytesAt - previousBytesAt);
    forwardEvents(head, bytes);
  };
  const handleComplete = (hasExcess?: boolean) => {
    const behind = hasExcess ? ({ excess: true } as const) : {};
    if (!head || !facts)
      return settle({ kind: "lost", reason: "no answer", responseStarted: responseStarted() });
    if (facts.notRun) {
      return settle({ kind: "not_run", status: head.status, misdirected: facts.misdirected });
    }
    if (isStream() || isDeclaredEventStream(head)) {
      const unfinishedBytes = splitter.isInsideEvent() ? splitter.restBytes() : 0;
      input.onStreamEnd(unfinishedBytes, head);
      // However its end is marked, a stream that ends inside an event has been broken off.
      if (unfinishedBytes > 0)
        return settle({
          kind: "lost",
          reason: "the stream ended inside an event",
          responseStarted: responseStarted(),
        });
      if (!hasReceivedEvent && isEndUnmarked(head, input.request.method))
        return settle({
          kind: "lost",
          reason: "the stream ended without an event or a mark of its end",
          responseStarted: responseStarted(),
        });
    }
    if (isStream()) {
      if (position.isEventUnfinished)
        return settle({
          kind: "lost",
          reason: "the resumed stream ended before the event in which the last one was cut",
          responseStarted: responseStarted(),
        });
      if (!forwarding) startForwarding(head);
      if (splitter.restBytes() > 0) forward(splitter.rest());
      return settle({ kind: "streamed", ...behind });
    }
    if (forwarding) return settle({ kind: "streamed", ...behind });
    if (responseStarted()) return settle(notTheStream(head));
    settle({ kind: "answered", head, body: buffered.take(), ...behind });
  };
  const handleFailure = (failure: TargetUnreachable) => {
    // The head has said that the request did not run, whatever became of the body.
    if (facts?.notRun) return settleIncomplete();
    const { reason, mayHaveArrived, cause, targetRefuses } = failure;
    if (!mayHaveArrived) return settle({ kind: "not_sent", reason, cause });
    settle({ kind: "lost", reason, responseStarted: responseStarted(), cause, targetRefuses });
  };

  const handleDeadline = () => {
    const waited = waitingForCaller && readsAhead ? ({ waitedForCaller: true } as const) : {};
    settle({ kind: "silent", responseStarted: responseStarted(), ...waited });
  };
  const timeLeftMs = Math.max(0, input.deadlineAt - clock.now());
  const cancelDeadline = clock.after(timeLeftMs, guard(handleDeadline));
  const openedAt = clock.now();
  const prepareWrite = async () => {
    const mayWrite = (await input.mayWrite?.()) ?? true;
    if (!mayWrite) return settle({ kind: "not_sent", reason: "no place left", cause: "no_place" });
    await awaitPendingDisconnects(clock.now, sink.isCallerGone, openedAt);
    if (input.hasTimeLeft?.() === false)
      return settle({ kind: "not_sent", reason: "no time left", cause: "no_place" });
    // A connection that is not made is no silence of the target; it has time limits of its own.
    if (!settled) restartIdleTimer();
  };
  const open = () => {
    const opened = input.openExchange(
      { ...input.request, beforeWrite: () => prepareWrite().catch(settleDefect) },
      {
        onHead: guard(handleHead),
        onBytes: guard(handleBytes),
        onComplete: guard(handleComplete),
        onFailure: guard(handleFailure),
      },
    );
    exchange = opened;
    input.onOpened?.(() => opened.progress().unsentBytes);
    const handleCallerGone = () => {
      if (settled) return;
      const progress = opened.progress();
      input.onCallerGone(progress);
      settle({ kind: "gone", written: progress.written });
    };
    sink.onCallerGone(guard(handleCallerGone));
  };
  guard(open)();
}
