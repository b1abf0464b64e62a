/** Checks that what Node's parser accepts is a response: a status that HTTP knows, and bounds on the bytes beside its body. */
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { followHeadLines } from "./head-lines.js";
import { appendToTail, hasBytesBehind } from "./response-end.js";

export { createKeptAgent } from "./kept-agent.js";

/** Maximum size of a response head, with all informational responses before it. */
export const maxHeadBytes = 65_536;
/** Bytes of chunk sizes, extensions and trailers that a message may have whatever its size. */
const maxFramingBytes = 65_536;
/** A chunk of one byte has 5 bytes of framing; the rest is room for sizes with leading zeros. */
const framingBytesPerBodyByte = 8;
/** Framing beyond this must be no larger than the body: each chunk takes time, however short it is. */
const maxExcessFramingBytes = 1_500_000;

/** Final statuses of HTTP (RFC 9110, section 15): Node parses any three digits, and cannot write some of them. */
const minFinalStatus = 200;
const maxFinalStatus = 599;

/** Whether the status can be that of a final response. */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= minFinalStatus && status <= maxFinalStatus;
}

/** Maximum number of bytes in which a body of the size may be framed, whatever the sizes of its chunks. */
export function maxFramedBytes(bodyBytes: number): number {
  return maxFramingBytes + (1 + framingBytesPerBodyByte) * bodyBytes;
}

/** The only transfer coding that a response may have: no request lists others, whose bytes would count as the body. */
const chunkedCoding = "chunked";

function hasUnknownCoding({ headers }: IncomingMessage): boolean {
  const coding = headers["transfer-encoding"];
  return coding !== undefined && coding.toLowerCase() !== chunkedCoding;
}

export interface ResponseBounds {
  /** Counts bytes of the body that were read from the response. */
  countBody(bytes: number): void;
}

/**
 * Calls `onInvalid` once if the head or the framing of the response exceeds its bound, if the head does not end with an empty
 * line or names a transfer coding other than chunks, if bytes arrive behind the response on a connection that has had another one
 * before, or if the request ends without any. The check of bounds runs once for each read from the connection, so that one is
 * exceeded by at most one read. A connection on which bytes arrive behind its first response is not kept.
 */
export function boundResponse(
  request: ClientRequest,
  onInvalid: (reason: string) => void,
): ResponseBounds {
  let receivedBytes = 0;
  let bodyBytes = 0;
  let response: IncomingMessage | undefined;
  let reported = false;
  let wasComplete = false;
  let tail: Buffer = Buffer.alloc(0);

  const excessOf = (): string | undefined => {
    if (!response) return receivedBytes > maxHeadBytes ? "the head is too large" : undefined;
    if (response.complete) return undefined;
    const parsedBytes = bodyBytes + response.readableLength;
    const maxBodyBytes = Math.min(
      maxFramedBytes(parsedBytes),
      maxFramingBytes + maxExcessFramingBytes + 2 * parsedBytes,
    );
    return receivedBytes > maxHeadBytes + maxBodyBytes
      ? "the framing of the body is too large"
      : undefined;
  };
  const report = (reason: string) => {
    reported = true;
    onInvalid(reason);
  };
  const headLines = followHeadLines();
  /** Which answer is whose can't be told on a connection that has given more than one for each request. */
  const rejectBytesBehind = (incoming: IncomingMessage) => {
    if (!incoming.complete) return;
    const read = { receivedBytes, headBytes: headLines.headBytes(), tail };
    if (!wasComplete && !hasBytesBehind(request, incoming, read)) return;
    request.shouldKeepAlive = false;
    if (request.reusedSocket) report("bytes arrived behind the answer on a kept connection");
  };
  const countRead = (bytes: Buffer) => {
    receivedBytes += bytes.length;
    if (reported) return;
    const excess = excessOf();
    if (excess !== undefined) return report(excess);
    if (!response) return;
    tail = appendToTail(tail, bytes);
    rejectBytesBehind(response);
  };
  const checkHead = (bytes: Buffer) => {
    wasComplete = response?.complete === true;
    if (response || reported || !headLines.read(bytes)) return;
    report("the head ends at a carriage return without a line feed");
  };

  request.once("response", (incoming) => {
    response = incoming;
    if (!reported && hasUnknownCoding(incoming)) report("unknown transfer coding");
  });
  request.once("socket", (socket: Socket) => {
    // Runs before the parser's listener, which would deliver the response.
    socket.prependListener("data", checkHead);
    // Runs after the parser's listener, which has delivered the body bytes of the read by then.
    socket.on("data", countRead);
    // The connection may be used for further requests.
    request.once("close", () => {
      socket.removeListener("data", checkHead);
      socket.removeListener("data", countRead);
    });
  });
  // Node closes the connection of a response that switches the protocol, without an error.
  request.once("close", () => {
    if (!response && !reported) report("the connection was closed without an answer");
  });
  return { countBody: (bytes) => void (bodyBytes += bytes) };
}

/** Whether the error of a request concerns only bytes behind its complete response. */
export function isBehindResponse(
  error: NodeJS.ErrnoException,
  response: IncomingMessage | undefined,
): boolean {
  return response?.complete === true && (error.code ?? "").startsWith("HPE_");
}
