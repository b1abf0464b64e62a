/** Refusals of calls that got no response from any target. */
import type { TargetUnreachable } from "@linkfall/errors";
import { failed, notRun, outcomeUnknown } from "@linkfall/refusals";
import type { Milliseconds, Refusal } from "@linkfall/types";
import type { PlainCall } from "./plain-call.js";

/** Retry-After if no target has asked for a back-off. */
const retryAfterMs: Milliseconds = 1_000;
/** Maximum number of targets that are tried for one call. */
export const maxAttempts = 3;

/** The refusal after an attempt without a response; undefined if the call may be retried on another target. */
export function refusalAfterLoss(
  call: PlainCall,
  failure: TargetUnreachable,
  attempt: number,
  now: Milliseconds,
): Refusal | undefined {
  const inTime = now < call.deadlineAt && !call.callerGone.aborted;
  const isRetrySafe = !failure.mayHaveArrived || call.repeatable;
  if (isRetrySafe && inTime && attempt < maxAttempts) return undefined;
  if (!failure.mayHaveArrived) return notRun("target_refused", failure.reason, retryAfterMs);
  if (!call.repeatable) return outcomeUnknown("target_lost", failure.reason);
  return failed("target_lost", failure.reason, retryAfterMs);
}

/**
 * The refusal if no target is left to try.
 *
 * @param lastFailure the failure of an earlier attempt
 * @param backOffMs time until the first target ends its back-off
 */
export function refusalWithoutTargets(
  call: PlainCall,
  lastFailure: TargetUnreachable | undefined,
  backOffMs: Milliseconds,
): Refusal {
  const returnInMs = Math.max(retryAfterMs, backOffMs);
  const reason = lastFailure?.reason ?? `no target of ${call.service.name} is open`;
  if (lastFailure?.mayHaveArrived) return failed("target_lost", reason, returnInMs);
  return notRun("no_replica", reason, returnInMs);
}
