/** The HTTP server that callers connect to: reads requests within the configured limits and passes them on. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { BoundedConnections, ConnectionBoundsOptions } from "@linkfall/connection-bounds";
import { type ResponseSink, createResponseSink, localReplyHeaders } from "@linkfall/forwarding";
import type { HeldBytes } from "@linkfall/held-bytes";
import type { Clock } from "@linkfall/kernel";
import type { CallerLimits, Milliseconds } from "@linkfall/types";
import { cutOpenRequest, type OpenRequest, type RequestProgress } from "./open-requests.js";
import { readBody } from "./read-body.js";

/** A request before its body has been read. */
export interface RequestHead {
  readonly path: string;
  readonly host: string;
  readonly headers: readonly string[];
}

/** A request with its complete body. */
export interface FrontRequest extends RequestHead {
  readonly method: string;
  readonly body: Buffer;
  readonly sink: ResponseSink;
  readonly arrivedAt: Milliseconds;
  /** Registers how far the request has come, once it is forwarded. */
  trackProgress(progress: () => RequestProgress): void;
  /** Status with which the request was ended since the box has to exit; undefined if it was not. */
  cutStatus(): number | undefined;
}

export interface FrontOptions {
  /** `host:port`. */
  readonly address: string;
  readonly maxHeaderBytes: number;
  readonly clock: Clock;
  /** Bounds the connections of the server. */
  boundConnections(
    server: Server,
    onMalformed: NonNullable<ConnectionBoundsOptions["onMalformed"]>,
  ): BoundedConnections;
  /** Called for each accepted connection. */
  onConnection(socket: Socket): void;
  /** Time since when the request that is being read on the connection may have been waiting; now if absent. */
  arrivedAt?(socket: Socket): Milliseconds;
  limits(): CallerLimits | undefined;
  /** Whether connections are closed after their response. */
  isClosing(): boolean;
  /** Bound on the bytes held for callers and targets; absent if there is none. */
  readonly held?: HeldBytes;
  /** Time in which a request has to be answered; undefined if it cannot be served. */
  timeLimitMs(head: RequestHead): Milliseconds | undefined;
  handle(request: FrontRequest): Promise<void>;
  /** Called when a request is rejected because of how its body comes. */
  onBodyRejected(path: string, status: number, reason: string): void;
  /** Called with an exception of a request's handling, which has ended that request. */
  onDefect(path: string, defect: unknown): void;
}

export interface Front {
  listen(): Promise<void>;
  /** Requests without a complete response. */
  openRequests(): ReadonlySet<OpenRequest>;
  /** Time since the last request arrived. */
  idleMs(): Milliseconds;
  /** Resolves when the requests that have arrived by now have been begun. */
  readArrived(): Promise<void>;
  /** Accepts no new connections and closes those that are idle when all that has arrived on them has been read. */
  close(): Promise<void>;
  /** Ends open requests whose responses have not begun with a final response. */
  cutOpenRequests(): void;
  /** Closes all connections; responses that are not complete look cut off. */
  closeAll(): void;
}

const defaultLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
const connectionCheckIntervalMs = 500;
const internalErrorStatus = 500;
/** Status of a request whose body finds no room: it has not run. */
const noRoomStatus = 503;

const malformedRequestStatuses: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

