/** A listening address where callers or operators connect. */
import { createServer as createPlain, type IncomingMessage, type ServerResponse } from "node:http";
import { createServer as createTls } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { awaitPendingDisconnectsAfterRead, onCallerDisconnect } from "@linkfall/caller-presence";
import type { AddressUnavailable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { CallerRequest, CallerResponse } from "@linkfall/ports";
import { notRun, refusalResponse } from "@linkfall/refusals";
import { type Either, Left, Right } from "purify-ts";
import { readBody, requestHeaders, type RequestLimits } from "./read-request.js";
import { writeResponse } from "./write-response.js";

/** Certificate and key in PEM. */
export interface FrontTls {
  readonly cert: string;
  readonly key: string;
}

export interface HttpFrontInput {
  readonly clock: Clock;
  /** `host:port`; port 0 takes a free one. */
  readonly address: string;
  readonly limits: RequestLimits;
  readonly tls?: FrontTls;
  handle(request: CallerRequest): Promise<CallerResponse>;
  /** Takes an error that no value stands for: a defect. */
  onDefect(problem: unknown): void;
}

export interface HttpFront {
  /** Starts to listen; resolves with the address. */
  listen(): Promise<Either<AddressUnavailable, string>>;
  /** Stops to listen and closes all connections. */
  close(): Promise<void>;
}

/** How long answers that are done may take to leave at a stop. */
const closeTimeoutMs = 5_000;
const headerOverflowCode = "HPE_HEADER_OVERFLOW";

/** Answers what the parser could not take: the same JSON shape as every other refusal. */
function respondToMalformed(problem: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const tooLarge = problem.code === headerOverflowCode;
  const refusal = notRun(
    "bad_request",
    tooLarge ? "the head is too large" : "no valid HTTP request",
  );
  const body = Buffer.from(refusalResponse(refusal).body as Uint8Array);
  const status = tooLarge ? "431 Request Header Fields Too Large" : "400 Bad Request";
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\nlinkfall-outcome: not_run\r\n` +
      `content-length: ${body.length}\r\nconnection: close\r\n\r\n${body.toString("utf8")}`,
  );
}

/** Creates a front that does not listen yet. */
export function createHttpFront(input: HttpFrontInput): HttpFront {
  const serve = async (message: IncomingMessage, sink: ServerResponse) => {
    const callerGone = new AbortController();
    onCallerDisconnect(sink, () => callerGone.abort());
    sink.on("error", () => callerGone.abort());
    const body = await readBody(input.clock, message, input.limits);
    await awaitPendingDisconnectsAfterRead(input.clock.now, () => callerGone.signal.aborted);
    if (callerGone.signal.aborted) return;
    const response = await body.caseOf({
      Left: async (refusal) => {
        const refused = refusalResponse(refusal);
        // The rest of the request is not read, so the connection cannot be used again.
        return { ...refused, headers: { ...refused.headers, connection: "close" } };
      },
      Right: (bytes) =>
        input.handle({
          method: message.method ?? "GET",
          path: message.url ?? "/",
          headers: requestHeaders(message),
          body: bytes,
          signal: callerGone.signal,
        }),
    });
    await writeResponse(sink, response, callerGone.signal);
  };

  const options = { maxHeaderSize: input.limits.maxHeaderBytes, ...input.tls };
  const listener = (message: IncomingMessage, sink: ServerResponse) =>
    void serve(message, sink).catch(input.onDefect);
  const server = input.tls ? createTls(options, listener) : createPlain(options, listener);
  server.on("clientError", respondToMalformed);

  const portSeparator = input.address.lastIndexOf(":");
  const host = input.address.slice(0, portSeparator).replace(/^\[|\]$/g, "");
  return {
    listen: () =>
      new Promise((resolve) => {
        server.once("error", ({ message }) => {
          resolve(Left({ kind: "address_unavailable", address: input.address, reason: message }));
        });
        server.listen(Number(input.address.slice(portSeparator + 1)), host, () => {
          resolve(Right(`${host}:${(server.address() as AddressInfo).port}`));
        });
      }),
    close: () =>
      new Promise((resolve) => {
        const cancel = input.clock.after(closeTimeoutMs, () => server.closeAllConnections());
        server.close(() => {
          cancel();
          resolve();
        });
        server.closeIdleConnections();
      }),
  };
}
