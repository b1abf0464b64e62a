/** HTTP client on top of Node's that reports whether a failed request may have reached the server. */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { createChunkBuffer } from "@linkfall/chunk-buffer";
import { watchCompleteness } from "@linkfall/connection-reset";
import type { TargetUnreachable } from "@linkfall/errors";
import { findUnwritableHeader } from "@linkfall/header-syntax";
import type { BodyPart, HeaderMap, TargetRequest, TargetResponse } from "@linkfall/ports";
import {
  boundResponse,
  createKeptAgent,
  isBehindResponse,
  isFinalStatus,
  maxHeadBytes,
  type ResponseBounds,
} from "@linkfall/response-bounds";
import { Either, Left, Right } from "purify-ts";

/** Shorter than the keep-alive timeout of common servers, so that idle connections are closed by the client. */
const idleConnectionTimeoutMs = 4_000;

export interface HttpClient {
  /** Sends the request. `isPermitted` is asked on the established connection; if it returns false, nothing is written. */
  send(
    request: TargetRequest,
    signal: AbortSignal,
    isPermitted?: () => boolean,
  ): Promise<Either<TargetUnreachable, TargetResponse>>;
  /** Closes idle connections. */
  close(): void;
}

function unreachable(reason: string, mayHaveArrived: boolean): TargetUnreachable {
  return { kind: "target_unreachable", reason, mayHaveArrived };
}

/** Joins repeated headers with commas, as HTTP allows. */
export function flattenHeaders(headers: IncomingMessage["headers"]): HeaderMap {
  const pairs = Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return [];
    return [[name, Array.isArray(value) ? value.join(", ") : value] as const];
  });
  return Object.fromEntries(pairs);
}

/**
 * Yields the chunks of a body. If the body ends early, the last part is a Left.
 *
 * @param isComplete called after the last chunk
 * @param bounds told of each chunk
 */
export async function* readBodyParts(
  message: IncomingMessage,
  isComplete: () => boolean,
  bounds?: ResponseBounds,
): AsyncGenerator<BodyPart> {
  try {
    for await (const chunk of message) {
      bounds?.countBody((chunk as Buffer).length);
      yield Right(chunk as Buffer);
    }
    if (!isComplete()) yield Left(unreachable("the body was cut", true));
  } catch (problem) {
    yield Left(unreachable(String(problem), true));
  }
}

/** Returns a function that checks whether any byte of the request may have been sent. */
function trackConnection(request: ClientRequest): () => boolean {
  let connected = false;
  request.on("socket", (socket) => {
    if (socket.connecting) socket.once("connect", () => (connected = true));
    else connected = true;
  });
  return () => connected;
}

/** Calls `write` once the request has an established connection. */
function onceConnected(request: ClientRequest, write: () => void): void {
  request.once("socket", (socket) => {
    if (socket.pending) socket.once("connect", write);
    else write();
  });
}

/** Node throws on a request that it can't send, such as one to a port out of range. */
function createRequest(
  { address, method, path, headers, body }: TargetRequest,
  agent: Agent | false,
  signal: AbortSignal,
): Either<TargetUnreachable, ClientRequest> {
  const portSeparator = address.lastIndexOf(":");
  const options = {
    host: address.slice(0, portSeparator).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(portSeparator + 1)),
    method,
    path,
    headers: { ...headers, "content-length": body.length },
    agent,
    maxHeaderSize: maxHeadBytes,
    signal,
  };
  return Either.encase(() => httpRequest(options)).mapLeft(({ message }) =>
    unreachable(message, false),
  );
}

/** Creates a client that reuses connections. */
export function createHttpClient(): HttpClient {
  const keepAliveAgent = createKeptAgent({ keepAlive: true, timeout: idleConnectionTimeoutMs });
  return {
    send: (request, signal, isPermitted) =>
      new Promise((resolve) => {
        if (signal.aborted) return resolve(Left(unreachable("aborted before it was sent", false)));
        const agent = request.freshConnection ? false : keepAliveAgent;
        const created = createRequest(request, agent, signal);
        if (created.isLeft()) return resolve(created as Either<TargetUnreachable, never>);
        const outgoing = created.unsafeCoerce();
        const mayHaveArrived = trackConnection(outgoing);
        let answer: IncomingMessage | undefined;
        const isComplete = watchCompleteness(outgoing);
        const bounds = boundResponse(outgoing, (reason) => {
          const problem = new Error(reason);
          answer?.destroy(problem);
          outgoing.destroy(problem);
          // A request that has ended reports no error any more.
          resolve(Left(unreachable(reason, mayHaveArrived())));
        });
        outgoing.on("error", (problem) => {
          if (isBehindResponse(problem, answer)) return;
          resolve(Left(unreachable(problem.message, mayHaveArrived())));
        });
        outgoing.once("response", (message) => {
          answer = message;
          // Later errors concern the body and reach its reader; if the body is no longer read, they
          // are ignored.
          outgoing.on("error", () => undefined);
          message.on("error", () => undefined);
          const { statusCode: status = 0 } = message;
          const reject = (reason: string) => {
            outgoing.destroy();
            resolve(Left(unreachable(reason, true)));
          };
          if (!isFinalStatus(status)) return reject("invalid status");
          if (findUnwritableHeader(message.rawHeaders) !== undefined)
            return reject("invalid header");
          const headers = flattenHeaders(message.headers);
          const body = readBodyParts(message, isComplete, bounds);
          // The rest of the read that has brought the head is checked first.
          queueMicrotask(() => resolve(Right({ status, headers, body })));
        });
        if (!isPermitted) return outgoing.end(request.body);
        onceConnected(outgoing, () => {
          if (isPermitted()) return outgoing.end(request.body);
          resolve(Left(unreachable("no longer permitted", false)));
          outgoing.destroy();
        });
      }),
    close: () => keepAliveAgent.destroy(),
  };
}

/** Maximum size of a response that is read into memory. */
const maxTextBytes = 64_000_000;

/** Reads a body as text; returns a Left if it was cut or is too large. */
export async function readText(
  body: AsyncIterable<BodyPart>,
): Promise<Either<TargetUnreachable, string>> {
  const bytes = createChunkBuffer();
  for await (const part of body) {
    if (part.isLeft()) return Left(part.extract() as TargetUnreachable);
    bytes.append(part.extract() as Uint8Array);
    if (bytes.size() > maxTextBytes) return Left(unreachable("the response is too large", true));
  }
  return Right(bytes.take().toString("utf8"));
}

/** Parses JSON; returns a Left if it is invalid. */
export function parseJson(text: string): Either<TargetUnreachable, unknown> {
  try {
    return Right(JSON.parse(text));
  } catch {
    return Left(unreachable("the response is not valid JSON", true));
  }
}