function rejectMalformed(problem: NodeJS.ErrnoException, socket: Socket): void {
  if (problem.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = malformedRequestStatuses[problem.code ?? ""] ?? "400 Bad Request";
  socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
}

function applyLimits(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTimeoutMs;
  server.headersTimeout = limits.headerTimeoutMs;
}

function rejectUnread(response: ServerResponse, status: number): void {
  response.shouldKeepAlive = false;
  response.writeHead(status, { "Content-Length": 0 });
  response.end();
}

/** Ends a request whose handling has failed: with an error, or without the rest of a response that has begun. */
function endDefective(response: ServerResponse): void {
  if (response.headersSent) response.destroy();
  else rejectUnread(response, internalErrorStatus);
}

/** Resolves when the caller has the response or is gone; a response may wait for its caller after its request has ended. */
function whenClosed(response: ServerResponse): Promise<void> {
  if (response.closed || response.writableFinished) return Promise.resolve();
  return new Promise((resolve) => response.once("close", resolve));
}

/** Creates the server; it does not listen until `listen` is called. */
export function createFront(options: FrontOptions): Front {
  const openRequests = new Set<OpenRequest>();
  const { clock, held } = options;
  let lastRequestAt = clock.now();

  const serve = async (message: IncomingMessage, response: ServerResponse, open: OpenRequest) => {
    const { path, sink, arrivedAt } = open;
    const readAt = clock.now();
    lastRequestAt = readAt;
    const limits = options.limits() ?? defaultLimits;
    applyLimits(server, limits);
    if (!path.startsWith("/")) return rejectUnread(response, 400);
    const hold = held?.holdBody();
    if (hold) response.once("close", () => hold.close());
    const head = { path, host: message.headers.host ?? "", headers: message.rawHeaders };
    const body = await readBody(clock, message, {
      maxBytes: limits.maxBodyBytes,
      timeLimitMs: () => arrivedAt + (options.timeLimitMs(head) ?? limits.idleTimeoutMs) - readAt,
      hold,
    });
    const rejectBody = (status: number, reason: string) => {
      options.onBodyRejected(path, status, reason);
      rejectUnread(response, status);
    };
    if (body.kind === "too_large") return rejectUnread(response, 413);
    if (body.kind === "too_much_framing")
      return rejectBody(400, "the framing of the body is too large");
    if (body.kind === "too_late") return rejectBody(408, "the body did not arrive in time");
    if (body.kind === "no_room") {
      hold?.close();
      response.shouldKeepAlive = false;
      return respondLocally(sink, noRoomStatus, held?.retryAfterMs(body.bytes));
    }
    if (body.kind === "aborted") return;
    await options.handle({
      ...head,
      method: message.method ?? "GET",
      body: body.bytes,
      sink,
      arrivedAt,
      trackProgress: (progress) => void (open.progress = progress),
      cutStatus: () => open.cutStatus,
    });
    hold?.close();
    if (held) await whenClosed(response);
  };

  const server = createServer(
    {
      maxHeaderSize: options.maxHeaderBytes,
      connectionsCheckingInterval: connectionCheckIntervalMs,
    },
    (message, response) => {
      const path = message.url ?? "";
      // Requests that have been sent ahead are answered before the connection is closed.
      const isLast = () => options.isClosing() && !bounded.hasEarlyRequests(message.socket);
      const sink = createResponseSink(response, isLast, held);
      const open: OpenRequest = {
        path,
        arrivedAt: options.arrivedAt?.(message.socket) ?? clock.now(),
        sink,
      };
      openRequests.add(open);
      response.once("close", () => void openRequests.delete(open));
      const endWithDefect = (defect: unknown) => {
        options.onDefect(path, defect);
        endDefective(response);
      };
      void serve(message, response, open)
        .catch(endWithDefect)
        .finally(() => void openRequests.delete(open));
    },
  );
  server.requestTimeout = 0;
  applyLimits(server, defaultLimits);
  const bounded = options.boundConnections(server, rejectMalformed);
  server.on("connection", options.onConnection);

  const separator = options.address.lastIndexOf(":");
  return {
    listen: () =>
      new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(
          Number(options.address.slice(separator + 1)),
          options.address.slice(0, separator),
          resolve,
        );
      }),
    openRequests: () => openRequests,
    idleMs: () => clock.now() - lastRequestAt,
    readArrived: bounded.readArrived,
    async close() {
      await bounded.readArrived();
      server.close();
      server.closeIdleConnections();
    },
    cutOpenRequests: () => openRequests.forEach(cutOpenRequest),
    closeAll() {
      for (const { sink } of openRequests) sink.abort();
      server.closeAllConnections();
    },
  };
}

/** Answers a request that is not forwarded to a target. */
export function respondLocally(
  sink: ResponseSink,
  status: number,
  retryAfterMs?: Milliseconds,
): void {
  sink.send(status, localReplyHeaders(retryAfterMs), Buffer.from("{}\n"));
}
