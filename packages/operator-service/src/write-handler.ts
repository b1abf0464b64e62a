/** Takes operators' writes: checked here first, decided by the fold. */
import type { FieldProblem } from "@linkfall/errors";
import { clockName, type Kernel, sleep } from "@linkfall/kernel";
import { logWriterName } from "@linkfall/log-writer";
import { loggerName } from "@linkfall/logger";
import { membershipName } from "@linkfall/membership";
import { changeSchema, checkWrite } from "@linkfall/state-fold";
import { stateStoreName } from "@linkfall/state-store";
import type { Change, Milliseconds, Revision } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { match, P } from "ts-pattern";
import { z } from "zod";
import type { WriteResponse } from "./api-types.js";

/** How long an operator waits for the log before the outcome is called unknown. */
const writeLimitMs: Milliseconds = 10_000;

/** How long the answer waits for the change to be in force on every box that is heard. */
const inForceLimitMs: Milliseconds = 2_000;
const inForceStepMs: Milliseconds = 50;

const requestSchema = z.strictObject({ changes: z.array(changeSchema).min(1).max(10_000) });

export type WriteHandler = (who: string, body: Uint8Array) => Promise<WriteResponse>;

function parseChanges(body: Uint8Array): Either<readonly FieldProblem[], readonly Change[]> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return Left([{ field: "body", reason: "not JSON" }]);
  }
  const checked = requestSchema.safeParse(value);
  if (checked.success) return Right(checked.data.changes);
  return Left(
    checked.error.issues.map((issue) => ({
      field: issue.path.map(String).join("."),
      reason: issue.message,
    })),
  );
}

/** Creates the taking of writes of one box. */
export function createWriteHandler(kernel: Kernel): WriteHandler {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const membership = kernel.find(membershipName);

  /**
   * Answers once every box that is heard has the change. Were it answered before, the only box that
   * has read it could be lost together with the log, and nobody would know of an accepted change.
   */
  const awaitInForce = async (revision: Revision): Promise<WriteResponse> => {
    const end = clock.now() + inForceLimitMs;
    for (;;) {
      const { boxes, reached } = membership.readProgress(revision);
      if (reached === boxes || clock.now() >= end) {
        return { kind: "accepted", revision, boxes, inForceOn: reached };
      }
      // Their next heartbeats would tell, too, but later than an operator wants to wait.
      membership.pollLaggingPeers(revision);
      await sleep(clock, inForceStepMs);
    }
  };

  const appendWrite = async (who: string, changes: readonly Change[]): Promise<WriteResponse> => {
    const at = clock.wallTime();
    const written = await writer.append(
      (id) => ({ type: "write", id, who, at, changes }),
      writeLimitMs,
    );
    const unknown: WriteResponse = {
      kind: "unknown",
      reason: "the log did not answer in time; read the resources again before another try",
    };
    return written.caseOf<Promise<WriteResponse>>({
      Left: async () => unknown,
      Right: async (folded) =>
        match(folded[0])
          .with({ type: "write_accepted" }, ({ revision }): Promise<WriteResponse> | WriteResponse => {
            logger.event("changeInForce", { revision, who });
            return awaitInForce(revision);
          })
          .with({ type: "write_rejected" }, ({ why }): WriteResponse => {
            logger.event("changeRejected", { who });
            return why;
          })
          .with(P._, () => unknown)
          .exhaustive(),
    });
  };

  return async (who, body) => {
    const parsed = parseChanges(body);
    if (parsed.isLeft()) {
      return { kind: "invalid_input", problems: parsed.extract() as readonly FieldProblem[] };
    }
    const changes = parsed.unsafeCoerce();
    // What is wrong already does not burden the log; the fold judges again.
    return checkWrite(store.state(), changes) ?? appendWrite(who, changes);
  };
}
