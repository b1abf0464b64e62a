/** One HTTP exchange with a target on a connection of its own, its bytes passed on as they come. */
import { Agent, type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { TargetUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { RawHeaders } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";

export { isListening } from "./is-listening.js";

/** One request as it is sent. */
export interface ExchangeRequest {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** End-to-end headers; those of the connection are added here. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Longest time until the connection stands. */
  readonly connectTimeoutMs: Milliseconds;
  /** Awaited when the connection stands, before the first byte; the exchange may be aborted meanwhile. */
  beforeWrite?(): Promise<void>;
}

/** The head of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** What happens in an exchange. After `onWhole` or `onFailure` nothing more is called. */
export interface ExchangeListener {
  onHead(head: ResponseHead): void;
  onBytes(bytes: Buffer): void;
  /** The answer is whole. */
  onComplete(): void;
  /** The exchange ended before the answer was whole. */
  onFailure(failure: TargetUnreachable): void;
}

/** How far the request has gone. */
export interface SendProgress {
  /** Whether bytes of it may have left. */
  readonly written: boolean;
  /** Bytes of it that the system has not taken yet. */
  readonly unsentBytes: number;
}

export interface Exchange {
  progress(): SendProgress;
  /** Resets the connection; the listener hears nothing more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** A connection for each request: what is not reused cannot carry bytes of an earlier answer. */
const freshConnections = new Agent({ keepAlive: false, maxSockets: Infinity });

function failure(reason: string, mayHaveArrived: boolean): TargetUnreachable {
  return { kind: "target_unreachable", reason, mayHaveArrived };
}

/** Headers of the connection, and of the body that is sent whole. */
function withFraming(request: ExchangeRequest): string[] {
  const headers = [...request.headers, "Connection", "close"];
  const mayHaveBody = request.body.length > 0 || request.method === "POST";
  if (mayHaveBody) headers.push("Content-Length", String(request.body.length));
  return headers;
}

function createRequest(request: ExchangeRequest): ClientRequest {
  const mark = request.address.lastIndexOf(":");
  return httpRequest({
    host: request.address.slice(0, mark),
    port: Number(request.address.slice(mark + 1)),
    method: request.method,
    path: request.path,
    headers: withFraming(request) as never,
    agent: freshConnections,
  });
}

/** Begins an exchange. */
export function openExchange(
  clock: Clock,
  request: ExchangeRequest,
  listener: ExchangeListener,
): Exchange {
  let done = false;
  let connected = false;
  let written = false;
  let response: IncomingMessage | undefined;
  const sent = createRequest(request);

  const finish = (report: () => void) => {
    if (done) return;
    done = true;
    cancelConnect();
    sent.destroy();
    report();
  };
  /** A reset also drops what the system still holds of the request; a close would go out behind it. */
  const resetConnection = () => {
    if (connected) sent.socket?.resetAndDestroy();
    sent.destroy();
  };
  const fail = (reason: string) => finish(() => listener.onFailure(failure(reason, written)));
  const cancelConnect = clock.after(request.connectTimeoutMs, () => {
    if (!connected) fail("no connection in time");
  });

  const write = async () => {
    await request.beforeWrite?.();
    if (done) return;
    written = true;
    sent.end(request.body);
  };

  sent.once("socket", (socket) => {
    // A reset behind bytes that are still unread is shown as a plain end. What tells them apart is
    // that a connection that was reset has no peer any more.
    socket.prependOnceListener("end", () => {
      if (connected && socket.remoteAddress === undefined) fail("the connection was reset");
    });
    socket.once("connect", () => {
      connected = true;
      cancelConnect();
      void write();
    });
  });
  // Also called when a reset ends an answer without a length, before its end is reported.
  sent.on("error", (problem) => fail(problem.message));
  sent.once("response", (answer) => {
    response = answer;
    answer.on("error", (problem) => fail(problem.message));
    answer.once("aborted", () => fail("the answer was cut"));
    answer.on("data", (bytes: Buffer) => {
      if (!done) listener.onBytes(bytes);
    });
    answer.once("end", () => {
      if (answer.complete) finish(() => listener.onComplete());
      else fail("the answer was cut");
    });
    if (!done) listener.onHead({ status: answer.statusCode ?? 0, headers: answer.rawHeaders });
  });

  return {
    progress: () => ({ written, unsentBytes: sent.socket?.writableLength ?? 0 }),
    abort() {
      if (done) return;
      done = true;
      cancelConnect();
      resetConnection();
    },
    pause: () => response?.pause(),
    resume: () => response?.resume(),
  };
}
