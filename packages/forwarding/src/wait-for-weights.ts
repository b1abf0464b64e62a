/** Holds a request until its weights are loaded, as long as it can still be served in time. */
import type { Milliseconds } from "@linkfall/types";
import { type ForwardContext, timeLeftMs } from "./forward-context.js";
import { type ForwardedRequest, requestedWeights } from "./forwarded-request.js";
import { confinedVersion } from "./stream-binding.js";
import {
  continueRequest,
  endRequest,
  refuse,
  refusedStatus,
  refuseTimedOut,
  type Step,
} from "./request-step.js";

/** Logs a hold and reports its demand, once per request. */
function recordHold(
  context: ForwardContext,
  request: ForwardedRequest,
  expectedMs: Milliseconds | undefined,
): void {
  if (request.heldSince !== undefined) return;
  request.heldSince = context.clock.now();
  // If a load is expected, the scheduler already knows of the demand.
  if (expectedMs === undefined) context.announceDemand();
  context.logger.event("requestHeld", {
    request: request.terms.id,
    model: request.terms.model,
    adapter: request.terms.adapter,
    expectedMs,
  });
}

/** Minimum time until a replica that is not being loaded yet could serve the request. */
export function minReplicaLoadMs(
  { forwardLimits }: ForwardContext,
  request: ForwardedRequest,
): Milliseconds {
  const { model = "" } = request.terms;
  const loadMs = request.service.engine?.models.get(model)?.loadFromDiskMs ?? 0;
  return Math.max(forwardLimits.defaultRetryAfterMs, loadMs);
}

/** Whether the latency objective of the request has passed before its response started. */
function hasObjectivePassed(context: ForwardContext, request: ForwardedRequest): boolean {
  const { arrivedAt, route, sink } = request;
  return !sink.headersSent() && context.clock.now() - arrivedAt >= route.objectiveMs;
}

/** Whether the lease holder has planned loads since the request began to wait. */
function isLoadDecided(context: ForwardContext, { heldSince }: ForwardedRequest): boolean {
  return heldSince !== undefined && context.loadsDecidedAt() >= heldSince;
}

/** Minimum time until the weights can be loaded, from the fastest source. */
function fastestLoadMs({ service, terms }: ForwardedRequest): Milliseconds {
  return service.engine?.models.get(terms.model ?? "")?.loadFromMemoryMs ?? 0;
}

/** Returns why a request without a load in progress should not wait any longer; undefined if it should. */
function reasonToStopWaiting(
  context: ForwardContext,
  request: ForwardedRequest,
  maxWaitMs: Milliseconds,
  onlyAdapterMissing: boolean,
): string | undefined {
  if (isLoadDecided(context, request)) {
    // Without a load in progress, waiting rarely helps: of 71 requests that went on waiting, 2 were served.
    return hasObjectivePassed(context, request) ? "no weights on their way" : undefined;
  }
  // While the lease changes hands or its holder is slow, nobody has decided against a load yet.
  const neededMs = onlyAdapterMissing ? 0 : fastestLoadMs(request);
  return maxWaitMs < neededMs ? "weights cannot be loaded in time" : undefined;
}

/** Waits for a change of the fleet, or refuses the request if its weights cannot be loaded in time. */
export async function waitForWeights(
  context: ForwardContext,
  request: ForwardedRequest,
  onlyAdapterMissing: boolean,
): Promise<Step> {
  const { forwardLimits } = context;
  const softwareVersion = confinedVersion(context, request);
  const weights = { ...requestedWeights(request), softwareVersion };
  // Adapters load quickly on existing replicas; the load time of a further replica does not apply to them.
  const expectedMs = onlyAdapterMissing ? undefined : context.expectedWeightsMs(weights);
  const maxWaitMs = timeLeftMs(context, request) - forwardLimits.minTimeLeftMs;
  if (expectedMs !== undefined && expectedMs > maxWaitMs) {
    return refuse(request, refusedStatus, "weights will not be there in time", expectedMs);
  }
  if (maxWaitMs <= 0) return refuseTimedOut(request);
  if (expectedMs === undefined) {
    const reason = reasonToStopWaiting(context, request, maxWaitMs, onlyAdapterMissing);
    const retryAfterMs = minReplicaLoadMs(context, request);
    if (reason !== undefined) return refuse(request, refusedStatus, reason, retryAfterMs);
  }
  const endWait = context.demand.recordWait(weights);
  recordHold(context, request, expectedMs);
  const startedAt = context.clock.now();
  await context.changeWaiter.wait(maxWaitMs, request.sink);
  endWait();
  context.metrics.weightsWait(context.clock.now() - startedAt);
  return request.sink.isCallerGone() ? endRequest({ outcome: "gone" }) : continueRequest;
}
