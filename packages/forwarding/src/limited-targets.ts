/** Requests whose targets have named limits: a permit for each send, or a refusal with the time of the next one. */
import type { TargetView } from "@linkfall/fleet";
import type { Milliseconds } from "@linkfall/types";
import { longestQueueMs, replicaComingMs } from "./admission.js";
import { type ForwardContext, timeLeft } from "./forward-context.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import { isServing } from "./pick.js";
import { on, refuse, refusedStatus, type Step } from "./request-step.js";
import type { PickedTarget } from "./send-to-target.js";

function mayStillBeSent(
  context: ForwardContext,
  request: ForwardedRequest,
  target: TargetView,
): boolean {
  if (request.sink.gone()) return false;
  if (timeLeft(context, request) <= context.forwardLimits.leastTimeMs) return false;
  return isServing(context, request, target);
}

/** Takes a permit at the picked target where it needs one; false where the request has to be looked at anew. */
export async function takesPermit(
  context: ForwardContext,
  request: ForwardedRequest,
  { target, permitWithinMs }: PickedTarget,
): Promise<boolean> {
  if (permitWithinMs === undefined) return true;
  const taken = await context.targetLimits.acquirePermit(target.listed.id, permitWithinMs);
  // The target may have left while the request waited for its permit.
  return taken && mayStillBeSent(context, request, target);
}

/** Whether a further replica comes before the request would have waited too long. */
function replicaComesInTime(
  context: ForwardContext,
  request: ForwardedRequest,
  comingMs: Milliseconds,
): boolean {
  const waitedMs = context.clock.now() - request.arrivedAt;
  return waitedMs + comingMs <= longestQueueMs(context, request);
}

/** Waits for a further replica that is on its way, or refuses the request until a permit is due. */
export async function whenLimited(
  context: ForwardContext,
  request: ForwardedRequest,
  targets: readonly string[],
): Promise<Step> {
  const { targetLimits, forwardLimits, metrics, waiter } = context;
  const coming = replicaComingMs(context, request);
  if (coming !== undefined && replicaComesInTime(context, request, coming)) {
    await waiter.next(coming + forwardLimits.replicaGainMs, request.sink);
    return on;
  }
  metrics.refusedByLimit(request.service.name);
  const permitMs = targetLimits.retryAfterMs(targets);
  const comeBackMs = Math.max(forwardLimits.comeBackMs, Math.min(permitMs, coming ?? Infinity));
  return refuse(request, refusedStatus, "the limits of its targets are used up", comeBackMs);
}
