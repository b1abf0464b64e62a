/** Calls a JSON interface over HTTP, with a time limit and a check of the answer's shape. */
import type { TargetUnreachable } from "@linkfall/errors";
import { type HttpClient, parseJson, readText } from "@linkfall/http-client";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";

/** One call. */
export interface JsonCall {
  readonly address: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  /** Extra headers, such as a token. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** An answer whose body has been read and parsed. */
export interface JsonResponse {
  readonly status: number;
  readonly value: unknown;
}

export interface JsonCaller {
  call(call: JsonCall): Promise<Either<TargetUnreachable, JsonResponse>>;
}

/** Creates a caller that gives up after `limit` milliseconds. */
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

/** Checks the shape of an answer that should have status 200. */
export function parseOkResponse<T>(
  answer: JsonResponse,
  schema: z.ZodType<T>,
): Either<TargetUnreachable, T> {
  const problem = (reason: string): Either<TargetUnreachable, T> =>
    Left({ kind: "target_unreachable", reason, mayHaveArrived: true });
  if (answer.status !== 200) return problem(`status ${answer.status}`);
  const checked = schema.safeParse(answer.value);
  return checked.success ? Right(checked.data) : problem("an answer of another shape");
}
