/** Handles operators' writes: validates them, appends them to the log and waits for the outcome. */
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

/** Timeout of an append to the log, after which the outcome is reported as unknown. */
const appendTimeoutMs: Milliseconds = 10_000;

/** Maximum time to wait until all reachable boxes have applied the change. */
const inForceTimeoutMs: Milliseconds = 2_000;
const inForcePollMs: Milliseconds = 50;

const requestSchema = z.strictObject({ changes: z.array(changeSchema).min(1).max(10_000) });

export type WriteHandler = (who: string, body: Uint8Array) => Promise<WriteResponse>;

function parseChanges(body: Uint8Array): Either<readonly FieldProblem[], readonly Change[]> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return Left([{ field: "body", reason: "is not valid JSON" }]);
  }
  const validated = requestSchema.safeParse(parsed);
  if (validated.success) return Right(validated.data.changes);
  return Left(
    validated.error.issues.map((issue) => ({
      field: issue.path.map(String).join("."),
      reason: issue.message,
    })),
  );
}

/** Creates the write handler of this box. */
export function createWriteHandler(kernel: Kernel): WriteHandler {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const membership = kernel.find(membershipName);

  /**
   * Waits until all reachable boxes have applied the change. An earlier response would risk losing an
   * accepted change if the log and the only box that has read it fail together.
   */
  const awaitInForce = async (revision: Revision): Promise<WriteResponse> => {
    const deadlineAt = clock.now() + inForceTimeoutMs;
    for (;;) {
      const { boxes, reached } = membership.readProgress(revision);
      if (reached === boxes || clock.now() >= deadlineAt) {
        return { kind: "accepted", revision, boxes, inForceOn: reached };
      }
      // Polls the boxes that lag behind, which is faster than waiting for their next heartbeat.
      membership.pollLaggingPeers(revision);
      await sleep(clock, inForcePollMs);
    }
  };

  const appendWrite = async (who: string, changes: readonly Change[]): Promise<WriteResponse> => {
    const at = clock.wallTime();
    const appended = await writer.append(
      (id) => ({ type: "write", id, who, at, changes }),
      appendTimeoutMs,
    );
    const unknownOutcome: WriteResponse = {
      kind: "unknown",
      reason: "the log did not respond in time; read the resources again before retrying",
    };
    return appended.caseOf<Promise<WriteResponse>>({
      Left: async () => unknownOutcome,
      Right: async (events) =>
        match(events[0])
          .with(
            { type: "write_accepted" },
            ({ revision }): Promise<WriteResponse> | WriteResponse => {
              logger.event("changeInForce", { revision, who });
              return awaitInForce(revision);
            },
          )
          .with({ type: "write_rejected" }, ({ why }): WriteResponse => {
            logger.event("changeRejected", { who });
            return why;
          })
          .with(P._, () => unknownOutcome)
          .exhaustive(),
    });
  };

  return async (who, body) => {
    const parsed = parseChanges(body);
    if (parsed.isLeft()) {
      return { kind: "invalid_input", problems: parsed.extract() as readonly FieldProblem[] };
    }
    const changes = parsed.unsafeCoerce();
    // Rejects writes that are already invalid without an append; the state fold validates the others.
    return checkWrite(store.state(), changes) ?? appendWrite(who, changes);
  };
}
