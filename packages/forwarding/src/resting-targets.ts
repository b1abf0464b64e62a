/** Requests whose targets all rest: a few wait for the end of the rest, the others are refused with a time to return. */
import type { Milliseconds } from "@linkfall/types";
import { expectedReplicaMs, isWithinQueueLimit } from "./admission.js";
import type { ForwardContext } from "./forward-context.js";
import { type ForwardedRequest, weightsKey } from "./forwarded-request.js";
import type { PickResult } from "./pick-target.js";
import { continueRequest, refuse, refusedStatus, type Step } from "./request-step.js";

/** Requests that wait for resting targets; each keeps its place until it is sent or has ended. */
export interface RestQueue {
  /** Joins the requests that wait for the same targets, if fewer than `places` do or if it has a place. */
  tryJoin(request: ForwardedRequest, places: number): boolean;
  leave(request: ForwardedRequest): void;
}

/** Requests that wait for the same targets have the same key. */
const queueKey = ({ service, terms }: ForwardedRequest) => `${service.name} ${weightsKey(terms)}`;

/** Creates a queue without requests. */
export function createRestQueue(): RestQueue {
  const waitingByKey = new Map<string, Set<ForwardedRequest>>();
  return {
    tryJoin(request, places) {
      const key = queueKey(request);
      const waiting = waitingByKey.get(key) ?? new Set();
      if (!waiting.has(request) && waiting.size >= places) return false;
      waitingByKey.set(key, waiting.add(request));
      return true;
    },
    leave(request) {
      const key = queueKey(request);
      const waiting = waitingByKey.get(key);
      waiting?.delete(request);
      if (waiting?.size === 0) waitingByKey.delete(key);
    },
  };
}

/** Callers return spread over this time after the end of a rest. */
const returnSpreadMs: Milliseconds = 500;

/** Waits until a target accepts the request, or refuses it at once if that is too late or all places are taken. */
export async function waitOrRefuseResting(
  context: ForwardContext,
  request: ForwardedRequest,
  { acceptsInMs, places }: Extract<PickResult, { kind: "resting" }>,
): Promise<Step> {
  const { changeWaiter, metrics, random, restQueue } = context;
  const servableInMs = Math.min(acceptsInMs, expectedReplicaMs(context, request) ?? Infinity);
  if (isWithinQueueLimit(context, request, servableInMs) && restQueue.tryJoin(request, places)) {
    await changeWaiter.wait(servableInMs, request.sink);
    return continueRequest;
  }
  metrics.refusedByRest(request.service.name);
  const retryAfterMs = servableInMs + random.nextFloat() * returnSpreadMs;
  return refuse(request, refusedStatus, "its targets have asked for a rest", retryAfterMs);
}
