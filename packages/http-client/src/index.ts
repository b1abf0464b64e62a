/** Sends one HTTP request with Node's client and says, on a failure, whether it can have arrived. */
import { Agent, type ClientRequest, type IncomingMessage, request as httpRequest } from "node:http";
import type { TargetUnreachable } from "@linkfall/errors";
import type { BodyPart, HeaderMap, TargetRequest, TargetResponse } from "@linkfall/ports";
import { type Either, Left, Right } from "purify-ts";

/** Idle connections are closed sooner than common servers close them. */
const idleConnectionTimeoutMs = 4_000;

export interface HttpClient {
  send(
    request: TargetRequest,
    signal: AbortSignal,
  ): Promise<Either<TargetUnreachable, TargetResponse>>;
  /** Closes idle connections. */
  close(): void;
}

function unreachable(reason: string, mayHaveArrived: boolean): TargetUnreachable {
  return { kind: "target_unreachable", reason, mayHaveArrived };
}

/** Headers as one text each; a repeated one is joined as HTTP allows. */
export function flattenHeaders(headers: IncomingMessage["headers"]): HeaderMap {
  const pairs = Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return [];
    return [[name, Array.isArray(value) ? value.join(", ") : value] as const];
  });
  return Object.fromEntries(pairs);
}

/** The body of a message; a message that ends early ends with a Left. */
export async function* readBodyParts(message: IncomingMessage): AsyncGenerator<BodyPart> {
  try {
    for await (const chunk of message) yield Right(chunk as Buffer);
    if (!message.complete) yield Left(unreachable("the body was cut", true));
  } catch (problem) {
    yield Left(unreachable(String(problem), true));
  }
}

/** Whether a byte of the request can have left on its connection. */
function trackConnection(request: ClientRequest): () => boolean {
  let connected = false;
  request.on("socket", (socket) => {
    if (socket.connecting) socket.once("connect", () => (connected = true));
    else connected = true;
  });
  return () => connected;
}

/** Creates a client that keeps connections alive between requests. */
export function createHttpClient(): HttpClient {
  const keepAliveAgent = new Agent({ keepAlive: true, timeout: idleConnectionTimeoutMs });
  return {
    send: (request, signal) =>
      new Promise((resolve) => {
        if (signal.aborted) return resolve(Left(unreachable("given up before it was sent", false)));
        const portSeparator = request.address.lastIndexOf(":");
        const outgoing = httpRequest({
          host: request.address.slice(0, portSeparator).replace(/^\[|\]$/g, ""),
          port: Number(request.address.slice(portSeparator + 1)),
          method: request.method,
          path: request.path,
          headers: { ...request.headers, "content-length": request.body.length },
          agent: request.freshConnection ? false : keepAliveAgent,
          signal,
        });
        const mayHaveArrived = trackConnection(outgoing);
        outgoing.once("error", (problem) => {
          resolve(Left(unreachable(problem.message, mayHaveArrived())));
        });
        outgoing.once("response", (message) => {
          // Later errors belong to the body. Whoever reads it sees them; a body that is no longer
          // read has nobody to tell.
          outgoing.on("error", () => undefined);
          message.on("error", () => undefined);
          const headers = flattenHeaders(message.headers);
          resolve(
            Right({ status: message.statusCode ?? 0, headers, body: readBodyParts(message) }),
          );
        });
        outgoing.end(request.body);
      }),
    close: () => keepAliveAgent.destroy(),
  };
}

/** Largest JSON answer that is read into memory. */
const maxTextBytes = 64_000_000;

/** Reads a body as text; Left where it was cut or is too long. */
export async function readText(
  body: AsyncIterable<BodyPart>,
): Promise<Either<TargetUnreachable, string>> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const part of body) {
    if (part.isLeft()) return Left(part.extract() as TargetUnreachable);
    const chunk = part.extract() as Uint8Array;
    size += chunk.length;
    if (size > maxTextBytes) return Left(unreachable("the answer is too long", true));
    chunks.push(chunk);
  }
  return Right(Buffer.concat(chunks).toString("utf8"));
}

/** Parses JSON; Left where it is none. */
export function parseJson(text: string): Either<TargetUnreachable, unknown> {
  try {
    return Right(JSON.parse(text));
  } catch {
    return Left(unreachable("the answer is not JSON", true));
  }
}
