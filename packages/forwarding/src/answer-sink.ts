/** Writes the answer to one caller: a head once, bytes in order, and an end that shows whether it is whole. */
import type { ServerResponse } from "node:http";
import { onCallerDisconnect } from "@linkfall/caller-presence";
import type { RawHeaders } from "@linkfall/ports";

export interface AnswerSink {
  /** Whether the head has been written. */
  begun(): boolean;
  head(status: number, headers: RawHeaders): void;
  /** Writes bytes; false when the caller reads more slowly than they come. */
  bytes(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  /** Ends a whole answer. */
  end(): void;
  /** Ends an answer that is not whole, so that the caller can tell. */
  cut(): void;
  /** A whole answer at once. */
  whole(status: number, headers: RawHeaders, body: Buffer): void;
  gone(): boolean;
  onGone(listener: () => void): void;
}

/** Statuses whose answers have no body. */
const withoutBody = new Set([204, 304]);

/** Wraps the response object of Node's server. `closing` tells whether connections are to be closed. */
export function createAnswerSink(response: ServerResponse, closing: () => boolean): AnswerSink {
  let callerGone = false;
  const listeners: (() => void)[] = [];
  response.on("error", () => undefined);
  onCallerDisconnect(response, () => {
    callerGone = true;
    for (const listener of listeners) listener();
  });

  const head = (status: number, headers: RawHeaders) => {
    if (callerGone || response.headersSent) return;
    if (closing()) response.shouldKeepAlive = false;
    response.sendDate = false;
    response.writeHead(status, headers as never);
  };

  return {
    begun: () => response.headersSent,
    head,
    bytes: (bytes) => callerGone || response.write(bytes),
    onDrain: (listener) => void response.once("drain", listener),
    end: () => void response.end(),
    cut: () => void response.destroy(),
    whole(status, headers, body) {
      if (callerGone) return;
      const sized = withoutBody.has(status)
        ? headers
        : [...headers, "Content-Length", String(body.length)];
      head(status, sized);
      response.end(body);
    },
    gone: () => callerGone,
    onGone: (listener) => void listeners.push(listener),
  };
}
