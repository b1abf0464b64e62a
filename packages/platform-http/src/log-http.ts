/**
 * The platform's log over HTTP: `POST /streams/<stream>/records` appends `{data}` and answers
 * `{offset}`; `GET` with `from` and `limit` answers `{entries, newest}`. 410 names the oldest record
 * that is kept, 429 refuses an append for load.
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

function toLogResult<T>(answer: JsonResponse, schema: z.ZodType<T>): Either<LogFailure, T> {
  return match(answer.status)
    .with(429, (): Either<LogFailure, T> => Left({ kind: "log_busy" }))
    .with(410, (): Either<LogFailure, T> => {
      const first = truncatedSchema.safeParse(answer.value);
      if (first.success) return Left({ kind: "log_truncated", first: first.data.first });
      return Left({ kind: "log_unavailable", reason: "410 without the oldest offset" });
    })
    .otherwise(() => parseOkResponse(answer, schema).mapLeft(unavailable));
}

/** Creates the port for the log at `address`. */
export function createLogHttp(caller: JsonCaller, address: string): LogPort {
  const recordsPath = (stream: StreamName) => `/streams/${stream}/records`;
  return {
    async append(stream, data) {
      const call = { address, method: "POST", path: recordsPath(stream), body: { data } } as const;
      const answer = await caller.call(call);
      return answer
        .mapLeft(unavailable)
        .chain((value) => toLogResult(value, appendedSchema))
        .map(({ offset }) => offset);
    },
    async read(stream, from, limit) {
      const path = `${recordsPath(stream)}?from=${from}&limit=${limit}`;
      const answer = await caller.call({ address, method: "GET", path });
      return answer.mapLeft(unavailable).chain((value) => toLogResult(value, batchSchema));
    },
  };
}
