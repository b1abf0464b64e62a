/**
 * The platform's log over HTTP. `POST /streams/<stream>/records` appends `{data}` and returns
 * `{offset}`; `GET` with `from` and `limit` returns `{entries, newest}`. Status 410 returns the oldest
 * retained offset as `{first}`; 429 rejects an append because of overload.
 */
import type { LogFailure, TargetUnreachable } from "@linkfall/errors";
import { parseOkResponse, type JsonResponse, type JsonCaller } from "@linkfall/json-call";
import type { LogPort, StreamName } from "@linkfall/ports";
import { type Either, Left } from "purify-ts";
import { match } from "ts-pattern";
import { z } from "zod";

const appendedSchema = z.object({ offset: z.number().int().positive() });
const batchSchema = z.object({
  entries: z.array(z.object({ offset: z.number().int().positive(), data: z.string() })),
  newest: z.number().int().min(0),
});
const truncatedSchema = z.object({ first: z.number().int().positive() });

function unavailable(failure: TargetUnreachable): LogFailure {
  return { kind: "log_unavailable", reason: failure.reason };
}

function toLogResult<T>(response: JsonResponse, schema: z.ZodType<T>): Either<LogFailure, T> {
  return match(response.status)
    .with(429, (): Either<LogFailure, T> => Left({ kind: "log_busy" }))
    .with(410, (): Either<LogFailure, T> => {
      const truncated = truncatedSchema.safeParse(response.value);
      if (truncated.success) return Left({ kind: "log_truncated", first: truncated.data.first });
      return Left({ kind: "log_unavailable", reason: "410 without the oldest offset" });
    })
    .otherwise(() => parseOkResponse(response, schema).mapLeft(unavailable));
}

/** Creates an adapter for the log at `address`. */
export function createLogHttp(caller: JsonCaller, address: string): LogPort {
  const recordsPath = (stream: StreamName) => `/streams/${stream}/records`;
  return {
    async append(stream, data) {
      const call = { address, method: "POST", path: recordsPath(stream), body: { data } } as const;
      const result = await caller.call(call);
      return result
        .mapLeft(unavailable)
        .chain((response) => toLogResult(response, appendedSchema))
        .map(({ offset }) => offset);
    },
    async read(stream, from, limit) {
      const path = `${recordsPath(stream)}?from=${from}&limit=${limit}`;
      const result = await caller.call({ address, method: "GET", path });
      return result.mapLeft(unavailable).chain((response) => toLogResult(response, batchSchema));
    },
  };
}
