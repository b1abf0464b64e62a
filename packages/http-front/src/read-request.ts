/** Reads requests within limits on size and time. */
import type { IncomingMessage } from "node:http";
import { createChunkBuffer, deliverReads } from "@linkfall/chunk-buffer";
import { findUnwritableHeader } from "@linkfall/header-syntax";
import type { BodyHold, HeldBytes } from "@linkfall/held-bytes";
import { flattenHeaders } from "@linkfall/http-client";
import type { Clock } from "@linkfall/kernel";
import { notRun } from "@linkfall/refusals";
import { maxFramedBytes } from "@linkfall/response-bounds";
import type { Milliseconds, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

/** Limits on what a caller may send. */
export interface RequestLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly bodyTimeoutMs: Milliseconds;
  /** Connections that may be open at a time. */
  readonly maxConnections?: number;
  /** Bytes that may be held for bodies of requests, unless the front shares the bound of others. */
  readonly maxHeldBytes?: number;
}

/** Bytes of a connection that may belong to the head of the request or to requests after it. */
const maxOtherBytes = 131_072;

/** Reads the body; returns a Left if it is too large, too slow or cut, or if a header line could not be passed on. */
export function readBody(
  clock: Clock,
  message: IncomingMessage,
  limits: RequestLimits,
  held: HeldBytes,
  hold: BodyHold,
): Promise<Either<Refusal, Uint8Array>> {
  const { socket } = message;
  const otherBytes = socket.bytesRead;
  const invalid = findUnwritableHeader(message.rawHeaders);
  if (invalid !== undefined) return Promise.resolve(Left(notRun("bad_request", invalid)));
  return new Promise((resolve) => {
    const body = createChunkBuffer();
    const finish = (result: Either<Refusal, Uint8Array>) => {
      cancel();
      delivery.stop();
      body.clear();
      resolve(result);
    };
    const cancel = clock.after(limits.bodyTimeoutMs, () =>
      finish(Left(notRun("bad_request", "the request did not arrive in time"))),
    );
    const refuseForMemory = (bytes: number) =>
      finish(
        Left(
          notRun("overloaded", "the box holds as many bytes as it may", held.retryAfterMs(bytes)),
        ),
      );
    hold.allowDrop(() => refuseForMemory(body.size()));
    const onBytes = (bytes: Buffer) => {
      if (!hold.add(bytes.length)) return refuseForMemory(bytes.length);
      body.append(bytes);
      if (body.size() > limits.maxBodyBytes) {
        const reason = `the body is larger than ${limits.maxBodyBytes} bytes`;
        return finish(Left(notRun("body_too_large", reason)));
      }
      if (socket.bytesRead - otherBytes > maxOtherBytes + maxFramedBytes(body.size()))
        finish(Left(notRun("bad_request", "the framing of the body is too large")));
    };
    const onEnd = () => {
      hold.complete();
      finish(Right(body.take()));
    };
    const delivery = deliverReads(message, { onBytes, onEnd }, { takesTurns: true });
    message.once("error", () => finish(Left(notRun("bad_request", "the request was cut"))));
  });
}

/** Returns the headers of a message, with repeated ones joined. */
export const requestHeaders = (message: IncomingMessage) => flattenHeaders(message.headers);
