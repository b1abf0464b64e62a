/** The caller's box's side of a relayed exchange. */
import type { TargetUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Exchange, ExchangeListener, ExchangeRequest } from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import type { FrameStream } from "./frame-stream.js";
import { decodeFrame, encodeFrame, type Frame } from "./frames.js";

/** The incarnation of a target that a request is meant for. */
export interface RelayedTarget {
  readonly id: string;
  /** Start of the incarnation, in Unix milliseconds; absent if it is not known. */
  readonly born?: number;
}

/** Bytes of a request body in one frame. */
const bodyFrameBytes = 64 * 1024;
/** Bytes after which the relay is told that they were passed on. */
const creditStepBytes = 16 * 1024;
/** Time that a relay may need beyond the time to connect to the target. */
const relayMarginMs: Milliseconds = 100;

function relayFailure(reason: string, mayHaveArrived: boolean): TargetUnreachable {
  return { kind: "target_unreachable", reason, mayHaveArrived, cause: "relay" };
}

function writeBody(stream: FrameStream, body: Buffer): void {
  for (let start = 0; start < body.length; start += bodyFrameBytes) {
    const bytes = body.subarray(start, start + bodyFrameBytes);
    stream.write(encodeFrame({ kind: "body", bytes }));
  }
  stream.write(encodeFrame({ kind: "send" }));
}

/**
 * Starts an exchange with a target by way of the box at the other end of the stream. The body is sent only after the relay has
 * connected to the target, so a failure before that is certain not to have arrived.
 */
export function openRelayedExchange(
  clock: Clock,
  stream: FrameStream,
  target: RelayedTarget,
  request: ExchangeRequest,
  listener: ExchangeListener,
): Exchange {
  let done = false;
  let ready = false;
  let written = false;
  let paused = false;
  let consumedBytes = 0;
  /** Frames that arrived while the exchange was paused; the credit bounds them. */
  const held: Frame[] = [];

  const finish = (report: () => void) => {
    if (done) return;
    done = true;
    cancelReadyTimer();
    stream.cancel();
    report();
  };
  const failByRelay = (reason: string) =>
    finish(() => listener.onFailure(relayFailure(reason, written)));
  const cancelReadyTimer = clock.after(request.connectTimeoutMs + relayMarginMs, () =>
    failByRelay("the relay is not ready in time"),
  );

  const sendRequest = async () => {
    await request.beforeWrite?.();
    if (done) return;
    written = true;
    writeBody(stream, request.body);
  };
  const deliverBytes = (bytes: Buffer) => {
    consumedBytes += bytes.length;
    listener.onBytes(bytes);
    if (done || consumedBytes < creditStepBytes) return;
    stream.write(encodeFrame({ kind: "consumed", bytes: consumedBytes }));
    consumedBytes = 0;
  };
  const deliver = (frame: Frame) => {
    switch (frame.kind) {
      case "ready":
        if (ready) return;
        ready = true;
        cancelReadyTimer();
        return void sendRequest();
      case "head":
        return listener.onHead(frame.head);
      case "bytes":
        return deliverBytes(frame.bytes);
      case "complete":
        return finish(() => listener.onComplete());
      case "failure":
        // What this box has not handed over cannot have arrived, whatever the relay says.
        return finish(() =>
          listener.onFailure({
            ...frame.failure,
            mayHaveArrived: written && frame.failure.mayHaveArrived,
          }),
        );
      default:
        return failByRelay(`the relay sent a frame of kind ${frame.kind}`);
    }
  };
  const handleFrame = (message: Buffer) => {
    if (done) return;
    const frame = decodeFrame(message);
    if (frame === undefined) return failByRelay("the relay sent a malformed frame");
    if (paused) held.push(frame);
    else deliver(frame);
  };

  let closedReason: string | undefined;
  const deliverHeld = () => {
    while (!paused && !done && held.length > 0) deliver(held.shift() as Frame);
    if (!paused && closedReason !== undefined) failByRelay(closedReason);
  };
  stream.listen({
    onFrame: handleFrame,
    onClosed(reason) {
      closedReason = reason;
      deliverHeld();
    },
  });
  const { method, path, headers, body, connectTimeoutMs } = request;
  const open = { method, path, headers, connectTimeoutMs, bodyBytes: body.length };
  const { id, born } = target;
  stream.write(encodeFrame({ kind: "open", open: { ...open, target: id, born } }));

  return {
    progress: () => ({ written, unsentBytes: 0 }),
    abort: () => finish(() => undefined),
    pause() {
      paused = true;
    },
    resume() {
      paused = false;
      deliverHeld();
    },
  };
}
