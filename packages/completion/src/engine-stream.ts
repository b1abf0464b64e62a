/** Reads the event stream of an engine: tokens by position, and the marker of its end. */
import type { CancelTimer, Clock } from "@linkfall/kernel";
import type { BodyPart, TargetResponse } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { CompletionToken } from "./job.js";

const endMarker = "[DONE]";
/** Header by which an engine says whose answer it gives. */
export const attemptHeader = "x-attempt-id";
/** Header by which a target says that it has not started the request. */
export const notStartedHeader = "x-not-started";

/** How the reading of a stream ended. */
export type StreamResult =
  | { readonly kind: "complete" }
  /** It broke off, or fell silent, before its end. */
  | { readonly kind: "cut"; readonly reason: string }
  /** What came was no answer to this attempt. */
  | { readonly kind: "garbled"; readonly reason: string };

/** Takes a token; a promise holds the stream back until it resolves. */
export type TokenHandler = (token: CompletionToken) => Promise<void> | void;

/** The shape of an event's data, as far as it is used. Checked by hand: it is on the copy path. */
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

/** Tells when a stream has been silent too long, with one timer for the whole stream. */
function createStallTimer(clock: Clock, limit: Milliseconds) {
  let lastReadAt = clock.now();
  let hasStalled = false;
  let resolvePending: () => void = () => undefined;
  let cancel: CancelTimer = () => undefined;
  const check = () => {
    const left = lastReadAt + limit - clock.now();
    if (left > 0) {
      cancel = clock.after(left, check);
      return;
    }
    hasStalled = true;
    resolvePending();
  };
  check();
  return {
    /**
     * The promise's value, or undefined once the stream has been silent too long. A race against one
     * promise of the whole stream would keep something for each token until the stream's end.
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
 * Hands on the tokens from `from` on, each once and in order.
 *
 * @param stallMs silence after which the stream counts as cut
 */
export async function readEngineStream(
  clock: Clock,
  response: TargetResponse,
  attempt: string,
  from: number,
  stallMs: Milliseconds,
  take: TokenHandler,
): Promise<StreamResult> {
  if (response.headers[attemptHeader] !== attempt) {
    return { kind: "garbled", reason: "the answer belongs to another request" };
  }
  const watch = createStallTimer(clock, stallMs);
  try {
    return await readTokens(response, from, watch, take);
  } finally {
    watch.stop();
  }
}

async function readTokens(
  response: TargetResponse,
  from: number,
  watch: ReturnType<typeof createStallTimer>,
  take: TokenHandler,
): Promise<StreamResult> {
  const messages: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (message) => void messages.push(message) });
  const decoder = new TextDecoder();
  const parts = response.body[Symbol.asyncIterator]();
  let next = from;
  for (;;) {
    const read = await watch.raceStall(parts.next());
    watch.reset();
    if (read === undefined) return { kind: "cut", reason: "the stream fell silent" };
    if (read.done) return { kind: "cut", reason: "the stream ended before its end marker" };
    const part: BodyPart = read.value;
    if (part.isLeft()) return { kind: "cut", reason: part.extract().reason };
    parser.feed(decoder.decode(part.extract() as Uint8Array, { stream: true }));
    for (const message of messages.splice(0)) {
      if (message.data === endMarker) {
        // Read to its end, so that the connection can be used again.
        void parts.next();
        return { kind: "complete" };
      }
      const token = toToken(message);
      if (!token) return { kind: "garbled", reason: "an event that is no token" };
      // A resumed stream may begin with what is known already, but must not leave anything out.
      if (token.position < next) continue;
      if (token.position > next) return { kind: "cut", reason: "tokens are missing" };
      next += 1;
      const wait = take(token);
      if (wait) await wait;
      // The last token says that it is the last; a cut after it takes nothing away.
      if (token.finishReason !== undefined) {
        void parts.next();
        return { kind: "complete" };
      }
    }
  }
}
