/** One send of a request to a picked target, with what it teaches about the target. */
import type { Fleet, TargetBelief, TargetLoad } from "@linkfall/fleet";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { ResponseMetadata, RequestCodec } from "@linkfall/ports";
import type { TargetLimits } from "@linkfall/target-limits";
import type { Milliseconds } from "@linkfall/types";
import { type AttemptEnd, sendAttempt } from "./attempt.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import { type ForwardedRequest, weightsOf } from "./forwarded-request.js";
import type { Pick, TargetMeters } from "./pick.js";

/** Limits of one send. */
export interface SendLimits {
  readonly connectMs: Milliseconds;
  /** Shortest time without a byte before another target is tried. */
  readonly leastSilentMs: Milliseconds;
  /** Silence that is borne, as a multiple of the route's objective. */
  readonly silentObjectives: number;
  /** Silence that is borne, as a multiple of the time that the choice expected. */
  readonly silentExpected: number;
  /** Held back from the deadline that the target is told. */
  readonly deadlineMarginMs: Milliseconds;
}

/** A target as it was picked. */
export type PickedTarget = Extract<Pick, { kind: "target" }>;

export interface SendContext extends TargetMeters {
  readonly clock: Clock;
  readonly codec: RequestCodec;
  readonly fleet: Fleet;
  readonly logger: Logger;
  readonly limits: SendLimits;
  readonly metrics: ForwardMetrics;
  readonly targetLimits: TargetLimits;
}

/** How long a refusal for want of an adapter counts: most are there by then. */
const adapterUnderWayMs: Milliseconds = 100;
/** How long a refusal over an order that seems to be under way counts. */
const orderUnderWayMs: Milliseconds = 500;
/** Least urgent rank that an engine's queue knows. */
const lowestRank = 9;
/** From this status on a target tells of a failure of its own. */
export const failedStatus = 500;
/** What the system calls a port where nobody listens. */
const refusedConnection = "ECONNREFUSED";

function add(load: TargetLoad, inFlight: number, promptTokens: number): TargetLoad {
  return { inFlight: load.inFlight + inFlight, promptTokens: load.promptTokens + promptTokens };
}

/** Silence after which another target is tried, where one may be and there is one. */
function silentMs(
  request: ForwardedRequest,
  limits: SendLimits,
  { choice, others }: PickedTarget,
): Milliseconds | undefined {
  if (others === 0 || request.route.repeatability !== "repeatable") return undefined;
  if (request.runs + 1 >= request.route.maxAttempts) return undefined;
  const objective = request.route.objectiveMs * limits.silentObjectives;
  return Math.max(limits.leastSilentMs, objective, choice.expectedMs * limits.silentExpected);
}

/** Whether the target is believed to have no place free. */
function isFull({ fleet }: SendContext, id: string): boolean {
  const belief = fleet.find(id);
  if (!belief) return false;
  return belief.own.inFlight + belief.others.inFlight >= belief.listed.slots;
}

/** Notes in the fleet what the end of a send says about its target. */
function learn(context: SendContext, request: ForwardedRequest, id: string, end: AttemptEnd): void {
  const { fleet } = context;
  switch (end.kind) {
    case "answered":
      if (end.head.status >= failedStatus) fleet.failed(id, `status ${end.head.status}`);
      else fleet.succeeded(id);
      return;
    case "streamed":
      return fleet.succeeded(id);
    case "not_sent":
      if (end.reason.includes(refusedConnection)) return fleet.unreachable(id, end.reason);
      return fleet.failed(id, end.reason);
    case "lost":
      return fleet.failed(id, end.reason);
    case "silent":
      return fleet.failed(id, "silent");
    case "not_run":
      if (end.retryAfterMs !== undefined) fleet.backOff(id, end.retryAfterMs);
      if (request.terms.model === undefined) return;
      // A target that is not full and refuses all the same is about to drop the weights, or has yet
      // to bring them in: it may say so before anybody else does.
      // An adapter on its way is told of before it is there for certain.
      if (end.misdirected && request.terms.adapter === undefined) {
        fleet.deny(id, weightsOf(request.terms));
      } else if (end.misdirected) fleet.deny(id, weightsOf(request.terms), adapterUnderWayMs);
      else if (!isFull(context, id)) fleet.deny(id, weightsOf(request.terms), orderUnderWayMs);
      return;
    case "gone":
      return;
  }
}

