/** Writes the response to one caller: the head once, then the body, ended or aborted so that truncation is visible. */
import type { ServerResponse } from "node:http";
import { onCallerDisconnect } from "@linkfall/caller-presence";
import type { HeldBytes, UnforwardedSource } from "@linkfall/held-bytes";
import type { RawHeaders } from "@linkfall/ports";
import { createHeldQueue } from "./held-queue.js";

export interface ResponseSink {
  /** Whether the response head has been written. */
  headersSent(): boolean;
  writeHead(status: number, headers: RawHeaders): void;
  /** Writes body bytes; false when the caller applies backpressure. */
  write(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  /** Ends a complete response. */
  end(): void;
  /** Closes the connection, so that the caller detects a truncated response. */
  abort(): void;
  /** Sends a complete response. */
  send(status: number, headers: RawHeaders, body: Buffer): void;
  isCallerGone(): boolean;
  /** Ends the work for the response as if the caller had left; what has been sent still goes to the caller. */
  detach(): void;
  onCallerGone(listener: () => void): void;
  /** Counts bytes that are kept until more of the response is known; does nothing where held bytes have no bound. */
  setUnforwarded?(bytes: number, source?: UnforwardedSource): void;
}

/** Statuses whose responses have no body. */
const bodylessStatuses = new Set([204, 304]);

/** Callers of this version are sent neither a length nor chunks, so an orderly end of the connection would look complete. */
const versionWithoutChunks = "1.0";

function abortResponse(response: ServerResponse): void {
  if (response.req.httpVersion === versionWithoutChunks) response.socket?.resetAndDestroy();
  response.destroy();
}

/**
 * Wraps a Node server response. `isClosing` returns true when connections are to be closed after the response. With `held`, bytes
 * for a caller that is behind are kept up to the bound of the box before the caller's backpressure is passed on.
 */
export function createResponseSink(
  response: ServerResponse,
  isClosing: () => boolean,
  held?: HeldBytes,
): ResponseSink {
  let callerGone = false;
  const listeners: (() => void)[] = [];
  response.on("error", () => undefined);
  const detach = () => {
    if (callerGone) return;
    callerGone = true;
    for (const listener of listeners) listener();
  };
  onCallerDisconnect(response, detach);

  const writeHead = (status: number, headers: RawHeaders) => {
    if (callerGone || response.headersSent) return;
    if (isClosing()) response.shouldKeepAlive = false;
    response.sendDate = false;
    response.writeHead(status, headers as never);
  };

  const queue = held && createHeldQueue(response, held, () => abortResponse(response));

  return {
    headersSent: () => response.headersSent,
    writeHead,
    write: (bytes) => callerGone || (queue ? queue.write(bytes) : response.write(bytes)),
    onDrain: (listener) => void (queue ? queue.onRoom(listener) : response.once("drain", listener)),
    end: () => void (queue ? queue.end() : response.end()),
    abort: () => abortResponse(response),
    send(status, headers, body) {
      if (callerGone) return;
      const headersWithLength = bodylessStatuses.has(status)
        ? headers
        : [...headers, "Content-Length", String(body.length)];
      writeHead(status, headersWithLength);
      if (queue) queue.end(body);
      else response.end(body);
    },
    isCallerGone: () => callerGone,
    detach,
    onCallerGone(listener) {
      if (callerGone) listener();
      else listeners.push(listener);
    },
    setUnforwarded: queue?.setUnforwarded,
  };
}
