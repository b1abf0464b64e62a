/** Reads the event stream of an engine: tokens by position, and the end marker. */
import type { CancelTimer, Clock } from "@linkfall/kernel";
import type { BodyPart, TargetResponse } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { CompletionToken } from "./job.js";

const endMarker = "[DONE]";
/** Maximum size of one event; a larger one counts as an event without end. */
const maxEventBytes = 1_000_000;
/** Maximum number of bytes that are read behind the last token, so that the connection can be reused. */
const maxRestBytes = 65_536;
/** Header with the id of the attempt that a response belongs to. */
export const attemptHeader = "x-attempt-id";
/** Header by which a target reports that it did not start the request. */
export const notStartedHeader = "x-not-started";

/** Result of reading a stream. */
export type StreamResult =
  | { readonly kind: "complete" }
  /** The stream broke off or stalled before its end. */
  | { readonly kind: "cut"; readonly reason: string }
  /** The response was malformed or did not belong to this attempt. */
  | { readonly kind: "garbled"; readonly reason: string };

/** Handles a token; a returned promise applies backpressure until it resolves. */
export type TokenHandler = (token: CompletionToken) => Promise<void> | void;

/** The used part of an event's data. Validated by hand, because it is on the hot path. */
interface Chunk {
  readonly choices?: readonly { readonly text?: unknown; readonly finish_reason?: unknown }[];
}

function toToken(message: EventSourceMessage): CompletionToken | undefined {
  const position = Number(message.id);
  const choice = parseChunk(message.data)?.choices?.[0];
  if (!Number.isInteger(position) || typeof choice?.text !== "string") return undefined;
  const { text, finish_reason: reason } = choice;
  return { position, text, finishReason: typeof reason === "string" ? reason : undefined };
}

function parseChunk(data: string): Chunk | undefined {
  try {
    return JSON.parse(data) as Chunk | undefined;
  } catch {
    return undefined;
  }
}

/** Detects a stalled stream with one timer for the whole stream. */
function createStallTimer(clock: Clock, stallMs: Milliseconds) {
  let lastReadAt = clock.now();
  let hasStalled = false;
  let resolvePending: () => void = () => undefined;
  let cancel: CancelTimer = () => undefined;
  const check = () => {
    const remainingMs = lastReadAt + stallMs - clock.now();
    if (remainingMs > 0) {
      cancel = clock.after(remainingMs, check);
      return;
    }
    hasStalled = true;
    resolvePending();
  };
  check();
  return {
    /**
     * Resolves with the value of the promise, or with undefined once the stream has stalled. `Promise.race` against
     * one promise for the whole stream would retain memory for each token until the stream ends.
     */
    raceStall<T>(promise: Promise<T>): Promise<T | undefined> {
      return new Promise((resolve, reject) => {
        resolvePending = () => resolve(undefined);
        if (hasStalled) resolvePending();
        promise.then(resolve, reject);
      });
    },
    reset() {
      lastReadAt = clock.now();
    },
    stop: () => cancel(),
  };
}

/**
 * Calls `onToken` with the tokens from position `from` on, each once and in order.
 *
 * @param stallMs time without data after which the stream counts as cut
 */
export async function readEngineStream(
  clock: Clock,
  response: TargetResponse,
  attempt: string,
  from: number,
  stallMs: Milliseconds,
  onToken: TokenHandler,
): Promise<StreamResult> {
  if (response.headers[attemptHeader] !== attempt) {
    return { kind: "garbled", reason: "the answer belongs to another request" };
  }
  const stallTimer = createStallTimer(clock, stallMs);
  try {
    return await readTokens(response, from, stallTimer, onToken);
  } finally {
    stallTimer.stop();
  }
}

/** Reads to the end of the body, so that the connection can be reused; closes the connection if it goes on. */
async function readRest(parts: AsyncIterator<BodyPart>): Promise<void> {
  let restBytes = 0;
  while (restBytes <= maxRestBytes) {
    const read = await parts.next();
    if (read.done || read.value.isLeft()) return;
    restBytes += (read.value.extract() as Uint8Array).length;
  }
  await parts.return?.();
}

async function readTokens(
  response: TargetResponse,
  from: number,
  stallTimer: ReturnType<typeof createStallTimer>,
  onToken: TokenHandler,
): Promise<StreamResult> {
  const messages: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (message) => void messages.push(message) });
  const decoder = new TextDecoder();
  const parts = response.body[Symbol.asyncIterator]();
  let nextPosition = from;
  let unfinishedBytes = 0;
  for (;;) {
    const read = await stallTimer.raceStall(parts.next());
    stallTimer.reset();
    if (read === undefined) return { kind: "cut", reason: "the stream fell silent" };
    if (read.done) return { kind: "cut", reason: "the stream ended before its end marker" };
    const part: BodyPart = read.value;
    if (part.isLeft()) return { kind: "cut", reason: part.extract().reason };
    const bytes = part.extract() as Uint8Array;
    parser.feed(decoder.decode(bytes, { stream: true }));
    unfinishedBytes = messages.length > 0 ? 0 : unfinishedBytes + bytes.length;
    if (unfinishedBytes > maxEventBytes) {
      await parts.return?.();
      return { kind: "garbled", reason: "an event without end" };
    }
    for (const message of messages.splice(0)) {
      if (message.data === endMarker) {
        void readRest(parts);
        return { kind: "complete" };
      }
      const token = toToken(message);
      if (!token) return { kind: "garbled", reason: "an event that is no token" };
      // A resumed stream may repeat tokens but must not skip any.
      if (token.position < nextPosition) continue;
      if (token.position > nextPosition) return { kind: "cut", reason: "tokens are missing" };
      nextPosition += 1;
      const handled = onToken(token);
      if (handled) await handled;
      // The token with a finish reason is the last one; a missing end marker after it is harmless.
      if (token.finishReason !== undefined) {
        void readRest(parts);
        return { kind: "complete" };
      }
    }
  }
}
