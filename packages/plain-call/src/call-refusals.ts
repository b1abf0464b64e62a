/** What a caller is told of a call that no target has answered. */
import type { TargetUnreachable } from "@linkfall/errors";
import { failed, notRun, outcomeUnknown } from "@linkfall/refusals";
import type { Milliseconds, Refusal } from "@linkfall/types";
import type { PlainCall } from "./plain-call.js";

const retryAfterMs: Milliseconds = 1_000;
/** Most targets that are tried for one call. */
export const maxAttempts = 3;

/** What to do after an attempt without an answer: a refusal, or undefined to try elsewhere. */
export function refusalAfterLoss(
  call: PlainCall,
  failure: TargetUnreachable,
  attempt: number,
  now: Milliseconds,
): Refusal | undefined {
  const inTime = now < call.deadlineAt && !call.callerGone.aborted;
  const mayRepeat = !failure.mayHaveArrived || call.repeatable;
  if (mayRepeat && inTime && attempt < maxAttempts) return undefined;
  if (!failure.mayHaveArrived) return notRun("target_refused", failure.reason, retryAfterMs);
  if (!call.repeatable) return outcomeUnknown("target_lost", failure.reason);
  return failed("target_lost", failure.reason, retryAfterMs);
}

/** The refusal when there is no target left to try; `last` is what became of the one before. */
export function refusalWithoutTargets(call: PlainCall, last: TargetUnreachable | undefined): Refusal {
  const reason = last?.reason ?? `no target of ${call.service.name} is open`;
  if (last?.mayHaveArrived) return failed("target_lost", reason, retryAfterMs);
  return notRun("no_replica", reason, retryAfterMs);
}
