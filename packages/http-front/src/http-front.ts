/** HTTP server for callers or operators. */
import { createServer as createPlain, type IncomingMessage, type ServerResponse } from "node:http";
import { createServer as createTls } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { awaitPendingDisconnectsAfterRead, onCallerDisconnect } from "@linkfall/caller-presence";
import {
  boundConnections,
  type ClosedReason,
  type ConnectionState,
  createReadTurns,
  type ReadTurns,
} from "@linkfall/connection-bounds";
import type { AddressUnavailable } from "@linkfall/errors";
import { createHeldBytes, type HeldBytes } from "@linkfall/held-bytes";
import { type Clock, type Random, sleep, systemRandom } from "@linkfall/kernel";
import type { CallerRequest, CallerResponse } from "@linkfall/ports";
import { notRun, refusalResponse } from "@linkfall/refusals";
import { type Either, Left, Right } from "purify-ts";
import { endOpenRequest, type OpenRequest } from "./open-requests.js";
import { readBody, requestHeaders, type RequestLimits } from "./read-request.js";
import { writeResponse } from "./write-response.js";

/** Certificate and key in PEM. */
export interface FrontTls {
  readonly cert: string;
  readonly key: string;
}

export interface HttpFrontInput {
  readonly clock: Clock;
  /** `host:port`; port 0 selects a free port. */
  readonly address: string;
  readonly limits: RequestLimits;
  readonly tls?: FrontTls;
  /** Bounds that several fronts of a process share; a front without them has its own. */
  readonly bounds?: FrontBounds;
  handle(request: CallerRequest): Promise<CallerResponse>;
  /** Called with an exception of a request's handling, which has ended that request. */
  onDefect(path: string, defect: unknown): void;
  /** Called when a connection is closed to stay within a bound. */
  onConnectionClosed?(reason: ClosedReason, state: ConnectionState): void;
  /** Called with the number of requests that are not begun since the response before them has closed their connection. */
  onNotBegun?(requests: number): void;
}

/** What the clients of all fronts of a process may take together. */
export interface FrontBounds {
  readonly turns: ReadTurns;
  readonly held: HeldBytes;
}

export interface HttpFront {
  /** Starts listening; resolves with the address. */
  listen(): Promise<Either<AddressUnavailable, string>>;
  /** From now on a response closes its connection, unless the caller has sent further requests on it. */
  closeBehindResponses(): void;
  /** Accepts no new connections, and closes those that are idle when all that has arrived on them has been read. */
  stopListening(): Promise<void>;
  /**
   * Stops listening and closes all connections once their responses are sent. When a timeout has passed, requests whose
   * responses have not begun are ended with a refusal, and responses that have begun are cut.
   */
  close(): Promise<void>;
}

/** Time for open connections to finish when the server closes. */
const closeTimeoutMs = 5_000;
/** Time in which callers take the last responses. */
const lastResponsesMs = 200;
const internalErrorStatus = 500;
const defaultMaxConnections = 1_000;
const defaultMaxHeldBytes = 64_000_000;
const headerOverflowCode = "HPE_HEADER_OVERFLOW";

