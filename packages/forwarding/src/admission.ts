/** What decides whether a request joins the queue of its best target, or waits for a replica that is on its way. */
import type { Milliseconds } from "@linkfall/types";
import { type ForwardContext, timeLeftMs } from "./forward-context.js";
import type { ForwardedRequest } from "./forwarded-request.js";

/** Time until a further replica of the request's model is there, if one is on its way. */
export function expectedReplicaMs(
  context: ForwardContext,
  request: ForwardedRequest,
): Milliseconds | undefined {
  const { model, adapter } = request.terms;
  if (!request.service.engine || model === undefined || adapter !== undefined) return undefined;
  return context.expectedWeightsMs({ service: request.service.name, model });
}

/**
 * Longest queue that a request joins. A stream that begins late is worth little, and its prompt holds up
 * the streams that are at work there.
 */
export function maxQueueMs(context: ForwardContext, request: ForwardedRequest): Milliseconds {
  const { maxQueueShare: hopelessShare, maxQueueObjectives: queueObjectives } =
    context.forwardLimits;
  const maxQueueShareMs = timeLeftMs(context, request) * hopelessShare;
  const { streaming, objectiveMs } = request.route;
  return streaming ? Math.min(maxQueueShareMs, objectiveMs * queueObjectives) : maxQueueShareMs;
}
