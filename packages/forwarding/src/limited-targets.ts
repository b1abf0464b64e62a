/** Requests to rate-limited targets: acquires a permit for each send, or refuses with the time of the next permit. */
import type { TargetView } from "@linkfall/fleet";
import { expectedReplicaMs, isWithinQueueLimit } from "./admission.js";
import { type ForwardContext, timeLeftMs } from "./forward-context.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import { canServe } from "./pick-target.js";
import { continueRequest, refuse, refusedStatus, type Step } from "./request-step.js";
import type { PickedTarget } from "./send-to-target.js";

function canStillBeSent(
  context: ForwardContext,
  request: ForwardedRequest,
  target: TargetView,
): boolean {
  if (request.sink.isCallerGone()) return false;
  if (timeLeftMs(context, request) <= context.forwardLimits.minTimeLeftMs) return false;
  return canServe(context, request, target);
}

/** Acquires a permit for the picked target if it needs one; false if another target has to be picked. */
export async function acquirePermit(
  context: ForwardContext,
  request: ForwardedRequest,
  { target, permitWaitMs }: PickedTarget,
): Promise<boolean> {
  if (permitWaitMs === undefined) return true;
  const acquired = await context.targetLimits.acquirePermit(target.listed.id, permitWaitMs);
  // The target may have been removed while the request waited for the permit.
  return acquired && canStillBeSent(context, request, target);
}

/** Waits for a replica that is being loaded, or refuses the request until a permit is available. */
export async function waitOrRefuseLimited(
  context: ForwardContext,
  request: ForwardedRequest,
  targets: readonly string[],
): Promise<Step> {
  const { targetLimits, forwardLimits, metrics, changeWaiter } = context;
  const replicaMs = expectedReplicaMs(context, request);
  if (replicaMs !== undefined && isWithinQueueLimit(context, request, replicaMs)) {
    await changeWaiter.wait(replicaMs + forwardLimits.minReplicaGainMs, request.sink);
    return continueRequest;
  }
  metrics.refusedByLimit(request.service.name);
  const permitMs = targetLimits.retryAfterMs(targets);
  const retryAfterMs = Math.max(
    forwardLimits.defaultRetryAfterMs,
    Math.min(permitMs, replicaMs ?? Infinity),
  );
  return refuse(request, refusedStatus, "the limits of its targets are used up", retryAfterMs);
}
