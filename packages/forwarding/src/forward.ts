/** The way of one request: pick a target or wait for weights, send, and go on while that may help. */
import { type Random, sleep } from "@linkfall/kernel";
import type { DemandMeter, Wanted } from "@linkfall/model-demand";
import type { RetryBudget } from "@linkfall/retry-budget";
import type { Milliseconds, Route } from "@linkfall/types";
import { type AttemptEnd, ownHeaders } from "./attempt.js";
import { type ForwardedRequest, type RequestEnd, wantedOf } from "./forwarded-request.js";
import { pickTarget, probablyUnread } from "./pick.js";
import { type PickedTarget, type SendContext, sendToTarget } from "./send-to-target.js";
import type { ChangeWaiter } from "./wait-for-change.js";

/** Limits of the whole way. */
export interface ForwardLimits {
  /** With less time left than this a send cannot be answered. */
  readonly leastTimeMs: Milliseconds;
  /** Most sends of one request, whatever they came to. */
  readonly mostSends: number;
  /** A replica that is on its way is waited for where it answers this much sooner. */
  readonly replicaGainMs: Milliseconds;
  /** A request is refused where its answer would begin after this share of the time left. */
  readonly hopelessShare: number;
  /** A stream is refused where it would begin later than so many objectives from now. */
  readonly queueObjectives: number;
  /** Pause before targets that failed are tried again. */
  readonly againMs: Milliseconds;
  /** When a refused caller may come back, where nothing better is known. */
  readonly comeBackMs: Milliseconds;
}

export interface ForwardContext extends SendContext {
  readonly demand: DemandMeter;
  readonly random: Random;
  readonly budget: RetryBudget;
  readonly waiter: ChangeWaiter;
  readonly forwardLimits: ForwardLimits;
  /** This box's failure domain. */
  readonly domain: string;
  /** Tells the box that gives orders at once of a wait for weights that it may not know of. */
  tellOfWait(): void;
  /** Whether a request of the route that is sent now can still end before a planned stop of the box. */
  takes(route: Route): boolean;
  /** Boxes that share the retry budget. */
  boxes(): number;
  /** Time until weights are expected to be there; undefined when nothing is known. */
  expectedWeightsMs(wanted: Wanted): Milliseconds | undefined;
}

type Step = { readonly go: "on" } | { readonly go: "end"; readonly end: RequestEnd };

const on: Step = { go: "on" };
const ended = (end: RequestEnd): Step => ({ go: "end", end });

/** A held request looks at least this often whether its box is about to stop. */
const lookAgainMs: Milliseconds = 250;
const comeBackElsewhereMs: Milliseconds = 0;

const refusedStatus = 503;
const lostStatus = 502;
const lateStatus = 504;

function refuse(
  request: ForwardedRequest,
  status: number,
  reason: string,
  retryAfterMs?: Milliseconds,
): Step {
  const { sink } = request;
  if (sink.begun()) {
    sink.cut();
    return ended({ outcome: "cut", reason });
  }
  // A request of which a run may have begun must not be told that it did not run.
  const honest = status === refusedStatus && request.runs > 0 ? lostStatus : status;
  const comeBackMs = honest === refusedStatus ? retryAfterMs : undefined;
  const body = Buffer.from(`${JSON.stringify({ error: reason })}\n`);
  sink.whole(honest, ownHeaders(comeBackMs), body);
  return ended({ outcome: "refused", status: honest, reason, retryAfterMs: comeBackMs });
}

/** Time in which a send may still bring the caller its answer, or the next part of it. */
function timeLeft(context: ForwardContext, request: ForwardedRequest): Milliseconds {
  const until = request.sink.begun() ? request.endsAt : request.awaitedUntil;
  return until - context.clock.now();
}

function outOfTime(request: ForwardedRequest): Step {
  return request.runs > 0
    ? refuse(request, lateStatus, "no answer in time")
    : refuse(request, refusedStatus, "no target in time", 0);
}

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

function afterLoss(
  context: ForwardContext,
  request: ForwardedRequest,
  status: number,
  reason: string,
): Step {
  request.runs += 1;
  if (mayRepeat(context, request) && takeRetry(context, request)) return on;
  return refuse(request, status, reason);
}

