/** One HTTP exchange with a target on its own connection; response bytes are delivered as they arrive. */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { deliverReads, type ReadDelivery } from "@linkfall/chunk-buffer";
import { onRequestReset } from "@linkfall/connection-reset";
import type { TargetUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { RawHeaders } from "@linkfall/ports";
import { boundResponse, isBehindResponse, maxHeadBytes } from "@linkfall/response-bounds";
import type { Milliseconds } from "@linkfall/types";

import { createTargetAgent, type TargetConnector } from "./target-connector.js";

export { isListening } from "./is-listening.js";
export {
  connectToAddress,
  createTargetAgent,
  type TargetConnector,
  tcpConnector,
} from "./target-connector.js";

/** The request of an exchange. */
export interface ExchangeRequest {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** End-to-end headers; connection headers and Content-Length are added. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Maximum time to establish the connection. */
  readonly connectTimeoutMs: Milliseconds;
  /** Awaited between the connect and the first byte; the exchange may be aborted in the meantime. */
  beforeWrite?(): Promise<void>;
}

/** How the end of a response body is marked: by its length, by a last chunk, or only by the end of the connection. */
export type ResponseFraming = "length" | "chunked" | "close";

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly framing: ResponseFraming;
}

/** Events of an exchange. None follows `onComplete` or `onFailure`. */
export interface ExchangeListener {
  onHead(head: ResponseHead): void;
  /** Body bytes; many short chunks come together. */
  onBytes(bytes: Buffer): void;
  /** The response is complete. `excess` is set if further bytes were read behind it, which are not part of any response. */
  onComplete(excess?: boolean): void;
  /** The exchange ended before the response was complete. */
  onFailure(failure: TargetUnreachable): void;
}

/** Progress of sending the request. */
export interface SendProgress {
  /** Whether bytes of the request may have been clientRequest. */
  readonly written: boolean;
  /** Bytes of the request that are still buffered in the process. */
  readonly unsentBytes: number;
}

export interface Exchange {
  progress(): SendProgress;
  /** Resets the connection; the listener is not called again. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Starts an exchange. */
export type OpenExchange = (request: ExchangeRequest, listener: ExchangeListener) => Exchange;

function failure(reason: string, mayHaveArrived: boolean): TargetUnreachable {
  return { kind: "target_unreachable", reason, mayHaveArrived };
}

/** Adds the headers of the connection and of the body, which is not chunked. */
function withFraming(request: ExchangeRequest): string[] {
  const headers = [...request.headers, "Connection", "close"];
  const mayHaveBody = request.body.length > 0 || request.method === "POST";
  if (mayHaveBody) headers.push("Content-Length", String(request.body.length));
  return headers;
}

function createRequest(request: ExchangeRequest, agent: Agent): ClientRequest {
  const colon = request.address.lastIndexOf(":");
  return httpRequest({
    host: request.address.slice(0, colon),
    port: Number(request.address.slice(colon + 1)),
    method: request.method,
    path: request.path,
    headers: withFraming(request) as never,
    maxHeaderSize: maxHeadBytes,
    agent,
  });
}

function framingOf({ headers }: IncomingMessage): ResponseFraming {
  if (headers["transfer-encoding"] !== undefined) return "chunked";
  return headers["content-length"] === undefined ? "close" : "length";
}

/** Creates a function that starts exchanges, each on a connection of its own. */
export function createExchangeOpener(clock: Clock, connector: TargetConnector): OpenExchange {
  // A connection per request, so that no bytes of an earlier response can arrive on it.
  const agent = createTargetAgent(connector, { keepAlive: false, maxSockets: Infinity });
  return (request, listener) => startExchange(clock, request, listener, agent);
}

function startExchange(
  clock: Clock,
  request: ExchangeRequest,
  listener: ExchangeListener,
  agent: Agent,
): Exchange {
  let done = false;
  let connected = false;
  let written = false;
  let hasExcess = false;
  let response: IncomingMessage | undefined;
  let delivery: ReadDelivery | undefined;
  const clientRequest = createRequest(request, agent);

  const finish = (report: () => void) => {
    delivery?.flush();
    if (done) return;
    done = true;
    delivery?.stop();
    cancelConnect();
    clientRequest.destroy();
    report();
  };
  /** Resets the connection, which drops unsent bytes in the socket buffer; a close would send them first. */
  const resetConnection = () => {
    if (connected) clientRequest.socket?.resetAndDestroy();
    clientRequest.destroy();
  };
  const fail = (reason: string) => finish(() => listener.onFailure(failure(reason, written)));
  const cancelConnect = clock.after(request.connectTimeoutMs, () => {
    if (!connected) fail("no connection in time");
  });

  const write = async () => {
    await request.beforeWrite?.();
    if (done) return;
    written = true;
    clientRequest.end(request.body);
  };

  const bounds = boundResponse(clientRequest, fail);
  onRequestReset(clientRequest, () => fail("the connection was reset"));
  clientRequest.once("socket", (socket) => {
    socket.once("connect", () => {
      connected = true;
      cancelConnect();
      void write();
    });
  });
  // For a response without a length, a reset is reported here before the end of the response.
  clientRequest.on("error", (error) => {
    if (!isBehindResponse(error, response)) return fail(error.message);
    // The response itself is complete; its end is reported once its bytes have been read.
    hasExcess = true;
  });
  clientRequest.once("response", (incoming) => {
    response = incoming;
    incoming.on("error", (error) => fail(error.message));
    incoming.once("aborted", () => fail("the answer was cut"));
    incoming.on("data", ({ length }: Buffer) => bounds.countBody(length));
    delivery = deliverReads(incoming, {
      onBytes: listener.onBytes,
      onEnd() {
        if (incoming.complete) finish(() => listener.onComplete(hasExcess));
        else fail("the answer was cut");
      },
    });
    if (done) return;
    const { statusCode: status = 0, rawHeaders: headers } = incoming;
    listener.onHead({ status, headers, framing: framingOf(incoming) });
  });

  return {
    progress: () => ({ written, unsentBytes: clientRequest.socket?.writableLength ?? 0 }),
    abort() {
      if (done) return;
      done = true;
      delivery?.stop();
      cancelConnect();
      resetConnection();
    },
    pause: () => delivery?.pause(),
    resume: () => delivery?.resume(),
  };
}
