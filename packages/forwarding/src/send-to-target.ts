/** One send of a request to a picked target, with what it teaches about the target. */
import type { Fleet, TargetView, TargetLoad } from "@linkfall/fleet";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { ResponseMetadata, RequestCodec } from "@linkfall/ports";
import type { TargetLimits } from "@linkfall/target-limits";
import type { Milliseconds } from "@linkfall/types";
import { type AttemptResult, sendAttempt } from "./attempt.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import { type ForwardedRequest, weightsKey } from "./forwarded-request.js";
import type { PickResult, TargetMeters } from "./pick.js";

/** Limits of one send. */
export interface SendLimits {
  readonly connectTimeoutMs: Milliseconds;
  /** Shortest time without a byte before another target is tried. */
  readonly minIdleTimeoutMs: Milliseconds;
  /** Silence that is borne, as a multiple of the route's objective. */
  readonly idleTimeoutObjectives: number;
  /** Silence that is borne, as a multiple of the time that the choice expected. */
  readonly idleTimeoutExpectedFactor: number;
  /** Held back from the deadline that the target is told. */
  readonly deadlineMarginMs: Milliseconds;
}

/** A target as it was picked. */
export type PickedTarget = Extract<PickResult, { kind: "target" }>;

export interface SendContext extends TargetMeters {
  readonly clock: Clock;
  readonly codec: RequestCodec;
  readonly fleet: Fleet;
  readonly logger: Logger;
  readonly sendLimits: SendLimits;
  readonly metrics: ForwardMetrics;
  readonly targetLimits: TargetLimits;
}

/** How long a refusal for want of an adapter counts: most are there by then. */
const adapterDenialMs: Milliseconds = 100;
/** How long a refusal over an order that seems to be under way counts. */
const orderDenialMs: Milliseconds = 500;
/** Least urgent rank that an engine's queue knows. */
const maxRank = 9;
/** From this status on a target tells of a failure of its own. */
export const serverErrorStatus = 500;
/** What the system calls a port where nobody listens. */
const connectionRefusedCode = "ECONNREFUSED";

function addLoad(load: TargetLoad, inFlight: number, promptTokens: number): TargetLoad {
  return { inFlight: load.inFlight + inFlight, promptTokens: load.promptTokens + promptTokens };
}

/** Silence after which another target is tried, where one may be and there is one. */
function idleTimeoutMs(
  request: ForwardedRequest,
  limits: SendLimits,
  { choice, others }: PickedTarget,
): Milliseconds | undefined {
  if (others === 0 || request.route.repeatability !== "repeatable") return undefined;
  if (request.possibleRuns + 1 >= request.route.maxAttempts) return undefined;
  const objective = request.route.objectiveMs * limits.idleTimeoutObjectives;
  return Math.max(
    limits.minIdleTimeoutMs,
    objective,
    choice.expectedStartMs * limits.idleTimeoutExpectedFactor,
  );
}

/** Whether the target is believed to have no place free. */
function isFull({ fleet }: SendContext, id: string): boolean {
  const belief = fleet.find(id);
  if (!belief) return false;
  return belief.ownLoad.inFlight + belief.otherBoxesLoad.inFlight >= belief.listed.slots;
}

/** Notes in the fleet what the end of a send says about its target. */
function updateFleet(
  context: SendContext,
  request: ForwardedRequest,
  id: string,
  end: AttemptResult,
): void {
  const { fleet } = context;
  switch (end.kind) {
    case "answered":
      if (end.head.status >= serverErrorStatus)
        fleet.recordFailure(id, `status ${end.head.status}`);
      else fleet.recordSuccess(id);
      return;
    case "streamed":
      return fleet.recordSuccess(id);
    case "not_sent":
      if (end.reason.includes(connectionRefusedCode))
        return fleet.recordUnreachable(id, end.reason);
      return fleet.recordFailure(id, end.reason);
    case "lost":
      return fleet.recordFailure(id, end.reason);
    case "silent":
      return fleet.recordFailure(id, "silent");
    case "not_run":
      if (end.retryAfterMs !== undefined) fleet.backOff(id, end.retryAfterMs);
      if (request.terms.model === undefined) return;
      // A target that is not full and refuses all the same is about to drop the weights, or has yet
      // to bring them in: it may say so before anybody else does.
      // An adapter on its way is told of before it is there for certain.
      if (end.misdirected && request.terms.adapter === undefined) {
        fleet.recordModelRefusal(id, weightsKey(request.terms));
      } else if (end.misdirected)
        fleet.recordModelRefusal(id, weightsKey(request.terms), adapterDenialMs);
      else if (!isFull(context, id))
        fleet.recordModelRefusal(id, weightsKey(request.terms), orderDenialMs);
      return;
    case "gone":
      return;
  }
}

