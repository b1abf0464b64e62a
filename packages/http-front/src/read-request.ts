/** From Node's incoming message to a request, within the limits on size and time. */
import type { IncomingMessage } from "node:http";
import { flattenHeaders } from "@linkfall/http-client";
import type { Clock } from "@linkfall/kernel";
import { notRun } from "@linkfall/refusals";
import type { Milliseconds, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

/** Limits on what a caller may send. */
export interface RequestLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly bodyTimeoutMs: Milliseconds;
}

/** Reads the body; Left when it is too large, too slow or cut. */
export function readBody(
  clock: Clock,
  message: IncomingMessage,
  limits: RequestLimits,
): Promise<Either<Refusal, Uint8Array>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: Either<Refusal, Uint8Array>) => {
      cancel();
      message.removeAllListeners("data");
      resolve(result);
    };
    const cancel = clock.after(limits.bodyTimeoutMs, () =>
      finish(Left(notRun("bad_request", "the request did not arrive in time"))),
    );
    message.on("data", (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size <= limits.maxBodyBytes) return;
      const reason = `the body is larger than ${limits.maxBodyBytes} bytes`;
      finish(Left(notRun("body_too_large", reason)));
    });
    message.once("end", () => finish(Right(Buffer.concat(chunks))));
    message.once("error", () => finish(Left(notRun("bad_request", "the request was cut"))));
  });
}

/** Headers of a message as one text each. */
export const requestHeaders = (message: IncomingMessage) => flattenHeaders(message.headers);
