/** Delivers the body of a message, many short chunks together, and makes way for others after long turns of the event loop. */
import type { IncomingMessage } from "node:http";
import { createChunkBuffer } from "./chunk-buffer.js";

export interface ReadListener {
  onBytes(bytes: Buffer): void;
  /** All bytes have been delivered and the message has ended, which says nothing of whether it is whole. */
  onEnd(): void;
}

export interface DeliveryOptions {
  /** Whether the connection makes way for others by itself after long turns of the event loop. */
  readonly takesTurns?: boolean;
}

export interface ReadDelivery {
  /** Delivers what has been read so far. */
  flush(): void;
  /** Nothing is delivered any more. */
  stop(): void;
  /** Stops reading; nothing is delivered until `resume`, not the end either. */
  pause(): void;
  resume(): void;
}

/** Chunks that are delivered one by one, as most turns of the event loop have no more of a message. */
const singleChunks = 8;
/** Bytes that are gathered before they are delivered; a listener that has no room for more can pause only then. */
const maxGatheredBytes = 16_384;
/** A turn of the event loop with more chunks of one message than this is long, so that its connection makes way for others. */
const maxChunksPerTurn = 1_000;

/** Connections that are read on after long turns: one in each turn, so that other work comes in between. */
const waiting: (() => void)[] = [];

function resumeNext(): void {
  waiting.shift()?.();
  if (waiting.length > 0) setImmediate(resumeNext);
}

function resumeInTurn(resume: () => void): void {
  if (waiting.length === 0) setImmediate(resumeNext);
  waiting.push(resume);
}

/**
 * Starts to read the body of the message. Each chunk costs time of its own, however short it is, so that what handles the body
 * gets the chunks of a turn of the event loop together if there are many.
 */
export function deliverReads(
  message: IncomingMessage,
  { onBytes, onEnd }: ReadListener,
  { takesTurns = false }: DeliveryOptions = {},
): ReadDelivery {
  const { socket } = message;
  const gathered = createChunkBuffer();
  /** Chunks since the last check whether the turn is long. */
  let chunks = 0;
  let stopped = false;
  let paused = false;
  let hasEnded = false;

  const flush = () => {
    if (!stopped && !paused && gathered.size() > 0) onBytes(gathered.take());
  };
  const endTurn = () => {
    const isLong = chunks > maxChunksPerTurn;
    chunks = 0;
    flush();
    if (!isLong || takesTurns) return;
    socket.pause();
    resumeInTurn(() => void socket.resume());
  };
  const deliverEnd = () => {
    flush();
    if (!hasEnded || stopped || paused) return;
    stopped = true;
    onEnd();
  };
  message.on("data", (chunk: Buffer) => {
    chunks += 1;
    if (chunks === singleChunks) setImmediate(endTurn);
    if (stopped) return;
    if (chunks < singleChunks && gathered.size() === 0 && !paused) return onBytes(chunk);
    gathered.append(chunk);
    if (gathered.size() >= maxGatheredBytes) flush();
  });
  message.once("end", () => {
    hasEnded = true;
    deliverEnd();
  });

  return {
    flush,
    stop() {
      stopped = true;
      gathered.clear();
    },
    pause() {
      paused = true;
      message.pause();
    },
    resume() {
      paused = false;
      message.resume();
      deliverEnd();
    },
  };
}
