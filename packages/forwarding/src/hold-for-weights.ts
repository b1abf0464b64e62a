/** Holds a request until its weights are there, as long as that may still help its caller. */
import type { Milliseconds } from "@linkfall/types";
import { type ForwardContext, timeLeft } from "./forward-context.js";
import { type ForwardedRequest, wantedOf } from "./forwarded-request.js";
import { ended, on, outOfTime, refuse, refusedStatus, type Step } from "./request-step.js";

/** A held request looks at least this often whether its box is about to stop. */
const lookAgainMs: Milliseconds = 250;

/** Logs and tells of a hold once: each change of the fleet may only confirm it. */
function noteHeld(
  context: ForwardContext,
  request: ForwardedRequest,
  expectedMs: Milliseconds | undefined,
): void {
  if (request.held) return;
  request.held = true;
  // A load that is expected has been ordered: the next heartbeat tells of those who wait for it.
  if (expectedMs === undefined) context.tellOfWait();
  context.logger.event("requestHeld", {
    request: request.terms.id,
    model: request.terms.model,
    adapter: request.terms.adapter,
    expectedMs,
  });
}

/** The soonest that a replica which nobody has ordered yet could serve the request. */
export function nextReplicaMs(
  { forwardLimits }: ForwardContext,
  request: ForwardedRequest,
): Milliseconds {
  const { model = "" } = request.terms;
  const loadMs = request.service.engine?.models.get(model)?.loadFromDiskMs ?? 0;
  return Math.max(forwardLimits.comeBackMs, loadMs);
}

/** Whether the request's objective has passed while nothing was known of its weights. */
function hopedLongEnough(context: ForwardContext, request: ForwardedRequest): boolean {
  const { arrivedAt, route, sink } = request;
  return !sink.begun() && context.clock.now() - arrivedAt >= route.objectiveMs;
}

/** Waits for the fleet to change, as long as that may still help the request. */
export async function waitForWeights(
  context: ForwardContext,
  request: ForwardedRequest,
  adapterOnly: boolean,
): Promise<Step> {
  const { forwardLimits } = context;
  const wanted = wantedOf(request);
  // A further replica on its way says nothing of an adapter of the replicas there: adapters come soon.
  const expected = adapterOnly ? undefined : context.expectedWeightsMs(wanted);
  const left = timeLeft(context, request) - forwardLimits.leastTimeMs;
  if (expected !== undefined && expected > left) {
    return refuse(request, refusedStatus, "weights will not be there in time", expected);
  }
  // Without a load on its way a hold is a hope: of 71 that were held on, 2 were served.
  if (expected === undefined && hopedLongEnough(context, request)) {
    return refuse(
      request,
      refusedStatus,
      "no weights on their way",
      nextReplicaMs(context, request),
    );
  }
  if (left <= 0) return outOfTime(request);
  const endWait = context.demand.waits(wanted);
  noteHeld(context, request, expected);
  const from = context.clock.now();
  await context.waiter.next(Math.min(left, lookAgainMs), request.sink);
  endWait();
  context.metrics.waited(context.clock.now() - from);
  return request.sink.gone() ? ended({ outcome: "gone" }) : on;
}
