/** The way of one request: pick a target or wait for weights, send, and go on while that may help. */
import type { TargetBelief } from "@linkfall/fleet";
import { sleep } from "@linkfall/kernel";
import type { RequestDemand } from "@linkfall/model-demand";
import type { Milliseconds } from "@linkfall/types";
import { longestQueueMs, replicaComingMs } from "./admission.js";
import type { AttemptEnd } from "./attempt.js";
import { mayGoOnAfterLoss, noteServed, refuseGuilty } from "./crash-check.js";
import { type ForwardContext, timeLeft } from "./forward-context.js";
import { type ForwardedRequest, type RequestEnd, wantedOf } from "./forwarded-request.js";
import { nextReplicaMs, waitForWeights } from "./hold-for-weights.js";
import { pickTarget, probablyUnread } from "./pick.js";
import { takesPermit, whenLimited } from "./limited-targets.js";
import { failedStatus, type PickedTarget, sendToTarget } from "./send-to-target.js";
import {
  ended,
  lateStatus,
  lostStatus,
  on,
  outOfTime,
  refuse,
  refusedStatus,
  type Step,
} from "./request-step.js";

const comeBackElsewhereMs: Milliseconds = 0;

/** Whether the request may be sent once more after a send that may have run. */
function mayRepeat(context: ForwardContext, request: ForwardedRequest): boolean {
  const { route } = request;
  if (route.repeatability !== "repeatable" || request.runs >= route.maxAttempts) return false;
  return timeLeft(context, request) > context.forwardLimits.leastTimeMs;
}

function takeRetry(context: ForwardContext, request: ForwardedRequest): boolean {
  const granted = context.budget.take(request.service.name, context.boxes());
  context.metrics.retry(request.service.name, granted);
  return granted;
}

function repeatOr(
  context: ForwardContext,
  request: ForwardedRequest,
  status: number,
  reason: string,
): Step {
  if (mayRepeat(context, request) && takeRetry(context, request)) return on;
  return refuse(request, status, reason);
}

async function afterLoss(
  context: ForwardContext,
  request: ForwardedRequest,
  target: TargetBelief,
  reason: string,
): Promise<Step> {
  request.runs += 1;
  // Each further target that it ends takes all requests at work there with it.
  const mayGoOn = await mayGoOnAfterLoss(context, request, target);
  return mayGoOn
    ? repeatOr(context, request, lostStatus, reason)
    : refuse(request, lostStatus, reason);
}

function afterSilence(context: ForwardContext, request: ForwardedRequest): Step {
  request.runs += 1;
  return repeatOr(context, request, lateStatus, "no answer in time");
}

function passOn(
  context: ForwardContext,
  request: ForwardedRequest,
  end: Extract<AttemptEnd, { kind: "answered" }>,
): Step {
  request.runs += 1;
  const { head, body } = end;
  const worthRetry = head.status >= failedStatus && mayRepeat(context, request);
  if (worthRetry && takeRetry(context, request)) return on;
  if (head.status < failedStatus) noteServed(context, request);
  request.sink.whole(head.status, context.codec.toCallerHeaders(head.headers), body);
  return ended({ outcome: "answered", status: head.status });
}

async function afterSend(
  context: ForwardContext,
  request: ForwardedRequest,
  target: TargetBelief,
  end: AttemptEnd,
): Promise<Step> {
  switch (end.kind) {
    case "answered":
      return passOn(context, request, end);
    case "streamed":
      noteServed(context, request);
      request.sink.end();
      return ended({ outcome: "streamed" });
    case "gone":
      return ended({ outcome: "gone" });
    case "lost":
      return afterLoss(context, request, target, end.reason);
    case "silent":
      return afterSilence(context, request);
    case "not_sent":
      return on;
    case "not_run":
      if (takeRetry(context, request)) return on;
      return refuse(request, refusedStatus, "retry budget", context.forwardLimits.comeBackMs);
  }
}

