/** Admission bounds: how long a queue a request may join, and when a replica being loaded will be ready. */
import type { Milliseconds } from "@linkfall/types";
import { type ForwardContext, timeLeftMs } from "./forward-context.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import { confinedVersion, isConfinedToVersion } from "./stream-binding.js";

/** Time until a replica that is being loaded for the request's model is ready; undefined if there is none. */
export function expectedReplicaMs(
  context: ForwardContext,
  request: ForwardedRequest,
): Milliseconds | undefined {
  const { model, adapter } = request.terms;
  if (!request.service.engine || model === undefined || adapter !== undefined) return undefined;
  const softwareVersion = confinedVersion(context, request);
  return context.expectedWeightsMs({ service: request.service.name, model, softwareVersion });
}

/** Whether something that takes `inMs` more happens before the queueing limit of the request, counted from its arrival. */
export function isWithinQueueLimit(
  context: ForwardContext,
  request: ForwardedRequest,
  inMs: Milliseconds,
): boolean {
  const waitedMs = context.clock.now() - request.arrivedAt;
  return waitedMs + inMs <= maxQueueMs(context, request);
}

/**
 * Maximum expected queueing time at which a request is still sent. The bound is tighter for streams: a stream
 * that starts late has missed its objective, and its prefill delays the other streams of the target.
 */
export function maxQueueMs(context: ForwardContext, request: ForwardedRequest): Milliseconds {
  const { maxQueueShare, maxQueueObjectives } = context.forwardLimits;
  const maxQueueShareMs = timeLeftMs(context, request) * maxQueueShare;
  const { streaming, objectiveMs } = request.route;
  // A stream that is taken up has begun in time; it has fewer targets than a new one, and no other chance.
  if (isConfinedToVersion(context, request)) return maxQueueShareMs;
  return streaming ? Math.min(maxQueueShareMs, objectiveMs * maxQueueObjectives) : maxQueueShareMs;
}
