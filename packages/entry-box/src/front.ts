/** The address where callers connect: reads requests within the limits and hands them on. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type ResponseSink, createResponseSink, localReplyHeaders } from "@linkfall/forwarding";
import type { CallerLimits, Milliseconds } from "@linkfall/types";
import { readBody } from "./read-body.js";

/** One request as it was read. */
export interface FrontRequest {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly sink: ResponseSink;
  readonly arrivedAt: Milliseconds;
}

export interface FrontOptions {
  /** `host:port`. */
  readonly address: string;
  readonly maxHeaderBytes: number;
  now(): Milliseconds;
  /** Called for each connection that is taken. */
  onConnection(): void;
  limits(): CallerLimits | undefined;
  /** Whether connections are to be closed after their answer. */
  isClosing(): boolean;
  handle(request: FrontRequest): Promise<void>;
}

export interface Front {
  listen(): Promise<void>;
  /** Requests that have no final answer yet. */
  openRequests(): number;
  /** Time since the last request began. */
  idleMs(): Milliseconds;
  /** Takes no new connections and closes those without a request. */
  close(): void;
  closeAll(): void;
}

const defaultLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
const connectionCheckIntervalMs = 500;

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

/** Creates a front that does not listen yet. */
export function createFront(input: FrontOptions): Front {
  let open = 0;
  let lastAt = input.now();

  const serve = async (message: IncomingMessage, response: ServerResponse) => {
    const arrivedAt = input.now();
    lastAt = arrivedAt;
    const limits = input.limits() ?? defaultLimits;
    applyLimits(server, limits);
    const sink = createResponseSink(response, input.isClosing);
    const path = message.url ?? "";
    if (!path.startsWith("/")) return rejectUnread(response, 400);
    const body = await readBody(message, limits.maxBodyBytes);
    if (body.kind === "too_large") return rejectUnread(response, 413);
    if (body.kind === "cut") return;
    await input.handle({
      method: message.method ?? "GET",
      path,
      host: message.headers.host ?? "",
      headers: message.rawHeaders,
      body: body.bytes,
      sink,
      arrivedAt,
    });
  };

  const server = createServer(
    { maxHeaderSize: input.maxHeaderBytes, connectionsCheckingInterval: connectionCheckIntervalMs },
    (message, response) => {
      open += 1;
      void serve(message, response).finally(() => void (open -= 1));
    },
  );
  server.requestTimeout = 0;
  applyLimits(server, defaultLimits);
  server.on("clientError", rejectMalformed);
  server.on("connection", input.onConnection);

  const mark = input.address.lastIndexOf(":");
  return {
    listen: () =>
      new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(input.address.slice(mark + 1)), input.address.slice(0, mark), resolve);
      }),
    openRequests: () => open,
    idleMs: () => input.now() - lastAt,
    close() {
      server.close();
      server.closeIdleConnections();
    },
    closeAll: () => server.closeAllConnections(),
  };
}

/** Answers a request that no target gets. */
export function respondLocally(
  sink: ResponseSink,
  status: number,
  retryAfterMs?: Milliseconds,
): void {
  sink.send(status, localReplyHeaders(retryAfterMs), Buffer.from("{}\n"));
}