/** Notes what an answer says of its target's limit. */
function recordLimit(
  { fleet, logger, targetLimits }: SendContext,
  target: TargetView,
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
  targetLimits.recordAnswer({
    target: id,
    notice: limit,
    sentMsAgo,
    served: status < serverErrorStatus && !notRun,
  });
}

/** Sends the request and resolves with how that ended. */
export async function sendToTarget(
  context: SendContext,
  request: ForwardedRequest,
  picked: PickedTarget,
): Promise<AttemptResult> {
  const { clock, codec, sendLimits: limits } = context;
  const { target } = picked;
  const { listed } = target;
  const { terms, route } = request;
  const weights = weightsKey(terms);
  const query = { weights, parts: terms.parts };
  const uncachedTokens = Math.max(0, terms.promptTokens - target.prefixIndex.cachedTokens(query));
  const queuedTokens = target.ownLoad.promptTokens + target.otherBoxesLoad.promptTokens;
  const sentAt = clock.now();
  let isPrefilling = true;

  target.ownLoad = addLoad(target.ownLoad, 1, uncachedTokens);
  target.prefixIndex.record(query);
  request.triedTargets.add(listed.id);
  request.sends += 1;
  const endPrefill = () => {
    if (!isPrefilling) return;
    isPrefilling = false;
    target.ownLoad = addLoad(target.ownLoad, 0, -uncachedTokens);
  };

  const remainingMs = Math.floor(request.deadlineAt - sentAt - limits.deadlineMarginMs);
  const result = await sendAttempt({
    clock,
    codec,
    requestId: terms.id,
    sink: request.sink,
    streaming: route.streaming,
    position: request.streamPosition,
    deadlineAt: request.deadlineAt,
    idleTimeoutMs: idleTimeoutMs(request, limits, picked),
    request: {
      address: listed.address,
      method: request.method,
      path: request.path,
      headers: codec.toTargetHeaders(request.headers, {
        targetId: listed.id,
        remainingMs: Math.max(1, remainingMs),
        account: request.account,
        rank: Math.min(maxRank, request.priority),
        resumeAfter: request.streamPosition.lastEventId,
      }),
      body: request.body,
      connectTimeoutMs: limits.connectTimeoutMs,
    },
    onResponseHead: (status, facts) =>
      recordLimit(context, target, clock.now() - sentAt, status, facts),
    onCallerGone: ({ written, unsentBytes }) =>
      context.logger.event("callerLeft", {
        request: terms.id,
        target: listed.id,
        sinceReadMs: Math.round(clock.now() - request.arrivedAt),
        sinceSendMs: Math.round(clock.now() - sentAt),
        written,
        unsentBytes,
        begun: request.sink.headersSent(),
      }),
    onStreamGap: (ms) => {
      request.maxStreamGapMs = Math.max(request.maxStreamGapMs, ms);
      context.streamGaps.observe(listed.id, ms);
      context.metrics.streamGap(ms);
    },
    onFirstBodyBytes: () => {
      endPrefill();
      request.firstByteAt ??= clock.now();
      context.metrics.firstBytes(clock.now() - sentAt);
      const tokensToRead = queuedTokens + uncachedTokens;
      context.workCosts.observeFirstBytes(
        request.service.name,
        listed.id,
        tokensToRead,
        clock.now() - sentAt,
      );
    },
  });
  endPrefill();
  if (result.kind === "not_sent" || (result.kind === "gone" && !result.written))
    request.unwrittenSends += 1;
  target.ownLoad = addLoad(target.ownLoad, -1, 0);
  if (result.kind === "streamed" || result.kind === "answered") {
    context.workCosts.observeResponse(request.service.name, listed.id, clock.now() - sentAt);
  }
  // What an earlier life did says nothing of the one that is known by now.
  if (context.fleet.find(listed.id) === target) updateFleet(context, request, listed.id, result);
  context.metrics.sendEnded(request.service.name, result.kind);
  context.logger.event("sendEnded", {
    request: terms.id,
    target: listed.id,
    end: result.kind,
    reason: "reason" in result ? result.reason : undefined,
    status: result.kind === "not_run" ? result.status : undefined,
    ms: Math.round(clock.now() - sentAt),
    unread: uncachedTokens,
  });
  return result;
}
