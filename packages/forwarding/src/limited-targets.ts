/** Requests whose targets have named limits: a permit for each send, or a refusal with the time of the next one. */
import type { TargetView } from "@linkfall/fleet";
import type { Milliseconds } from "@linkfall/types";
import { maxQueueMs, expectedReplicaMs } from "./admission.js";
import { type ForwardContext, timeLeftMs } from "./forward-context.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import { canServe } from "./pick.js";
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

/** Takes a permit at the picked target where it needs one; false where the request has to be looked at anew. */
export async function acquirePermit(
  context: ForwardContext,
  request: ForwardedRequest,
  { target, permitWithinMs }: PickedTarget,
): Promise<boolean> {
  if (permitWithinMs === undefined) return true;
  const taken = await context.targetLimits.acquirePermit(target.listed.id, permitWithinMs);
  // The target may have left while the request waited for its permit.
  return taken && canStillBeSent(context, request, target);
}

/** Whether a further replica comes before the request would have waited too long. */
function isReplicaInTime(
  context: ForwardContext,
  request: ForwardedRequest,
  replicaMs: Milliseconds,
): boolean {
  const waitedMs = context.clock.now() - request.arrivedAt;
  return waitedMs + replicaMs <= maxQueueMs(context, request);
}

/** Waits for a further replica that is on its way, or refuses the request until a permit is due. */
export async function waitOrRefuseLimited(
  context: ForwardContext,
  request: ForwardedRequest,
  targets: readonly string[],
): Promise<Step> {
  const { targetLimits, forwardLimits, metrics, changeWaiter: waiter } = context;
  const replicaMs = expectedReplicaMs(context, request);
  if (replicaMs !== undefined && isReplicaInTime(context, request, replicaMs)) {
    await waiter.wait(replicaMs + forwardLimits.minReplicaGainMs, request.sink);
    return continueRequest;
  }
  metrics.refusedByLimit(request.service.name);
  const permitMs = targetLimits.retryAfterMs(targets);
  const comeBackMs = Math.max(
    forwardLimits.defaultRetryAfterMs,
    Math.min(permitMs, replicaMs ?? Infinity),
  );
  return refuse(request, refusedStatus, "the limits of its targets are used up", comeBackMs);
}