/** Notes what an answer says of its target's limit. */
function noteLimit(
  { fleet, logger, targetLimits }: SendContext,
  target: TargetBelief,
  sentMsAgo: Milliseconds,
  status: number,
  { limit, notRun }: ResponseMetadata,
): void {
  const { id } = target.listed;
  // What an earlier life says holds no more.
  if (fleet.find(id) !== target) return;
  if (limit.kind === "unreadable") {
    logger.event("targetLimitUnreadable", { target: id, text: limit.text });
  }
  targetLimits.hear({
    target: id,
    notice: limit,
    sentMsAgo,
    served: status < failedStatus && !notRun,
  });
}

/** Sends the request and resolves with how that ended. */
export async function sendToTarget(
  context: SendContext,
  request: ForwardedRequest,
  picked: PickedTarget,
): Promise<AttemptEnd> {
  const { clock, codec, limits } = context;
  const { target } = picked;
  const { listed } = target;
  const { terms, route } = request;
  const weights = weightsOf(terms);
  const query = { weights, parts: terms.parts };
  const unread = Math.max(0, terms.promptTokens - target.prefixes.kept(query));
  const queuedBefore = target.own.promptTokens + target.others.promptTokens;
  const sentAt = clock.now();
  let reading = true;

  target.own = add(target.own, 1, unread);
  target.prefixes.note(query);
  request.tried.add(listed.id);
  request.sends += 1;
  const endReading = () => {
    if (!reading) return;
    reading = false;
    target.own = add(target.own, 0, -unread);
  };

  const remainingMs = Math.floor(request.endsAt - sentAt - limits.deadlineMarginMs);
  const end = await sendAttempt({
    clock,
    codec,
    requestId: terms.id,
    sink: request.sink,
    streaming: route.streaming,
    position: request.position,
    endsAt: request.endsAt,
    silentMs: silentMs(request, limits, picked),
    request: {
      address: listed.address,
      method: request.method,
      path: request.path,
      headers: codec.toTargetHeaders(request.headers, {
        targetId: listed.id,
        remainingMs: Math.max(1, remainingMs),
        account: request.account,
        rank: Math.min(lowestRank, request.priority),
        resumeAfter: request.position.lastId,
      }),
      body: request.body,
      connectMs: limits.connectMs,
    },
    onHead: (status, facts) => noteLimit(context, target, clock.now() - sentAt, status, facts),
    onLeft: ({ written, unsentBytes }) =>
      context.logger.event("callerLeft", {
        request: terms.id,
        target: listed.id,
        sinceReadMs: Math.round(clock.now() - request.arrivedAt),
        sinceSendMs: Math.round(clock.now() - sentAt),
        written,
        unsentBytes,
        begun: request.sink.begun(),
      }),
    onGap: (ms) => {
      request.longestGapMs = Math.max(request.longestGapMs, ms);
      context.pace.observe(listed.id, ms);
      context.metrics.gap(ms);
    },
    onFirstBytes: () => {
      endReading();
      request.firstAt ??= clock.now();
      context.metrics.firstBytes(clock.now() - sentAt);
      const ahead = queuedBefore + unread;
      context.costs.observe(request.service.name, listed.id, ahead, clock.now() - sentAt);
    },
  });
  endReading();
  if (end.kind === "not_sent" || (end.kind === "gone" && !end.written)) request.unwritten += 1;
  target.own = add(target.own, -1, 0);
  if (end.kind === "streamed" || end.kind === "answered") {
    context.costs.answered(request.service.name, listed.id, clock.now() - sentAt);
  }
  // What an earlier life did says nothing of the one that is known by now.
  if (context.fleet.find(listed.id) === target) learn(context, request, listed.id, end);
  context.metrics.sendEnded(request.service.name, end.kind);
  context.logger.event("sendEnded", {
    request: terms.id,
    target: listed.id,
    end: end.kind,
    reason: "reason" in end ? end.reason : undefined,
    status: end.kind === "not_run" ? end.status : undefined,
    ms: Math.round(clock.now() - sentAt),
    unread,
  });
  return end;
}
