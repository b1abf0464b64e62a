/** Holds a request until its weights are there, as long as that may still help its caller. */
import type { Milliseconds } from "@linkfall/types";
import { type ForwardContext, timeLeftMs } from "./forward-context.js";
import { type ForwardedRequest, requestedWeights } from "./forwarded-request.js";
import {
  endRequest,
  continueRequest,
  refuseTimedOut,
  refuse,
  refusedStatus,
  type Step,
} from "./request-step.js";

/** A held request looks at least this often whether its box is about to stop. */
const stopCheckIntervalMs: Milliseconds = 250;

/** Logs and tells of a hold once: each change of the fleet may only confirm it. */
function recordHold(
  context: ForwardContext,
  request: ForwardedRequest,
  expectedMs: Milliseconds | undefined,
): void {
  if (request.waitedForWeights) return;
  request.waitedForWeights = true;
  // A load that is expected has been ordered: the next heartbeat tells of those who wait for it.
  if (expectedMs === undefined) context.announceDemand();
  context.logger.event("requestHeld", {
    request: request.terms.id,
    model: request.terms.model,
    adapter: request.terms.adapter,
    expectedMs,
  });
}

/** The soonest that a replica which nobody has ordered yet could serve the request. */
export function minReplicaLoadMs(
  { forwardLimits }: ForwardContext,
  request: ForwardedRequest,
): Milliseconds {
  const { model = "" } = request.terms;
  const loadMs = request.service.engine?.models.get(model)?.loadFromDiskMs ?? 0;
  return Math.max(forwardLimits.defaultRetryAfterMs, loadMs);
}

/** Whether the request's objective has passed while nothing was known of its weights. */
function hasObjectivePassed(context: ForwardContext, request: ForwardedRequest): boolean {
  const { arrivedAt, route, sink } = request;
  return !sink.headersSent() && context.clock.now() - arrivedAt >= route.objectiveMs;
}

/** Waits for the fleet to change, as long as that may still help the request. */
export async function waitForWeights(
  context: ForwardContext,
  request: ForwardedRequest,
  adapterOnly: boolean,
): Promise<Step> {
  const { forwardLimits } = context;
  const wanted = requestedWeights(request);
  // A further replica on its way says nothing of an adapter of the replicas there: adapters come soon.
  const expectedMs = adapterOnly ? undefined : context.expectedWeightsMs(wanted);
  const maxWaitMs = timeLeftMs(context, request) - forwardLimits.minTimeLeftMs;
  if (expectedMs !== undefined && expectedMs > maxWaitMs) {
    return refuse(request, refusedStatus, "weights will not be there in time", expectedMs);
  }
  // Without a load on its way a hold is a hope: of 71 that were held on, 2 were served.
  if (expectedMs === undefined && hasObjectivePassed(context, request)) {
    return refuse(
      request,
      refusedStatus,
      "no weights on their way",
      minReplicaLoadMs(context, request),
    );
  }
  if (maxWaitMs <= 0) return refuseTimedOut(request);
  const endWait = context.demand.recordWait(wanted);
  recordHold(context, request, expectedMs);
  const startedAt = context.clock.now();
  await context.changeWaiter.wait(Math.min(maxWaitMs, stopCheckIntervalMs), request.sink);
  endWait();
  context.metrics.weightsWait(context.clock.now() - startedAt);
  return request.sink.isCallerGone() ? endRequest({ outcome: "gone" }) : continueRequest;
}
