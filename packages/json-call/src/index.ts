/** Calls JSON APIs over HTTP with a timeout and schema validation of the response. */
import type { TargetUnreachable } from "@linkfall/errors";
import { type HttpClient, parseJson, readText } from "@linkfall/http-client";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";

export interface JsonCall {
  readonly address: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  /** Extra headers, such as a token. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Asked on the established connection, immediately before the call is written; if it returns false, nothing is written. */
  isPermitted?(): boolean;
}

/** A response with a parsed body. */
export interface JsonResponse {
  readonly status: number;
  /** The parsed body, not validated. */
  readonly value: unknown;
}

export interface JsonCaller {
  call(call: JsonCall): Promise<Either<TargetUnreachable, JsonResponse>>;
}

/** Creates a caller whose calls time out after `timeoutMs`. */
export function createJsonCaller(
  clock: Clock,
  client: HttpClient,
  timeoutMs: Milliseconds,
): JsonCaller {
  return {
    async call(call) {
      const timeout = new AbortController();
      const cancel = clock.after(timeoutMs, () => timeout.abort());
      const body = call.body === undefined ? "" : JSON.stringify(call.body);
      const sent = await client.send(
        {
          address: call.address,
          method: call.method,
          path: call.path,
          headers: { "content-type": "application/json", ...call.headers },
          body: Buffer.from(body),
          freshConnection: false,
        },
        timeout.signal,
        call.isPermitted,
      );
      if (sent.isLeft()) {
        cancel();
        return Left(sent.extract() as TargetUnreachable);
      }
      const response = sent.unsafeCoerce();
      const text = await readText(response.body);
      cancel();
      return text
        .chain(parseJson)
        .map((value): JsonResponse => ({ status: response.status, value }));
    },
  };
}

/** Validates the body of a response; returns a Left if the status is not 200 or the schema does not match. */
export function parseOkResponse<T>(
  response: JsonResponse,
  schema: z.ZodType<T>,
): Either<TargetUnreachable, T> {
  const fail = (reason: string): Either<TargetUnreachable, T> =>
    Left({ kind: "target_unreachable", reason, mayHaveArrived: true });
  if (response.status !== 200) return fail(`status ${response.status}`);
  const checked = schema.safeParse(response.value);
  return checked.success ? Right(checked.data) : fail("the response does not match the schema");
}
