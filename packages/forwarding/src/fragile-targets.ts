/** Requests to fragile targets: a place for each send, or a refusal with a time to return that spreads the callers. */
import type { HeldPlace, PlaceResult } from "@linkfall/fragile-targets";
import type { Milliseconds } from "@linkfall/types";
import { maxQueueMs } from "./admission.js";
import type { AttemptResult } from "./attempt.js";
import { isRejectionForRoom } from "./fragile-answers.js";
import { type ForwardContext, timeLeftMs } from "./forward-context.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import { canServe } from "./pick-target.js";
import { refuse, refusedStatus, type Step } from "./request-step.js";
import type { PickedTarget } from "./send-to-target.js";

/** Maximum time since the request's arrival in which it waits for a place, until sends to the target have arrived whose rejection it might not survive. */
const maxPlaceWaitMs: Milliseconds = 200;
/** Callers return spread over this time. */
const returnSpreadMs: Milliseconds = 1_000;

function canStillBeSent(
  context: ForwardContext,
  request: ForwardedRequest,
  { target }: PickedTarget,
): boolean {
  if (request.sink.isCallerGone()) return false;
  if (timeLeftMs(context, request) <= context.forwardLimits.minTimeLeftMs) return false;
  return canServe(context, request, target);
}

/** Acquires a place at the picked target if it is fragile; undefined if another target has to be picked. */
export async function acquirePlace(
  context: ForwardContext,
  request: ForwardedRequest,
  picked: PickedTarget,
): Promise<HeldPlace | undefined> {
  const { fragileTargets, clock } = context;
  const { id } = picked.target.listed;
  if (fragileTargets.limitOf(id) === undefined) return { target: id };
  const waitedMs = clock.now() - request.arrivedAt;
  const maxWaitMs = Math.min(maxPlaceWaitMs - waitedMs, maxQueueMs(context, request));
  // Another target may have a place at once.
  const waitMs = picked.alternatives > 0 ? 0 : maxWaitMs;
  const holdMs = Math.max(0, request.deadlineAt - clock.now());
  const place = await fragileTargets.acquirePlace(id, Math.max(0, waitMs), holdMs);
  // Asked again and again, targets without a place would keep the request until its deadline.
  if (!place) request.targetsWithoutPlace.add(id);
  if (!place || canStillBeSent(context, request, picked)) return place;
  fragileTargets.endPlace(place, "unused");
  return undefined;
}

/** The place of one send, which changes if the send is delayed. */
export interface SendPlace {
  current: HeldPlace;
  /** Whether the send has ended. */
  ended: boolean;
}

/** Called before the request is written: gets a new place if the send was delayed; false if there is none. */
export async function renewPlace(
  { fragileTargets, clock }: ForwardContext,
  request: ForwardedRequest,
  place: SendPlace,
): Promise<boolean> {
  if (fragileTargets.isCurrent(place.current)) return true;
  const { target } = place.current;
  fragileTargets.endPlace(place.current, "unused");
  place.current = { target };
  const holdMs = Math.max(0, request.deadlineAt - clock.now());
  const renewed = await fragileTargets.acquirePlace(
    target,
    Math.min(maxPlaceWaitMs, holdMs),
    holdMs,
  );
  if (renewed && !place.ended) place.current = renewed;
  else if (renewed) fragileTargets.endPlace(renewed, "unused");
  return renewed !== undefined;
}

function placeResultOf(result: AttemptResult): PlaceResult {
  // Failures of a relay, and of the search for one, say nothing about the target.
  if ("cause" in result && result.cause !== undefined) return "unused";
  switch (result.kind) {
    case "streamed":
      return "served";
    case "answered":
      return isRejectionForRoom(result.head.status, false) ? "rejected" : "served";
    case "not_run":
      return isRejectionForRoom(result.status, result.misdirected) ? "rejected" : "unused";
    case "lost":
    case "not_sent":
      return "lost";
    case "silent":
    case "gone":
      return "unused";
  }
}

/** Gives back the place of a send that has ended. */
export function endPlace(
  { fragileTargets }: ForwardContext,
  place: SendPlace,
  result: AttemptResult,
): void {
  place.ended = true;
  fragileTargets.endPlace(place.current, placeResultOf(result));
}

/** Refuses a request whose targets are fragile and have no place left. */
export function refuseWithoutPlace(context: ForwardContext, request: ForwardedRequest): Step {
  const { forwardLimits, metrics, random } = context;
  metrics.refusedByFragileTargets(request.service.name);
  const retryAfterMs = forwardLimits.defaultRetryAfterMs + random.nextFloat() * returnSpreadMs;
  return refuse(request, refusedStatus, "its fragile targets have no place left", retryAfterMs);
}
