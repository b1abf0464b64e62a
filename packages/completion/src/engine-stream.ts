/** Reads the event stream of an engine: tokens by position, and the marker of its end. */
import { type Clock, withTimeout } from "@linkfall/kernel";
import type { BodyPart, TargetResponse } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { z } from "zod";
import type { CompletionToken } from "./job.js";

const endMarker = "[DONE]";
/** Header by which an engine says whose answer it gives. */
export const attemptHeader = "x-attempt-id";
/** Header by which a target says that it has not started the request. */
export const notStartedHeader = "x-not-started";

const chunkSchema = z.object({
  choices: z
    .array(z.object({ text: z.string(), finish_reason: z.string().nullable().optional() }))
    .min(1),
});

/** How the reading of a stream ended. */
export type StreamEnd =
  | { readonly kind: "complete" }
  /** It broke off, or fell silent, before its end. */
  | { readonly kind: "cut"; readonly reason: string }
  /** What came was no answer to this attempt. */
  | { readonly kind: "garbled"; readonly reason: string };

function toToken(message: EventSourceMessage): CompletionToken | undefined {
  try {
    const chunk = chunkSchema.parse(JSON.parse(message.data));
    const [choice] = chunk.choices;
    const position = Number(message.id);
    if (!Number.isInteger(position)) return undefined;
    return { position, text: choice.text, finishReason: choice.finish_reason ?? undefined };
  } catch {
    return undefined;
  }
}

/**
 * Yields the tokens from `from` on, each once and in order.
 *
 * @param stallMs silence after which the stream counts as cut
 */
export async function* readEngineStream(
  clock: Clock,
  response: TargetResponse,
  attempt: string,
  from: number,
  stallMs: Milliseconds,
): AsyncGenerator<CompletionToken, StreamEnd> {
  if (response.headers[attemptHeader] !== attempt) {
    return { kind: "garbled", reason: "the answer belongs to another request" };
  }
  const messages: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (message) => void messages.push(message) });
  const decoder = new TextDecoder();
  const parts = response.body[Symbol.asyncIterator]();
  let next = from;
  for (;;) {
    const read = await withTimeout(clock, stallMs, parts.next());
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
      yield token;
      // The last token says that it is the last; a cut after it takes nothing away.
      if (token.finishReason !== undefined) {
        void parts.next();
        return { kind: "complete" };
      }
    }
  }
}