function passOn(
  context: ForwardContext,
  request: ForwardedRequest,
  end: Extract<AttemptEnd, { kind: "answered" }>,
): Step {
  request.runs += 1;
  const { head, body } = end;
  const worthRetry = head.status >= 500 && mayRepeat(context, request);
  if (worthRetry && takeRetry(context, request)) return on;
  request.sink.whole(head.status, context.codec.forCaller(head.headers), body);
  return ended({ outcome: "answered", status: head.status });
}

function afterSend(context: ForwardContext, request: ForwardedRequest, end: AttemptEnd): Step {
  switch (end.kind) {
    case "answered":
      return passOn(context, request, end);
    case "streamed":
      request.sink.end();
      return ended({ outcome: "streamed" });
    case "gone":
      return ended({ outcome: "gone" });
    case "lost":
      return afterLoss(context, request, lostStatus, end.reason);
    case "silent":
      return afterLoss(context, request, lateStatus, "no answer in time");
    case "not_sent":
      return on;
    case "not_run":
      if (takeRetry(context, request)) return on;
      return refuse(request, refusedStatus, "retry budget", context.forwardLimits.comeBackMs);
  }
}

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

/** Whether the request's objective has passed while nothing was known of its weights. */
function hopedLongEnough(context: ForwardContext, request: ForwardedRequest): boolean {
  const { arrivedAt, route, sink } = request;
  return !sink.begun() && context.clock.now() - arrivedAt >= route.objectiveMs;
}

/** Waits for the fleet to change, as long as that may still help the request. */
async function waitForWeights(
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
  // Without a load on its way a hold is a hope: past the objective the caller does better elsewhere.
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
  return afterSend(context, request, await sendToTarget(context, request, picked));
}

/** The soonest that a replica which nobody has ordered yet could serve the request. */
function nextReplicaMs({ forwardLimits }: ForwardContext, request: ForwardedRequest): Milliseconds {
  const { model = "" } = request.terms;
  const loadMs = request.service.engine?.models.get(model)?.fromDiskMs ?? 0;
  return Math.max(forwardLimits.comeBackMs, loadMs);
}

/** Time until a further replica of the request's model is there, if one is on its way. */
function replicaComingMs(
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
function longestQueueMs(context: ForwardContext, request: ForwardedRequest): Milliseconds {
  const { hopelessShare, queueObjectives } = context.forwardLimits;
  const hopelessMs = timeLeft(context, request) * hopelessShare;
  const { streaming, objectiveMs } = request.route;
  return streaming ? Math.min(hopelessMs, objectiveMs * queueObjectives) : hopelessMs;
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
  return sendPicked(context, request, picked);
}

async function step(context: ForwardContext, request: ForwardedRequest): Promise<Step> {
  if (request.sink.gone()) return ended({ outcome: "gone" });
  if (timeLeft(context, request) <= context.forwardLimits.leastTimeMs) return outOfTime(request);
  // What could not end before the stop would be cut off by it.
  if (!request.sink.begun() && !context.takes(request.route)) {
    return refuse(request, refusedStatus, "stopping", comeBackElsewhereMs);
  }
  const { forwardLimits, fleet, random, domain } = context;
  if (request.sends >= forwardLimits.mostSends) {
    return refuse(request, refusedStatus, "too many sends", forwardLimits.comeBackMs);
  }
  const pick = pickTarget(fleet, request, context, domain, random, context.clock.now());
  switch (pick.kind) {
    case "target":
      return admit(context, request, pick);
    case "weights_missing":
      return waitForWeights(context, request, pick.adapterOnly);
    case "all_tried":
      return tryAgain(context, request);
    case "no_target":
      return refuse(request, refusedStatus, "no target", forwardLimits.comeBackMs);
  }
}

/** What the request asks of an engine, as far as that is known on its arrival. */
function demandOf({ costs }: ForwardContext, { route, service, terms }: ForwardedRequest) {
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
  const asksForWeights = terms.model !== undefined && service.engine !== undefined;
  const endDemand = asksForWeights
    ? context.demand.begins(wantedOf(request), demandOf(context, request))
    : () => undefined;
  let taken = await step(context, request);
  while (taken.go === "on") taken = await step(context, request);
  endDemand();
  return taken.end;
}