/** With every target tried, those that failed may have recovered after a pause. */
async function tryAgain(context: ForwardContext, request: ForwardedRequest): Promise<Step> {
  const { clock, forwardLimits } = context;
  if (timeLeft(context, request) < forwardLimits.againMs + forwardLimits.leastTimeMs) {
    return refuse(request, refusedStatus, "every target was tried", forwardLimits.comeBackMs);
  }
  await sleep(clock, forwardLimits.againMs);
  request.tried.clear();
  return on;
}

async function sendPicked(
  context: ForwardContext,
  request: ForwardedRequest,
  picked: PickedTarget,
): Promise<Step> {
  const { target, choice, others } = picked;
  context.logger.event("targetChosen", {
    request: request.terms.id,
    target: target.listed.id,
    expectedMs: Math.round(choice.expectedMs),
    own: target.own.inFlight,
    ofOthers: target.others.inFlight,
    alternatives: others,
    send: request.sends + 1,
  });
  context.lastTries.begins(request, target.listed.id);
  const end = await sendToTarget(context, request, picked);
  context.lastTries.ends(request, target.listed.id);
  return afterSend(context, request, target, end);
}

/** Sends the request, holds it for a replica that will answer sooner, or refuses what is hopeless. */
async function admit(
  context: ForwardContext,
  request: ForwardedRequest,
  picked: PickedTarget,
): Promise<Step> {
  const { forwardLimits } = context;
  const { expectedMs } = picked.choice;
  const coming = replicaComingMs(context, request);
  if (coming !== undefined && coming + forwardLimits.replicaGainMs < expectedMs) {
    await context.waiter.next(coming + forwardLimits.replicaGainMs, request.sink);
    return on;
  }
  if (expectedMs > longestQueueMs(context, request)) {
    const comeBackMs = Math.max(expectedMs, coming ?? 0, nextReplicaMs(context, request));
    return refuse(request, refusedStatus, "the queue is too long", comeBackMs);
  }
  if (!(await takesPermit(context, request, picked))) return on;
  return sendPicked(context, request, picked);
}

async function step(context: ForwardContext, request: ForwardedRequest): Promise<Step> {
  if (request.sink.gone()) return ended({ outcome: "gone" });
  if (timeLeft(context, request) <= context.forwardLimits.leastTimeMs) return outOfTime(request);
  // What could not end before the stop would be cut off by it.
  if (!request.sink.begun() && !context.takes(request.route)) {
    return refuse(request, refusedStatus, "stopping", comeBackElsewhereMs);
  }
  const { forwardLimits } = context;
  if (request.sends >= forwardLimits.mostSends) {
    return refuse(request, refusedStatus, "too many sends", forwardLimits.comeBackMs);
  }
  const pick = pickTarget(context, request);
  switch (pick.kind) {
    case "target":
      return admit(context, request, pick);
    case "weights_missing":
      return waitForWeights(context, request, pick.adapterOnly);
    case "limited":
      return whenLimited(context, request, pick.targets);
    case "no_connection":
      return refuse(request, refusedStatus, "no connection left", forwardLimits.comeBackMs);
    case "all_tried":
      return tryAgain(context, request);
    case "no_target":
      return refuse(request, refusedStatus, "no target", forwardLimits.comeBackMs);
  }
}

/** What the request asks of an engine, as far as that is known on its arrival. */
function demandOf(
  { costs }: ForwardContext,
  { route, service, terms }: ForwardedRequest,
): RequestDemand {
  const { perTokenMs } = costs.of(service.name, "");
  return { objectiveMs: route.objectiveMs, readingMs: probablyUnread(terms) * perTokenMs };
}

/** Takes a request to its end; the caller has its final answer when this resolves. */
export async function forwardRequest(
  context: ForwardContext,
  request: ForwardedRequest,
): Promise<RequestEnd> {
  const { terms, service } = request;
  context.budget.request(service.name);
  const guilty = refuseGuilty(context, request);
  if (guilty?.go === "end") return guilty.end;
  const asksForWeights = terms.model !== undefined && service.engine !== undefined;
  const endDemand = asksForWeights
    ? context.demand.begins(wantedOf(request), demandOf(context, request))
    : () => undefined;
  let taken = await step(context, request);
  while (taken.go === "on") taken = await step(context, request);
  endDemand();
  return taken.end;
}