/** Responds to input that Node's HTTP parser rejected, in the same JSON format as other refusals. */
function respondToMalformed(problem: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const tooLarge = problem.code === headerOverflowCode;
  const refusal = notRun(
    "bad_request",
    tooLarge ? "the request head is too large" : "the request is not valid HTTP",
  );
  const body = Buffer.from(refusalResponse(refusal).body as Uint8Array);
  const status = tooLarge ? "431 Request Header Fields Too Large" : "400 Bad Request";
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\nlinkfall-outcome: not_run\r\n` +
      `content-length: ${body.length}\r\nconnection: close\r\n\r\n${body.toString("utf8")}`,
  );
}

/** Ends a request whose handling has failed: with an error, or without the rest of a response that has begun. */
function endDefective(serverResponse: ServerResponse): void {
  if (serverResponse.headersSent) return void serverResponse.destroy();
  const headers = { "linkfall-outcome": "outcome_unknown", "content-length": "0" };
  serverResponse.writeHead(internalErrorStatus, { ...headers, connection: "close" });
  serverResponse.end();
}

/** Creates bounds for fronts with the limits; two bodies of the largest size always fit. */
export function createFrontBounds(
  clock: Clock,
  random: Random,
  { maxBodyBytes, maxHeldBytes = defaultMaxHeldBytes }: RequestLimits,
): FrontBounds {
  return {
    turns: createReadTurns(clock),
    held: createHeldBytes(clock, random, Math.max(maxHeldBytes, 2 * maxBodyBytes)),
  };
}

/** Creates a front, which does not listen until `listen` is called. */
export function createHttpFront(input: HttpFrontInput): HttpFront {
  const { turns, held } =
    input.bounds ?? createFrontBounds(input.clock, systemRandom(), input.limits);
  const openRequests = new Set<OpenRequest>();
  let isClosing = false;
  const serve = async (message: IncomingMessage, open: OpenRequest) => {
    const { serverResponse, callerGone } = open;
    const hold = held.holdBody();
    serverResponse.once("close", () => hold.close());
    onCallerDisconnect(serverResponse, () => callerGone.abort());
    serverResponse.on("error", () => callerGone.abort());
    const body = await readBody(input.clock, message, input.limits, held, hold);
    await awaitPendingDisconnectsAfterRead(input.clock.now, () => callerGone.signal.aborted);
    if (callerGone.signal.aborted) return;
    const response = await body.caseOf({
      Left: async (refusal) => {
        const refused = refusalResponse(refusal);
        // The rest of the request is not read, so the connection cannot be reused.
        return { ...refused, headers: { ...refused.headers, connection: "close" } };
      },
      Right(bytes) {
        open.isHandled = true;
        return input.handle({
          method: message.method ?? "GET",
          path: message.url ?? "/",
          headers: requestHeaders(message),
          body: bytes,
          signal: callerGone.signal,
        });
      },
    });
    // The request was ended since the front has to close.
    if (serverResponse.headersSent) return;
    // Requests that have been sent ahead are answered before the connection is closed.
    if (isClosing && !bounded.hasEarlyRequests(message.socket))
      serverResponse.shouldKeepAlive = false;
    await writeResponse(serverResponse, response, callerGone.signal);
  };

  const options = {
    maxHeaderSize: input.limits.maxHeaderBytes,
    handshakeTimeout: input.limits.bodyTimeoutMs,
    ...input.tls,
  };
  const listener = (message: IncomingMessage, serverResponse: ServerResponse) => {
    const open = { serverResponse, callerGone: new AbortController(), isHandled: false };
    openRequests.add(open);
    const endWithDefect = (defect: unknown) => {
      input.onDefect(message.url ?? "", defect);
      endDefective(serverResponse);
    };
    void serve(message, open)
      .catch(endWithDefect)
      .finally(() => void openRequests.delete(open));
  };
  const server = input.tls ? createTls(options, listener) : createPlain(options, listener);
  const bounded = boundConnections(server, {
    turns,
    held,
    maxConnections: input.limits.maxConnections ?? defaultMaxConnections,
    maxHeaderBytes: input.limits.maxHeaderBytes,
    onMalformed: respondToMalformed,
    onDefect: (defect) => input.onDefect("", defect),
    onClosed: (reason, state) => input.onConnectionClosed?.(reason, state),
    onNotBegun: (requests) => input.onNotBegun?.(requests),
  });

  let closed: Promise<void> | undefined;
  const closeBehindResponses = () => void (isClosing = true);
  const stopListening = async () => {
    closeBehindResponses();
    await bounded.readArrived();
    closed ??= new Promise((resolve) => server.close(() => resolve()));
    server.closeIdleConnections();
  };

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
    closeBehindResponses,
    stopListening,
    async close() {
      await stopListening();
      const cancel = input.clock.after(closeTimeoutMs, () => {
        openRequests.forEach(endOpenRequest);
        void sleep(input.clock, lastResponsesMs).then(() => server.closeAllConnections());
      });
      await closed;
      cancel();
    },
  };
}
