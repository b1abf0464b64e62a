/** Writes the answer to one caller: a head once, bytes in order, and an end that shows whether it is whole. */
import type { ServerResponse } from "node:http";
import { onCallerDisconnect } from "@linkfall/caller-presence";
import type { RawHeaders } from "@linkfall/ports";

export interface ResponseSink {
  /** Whether the head has been written. */
  headersSent(): boolean;
  writeHead(status: number, headers: RawHeaders): void;
  /** Writes bytes; false when the caller reads more slowly than they come. */
  write(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  /** Ends a whole answer. */
  end(): void;
  /** Ends an answer that is not whole, so that the caller can tell. */
  abort(): void;
  /** A whole answer at once. */
  send(status: number, headers: RawHeaders, body: Buffer): void;
  isCallerGone(): boolean;
  onCallerGone(listener: () => void): void;
}

/** Statuses whose answers have no body. */
const bodylessStatuses = new Set([204, 304]);

/** Wraps the response object of Node's server. `closing` tells whether connections are to be closed. */
export function createResponseSink(
  response: ServerResponse,
  isClosing: () => boolean,
): ResponseSink {
  let callerGone = false;
  const listeners: (() => void)[] = [];
  response.on("error", () => undefined);
  onCallerDisconnect(response, () => {
    callerGone = true;
    for (const listener of listeners) listener();
  });

  const writeHead = (status: number, headers: RawHeaders) => {
    if (callerGone || response.headersSent) return;
    if (isClosing()) response.shouldKeepAlive = false;
    response.sendDate = false;
    response.writeHead(status, headers as never);
  };

  return {
    headersSent: () => response.headersSent,
    writeHead: writeHead,
    write: (bytes) => callerGone || response.write(bytes),
    onDrain: (listener) => void response.once("drain", listener),
    end: () => void response.end(),
    abort: () => void response.destroy(),
    send(status, headers, body) {
      if (callerGone) return;
      const sized = bodylessStatuses.has(status)
        ? headers
        : [...headers, "Content-Length", String(body.length)];
      writeHead(status, sized);
      response.end(body);
    },
    isCallerGone: () => callerGone,
    onCallerGone: (listener) => void listeners.push(listener),
  };
}
