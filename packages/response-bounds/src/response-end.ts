/** Tells whether a read that completes a response has bytes behind it, which Node's parser drops or takes for a further response. */
import type { ClientRequest, IncomingMessage } from "node:http";

/** Enough for one line end more than those of a last chunk. */
const tailBytes = 6;
const lineEndsAtTail = /(?:\r?\n)+$/;
const lineFeed = /\n/g;
/** Those of the last chunk's size or the last trailer, and of the empty line. */
const lineEndsOfLastChunk = 2;
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** The last bytes of a response, from reads of any size. */
export function appendToTail(tail: Buffer, bytes: Buffer): Buffer {
  if (bytes.length >= tailBytes) return bytes.subarray(-tailBytes);
  return Buffer.concat([tail, bytes]).subarray(-tailBytes);
}

/** What has been read from the connection when the response is complete. */
export interface CompletingRead {
  readonly receivedBytes: number;
  /** Bytes of all heads of the response. */
  readonly headBytes: number;
  readonly tail: Buffer;
}

function endsWithLastChunk(tail: Buffer): boolean {
  const [lineEnds = ""] = lineEndsAtTail.exec(tail.toString("latin1")) ?? [];
  return lineEnds.match(lineFeed)?.length === lineEndsOfLastChunk;
}

/** Whether bytes have been read behind the complete response. */
export function hasBytesBehind(
  { method }: ClientRequest,
  { statusCode = 0, headers }: IncomingMessage,
  { receivedBytes, headBytes, tail }: CompletingRead,
): boolean {
  const isBodyless = method === "HEAD" || bodylessStatuses.has(statusCode);
  if (isBodyless) return receivedBytes > headBytes;
  if (headers["transfer-encoding"] !== undefined) return !endsWithLastChunk(tail);
  const length = headers["content-length"];
  return length !== undefined && receivedBytes > headBytes + Number(length);
}
