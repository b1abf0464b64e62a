/** Sends a request to a picked target and updates the state of the target from the result. */
import type { TargetView, TargetLoad } from "@linkfall/fleet";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { ResponseMetadata, RequestCodec } from "@linkfall/ports";
import { reportDefect } from "@linkfall/request-defect";
import type { FragileTargets } from "@linkfall/fragile-targets";
import type { TargetBodies } from "@linkfall/held-bytes";
import type { ResponseFraming } from "@linkfall/raw-exchange";
import type { TargetPaths } from "@linkfall/relayed-exchange";
import type { TargetLimits } from "@linkfall/target-limits";
import type { Milliseconds } from "@linkfall/types";
import { type AttemptResult, sendAttempt } from "./attempt.js";
import { recordFragility } from "./fragile-answers.js";
import type { ForwardMetrics } from "./forward-metrics.js";
import { type ForwardedRequest, type SendTimes, weightsKey } from "./forwarded-request.js";
import type { PickResult, TargetMeters } from "./pick-target.js";
import { decodeKind } from "./engine-slowness.js";
import { type BindingContext, bindStream, isConfinedToVersion } from "./stream-binding.js";

/** Limits of one send. */
export interface SendLimits {
  readonly connectTimeoutMs: Milliseconds;
  /** Minimum idle timeout before another target is tried. */
  readonly minIdleTimeoutMs: Milliseconds;
  /** Idle timeout as a multiple of the route's latency objective. */
  readonly idleTimeoutObjectives: number;
  /** Idle timeout as a multiple of the expected time to the first byte. */
  readonly idleTimeoutExpectedFactor: number;
  /** Subtracted from the deadline that is sent to the target. */
  readonly deadlineMarginMs: Milliseconds;
}

/** A successful pick of a target. */
export type PickedTarget = Extract<PickResult, { kind: "target" }>;

export interface SendContext extends TargetMeters, BindingContext {
  readonly clock: Clock;
  readonly codec: RequestCodec;
  readonly paths: TargetPaths;
  readonly logger: Logger;
  readonly sendLimits: SendLimits;
  readonly metrics: ForwardMetrics;
  readonly targetLimits: TargetLimits;
  readonly fragileTargets: FragileTargets;
  /** Total time for which the event loop of this box was blocked. */
  heldUpMs(): Milliseconds;
  readonly targetBodies: TargetBodies;
}

/** How long a target is avoided after it refused a request for lack of an adapter. */
const adapterDenialMs: Milliseconds = 100;
/** How long a target is avoided after a refusal that indicates a load or unload in progress. */
const loadChangeDenialMs: Milliseconds = 500;
/** Least urgent priority that engines support. */
const maxRank = 9;
/** Status of a target that cannot take a request now. */
const unavailableStatus = 503;
/** Time between reads that is recorded of each stream; later ones tell nothing new of the engine's speed. */
const maxRecordedGaps = 64;
/** Lowest status that counts as a failure of the target. */
export const serverErrorStatus = 500;
/** Failure of a target whose response is complete, but is followed by bytes that belong to none. */
const excessReason = "bytes behind the response";
/** System error code of a connection to a port without a listener. */
const connectionRefusedCode = "ECONNREFUSED";

function addLoad(load: TargetLoad, inFlight: number, promptTokens: number): TargetLoad {
  return { inFlight: load.inFlight + inFlight, promptTokens: load.promptTokens + promptTokens };
}

/** Idle timeout of the attempt; undefined if no other target may be tried. */
function idleTimeoutMs(
  request: ForwardedRequest,
  limits: SendLimits,
  { choice, alternatives }: PickedTarget,
): Milliseconds | undefined {
  if (alternatives === 0 || request.route.repeatability !== "repeatable") return undefined;
  if (request.possibleRuns + 1 >= request.route.maxAttempts) return undefined;
  const objectiveTimeoutMs = request.route.objectiveMs * limits.idleTimeoutObjectives;
  return Math.max(
    limits.minIdleTimeoutMs,
    objectiveTimeoutMs,
    choice.expectedStartMs * limits.idleTimeoutExpectedFactor,
  );
}

/** Whether all slots of the target are taken, according to this box's view. */
function isFull({ fleet }: SendContext, id: string): boolean {
  const target = fleet.find(id);
  if (!target) return false;
  return target.ownLoad.inFlight + target.otherBoxesLoad.inFlight >= target.listed.slots;
}

/** Updates the fleet's view of a target from the result of a send, which another box relayed if `via` is set. */
function updateFleet(
  context: SendContext,
  request: ForwardedRequest,
  id: string,
  result: AttemptResult,
  via: string | undefined,
): void {
  const { fleet } = context;
  if ("cause" in result && result.cause !== undefined) return;
  switch (result.kind) {
    case "answered":
      if (result.head.status >= serverErrorStatus)
        fleet.recordFailure(id, `status ${result.head.status}`);
      else if (result.excess) fleet.recordFailure(id, excessReason);
      else fleet.recordSuccess(id);
      return;
    case "streamed":
      return result.excess ? fleet.recordFailure(id, excessReason) : fleet.recordSuccess(id);
    case "not_sent":
      if (result.reason.includes(connectionRefusedCode))
        return fleet.recordUnreachable(id, result.reason);
      return fleet.recordConnectFailure(id, result.reason);
    case "lost":
      return fleet.recordFailure(id, result.reason);
    case "silent":
      if (result.waitedForCaller) return;
      // The relay may be the one that is silent.
      return via === undefined ? fleet.recordFailure(id, "silent") : undefined;
    case "not_run":
      if (result.endless) fleet.recordFailure(id, "a rejection without end");
      if (request.terms.model === undefined) return;
      // A target with free slots that refuses is about to unload the weights or has not finished loading them.
      // Adapters are announced before they are fully loaded; refusals for lack of one expire sooner.
      if (result.misdirected && request.terms.adapter === undefined) {
        fleet.recordModelRefusal(id, weightsKey(request.terms));
      } else if (result.misdirected)
        fleet.recordModelRefusal(id, weightsKey(request.terms), adapterDenialMs);
      else if (!isFull(context, id))
        fleet.recordModelRefusal(id, weightsKey(request.terms), loadChangeDenialMs);
      return;
    case "gone":
      return;
  }
}

/** Records the rate limit reported in a response. */
function recordLimit(
  { fleet, logger, targetLimits }: SendContext,
  target: TargetView,
  sentMsAgo: Milliseconds,
  status: number,
  { limit, notRun }: ResponseMetadata,
): void {
  const { id } = target.listed;
  // Ignores responses from an earlier incarnation of the target.
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

/** Records a response that says that its target is leaving. */
function recordLeaving(
  { fleet }: SendContext,
  { listed, born }: TargetView,
  { misdirected, leaving }: ResponseMetadata,
): void {
  // A misdirected request may have been rejected by another target that uses the address now.
  if (leaving && !misdirected) fleet.leavingTargets.record({ target: listed.id, born }, "target");
}

/** Logs and counts a send to a target that is known to be leaving, or whose list entry has disappeared. */
function reportSendToDeparting(
  { clock, logger, metrics }: SendContext,
  { terms, service }: ForwardedRequest,
  { listed, leavingSince, unlistedAt }: TargetView,
): void {
  const now = clock.now();
  const detail = { request: terms.id, target: listed.id };
  if (listed.leaving) {
    const sinceMs = Math.round(now - (leavingSince ?? now));
    logger.event("sentToLeavingTarget", { ...detail, sinceMs });
    metrics.sentToLeavingTarget(service.name, sinceMs);
  } else if (unlistedAt !== undefined) {
    const sinceMs = Math.round(now - unlistedAt);
    logger.event("sentToMissingTarget", { ...detail, sinceMs });
    metrics.sentToMissingTarget(service.name, sinceMs);
  }
}

/** Records a rest that the target asks for, or logs a Retry-After that cannot be read. */
function recordRest(
  { fleet, logger }: SendContext,
  { listed, born }: TargetView,
  status: number,
  { retryAfter, notRun }: ResponseMetadata,
): void {
  if (status !== unavailableStatus || retryAfter.kind === "none") return;
  if (retryAfter.kind === "unreadable")
    return logger.event("retryAfterUnreadable", { target: listed.id, text: retryAfter.text });
  const { ms: forMs } = retryAfter;
  fleet.recordRest({ target: listed.id, born, forMs });
  logger.event("targetAskedForRest", { target: listed.id, forMs, notRun });
}

/** Logs and counts a send to a target within the rest that it has asked for. */
function reportSendToResting(
  { fleet, logger, metrics }: SendContext,
  { terms, service }: ForwardedRequest,
  target: TargetView,
): void {
  const remainingMs = Math.round(fleet.restRemainingMs(target));
  logger.event("sentToRestingTarget", { request: terms.id, target: target.listed.id, remainingMs });
  metrics.sentToRestingTarget(service.name);
}

/** Decisions and notifications of one send. */
export interface SendHooks {
  /** Called when the request is about to be written; resolves to false if it must not be. */
  mayWrite(): Promise<boolean>;
  /** Whether the request may still be sent; asked after the last wait before it is written. */
  hasTimeLeft(): boolean;
  /** Whether a begun stream may be abandoned because its target is silent. */
  mayAbandon(): boolean;
  /** Called on the first bytes of the response body. */
  onFirstBytes?(): void;
}

/** Sends the request to the picked target and resolves with the result. */
export async function sendToTarget(
  context: SendContext,
  request: ForwardedRequest,
  picked: PickedTarget,
  { mayWrite, hasTimeLeft, mayAbandon, onFirstBytes }: SendHooks,
): Promise<AttemptResult> {
  const { clock, codec, sendLimits } = context;
  const { target } = picked;
  const { listed } = target;
  const { terms, route } = request;
  const weights = weightsKey(terms);
  const query = { weights, parts: terms.parts };
  const uncachedTokens = Math.max(0, terms.promptTokens - target.prefixIndex.cachedTokens(query));
  const queuedTokens = target.ownLoad.promptTokens + target.otherBoxesLoad.promptTokens;
  const sentAt = clock.now();
  const sendTimes: SendTimes = { startedAt: sentAt };
  request.lastSend = sendTimes;
  let isPrefilling = true;
  let framing: ResponseFraming | undefined;
  let unfinishedBytes: number | undefined;
  const gapsMs: Milliseconds[] = [];
  const concurrency = target.ownLoad.inFlight + target.otherBoxesLoad.inFlight + 1;
  let via: string | undefined;
  let endBody = () => undefined as void;

  reportSendToDeparting(context, request, target);
  if (context.fleet.restRemainingMs(target) > 0) reportSendToResting(context, request, target);
  target.ownLoad = addLoad(target.ownLoad, 1, uncachedTokens);
  target.prefixIndex.record(query);
  request.triedTargets.add(listed.id);
  request.sends += 1;
  const endPrefill = () => {
    if (!isPrefilling) return;
    isPrefilling = false;
    target.ownLoad = addLoad(target.ownLoad, 0, -uncachedTokens);
  };

  const targetHeaders = () => {
    const remainingMs = request.deadlineAt - clock.now() - sendLimits.deadlineMarginMs;
    return codec.toTargetHeaders(request.headers, {
      targetId: listed.id,
      remainingMs: Math.max(1, Math.floor(remainingMs)),
      account: request.account,
      rank: isConfinedToVersion(context, request) ? 0 : Math.min(maxRank, request.rank),
      resumeAfter: request.streamPosition.lastEventId,
    });
  };
  const openExchange = context.paths.opener(
    { id: listed.id, born: target.born },
    { headers: targetHeaders, onRelay: (box) => void (via = box) },
  );
  const result = await sendAttempt({
    clock,
    codec,
    openExchange,
    requestId: terms.id,
    sink: request.sink,
    streaming: route.streaming,
    position: request.streamPosition,
    deadlineAt: request.deadlineAt,
    idleTimeoutMs: idleTimeoutMs(request, sendLimits, picked),
    request: {
      address: listed.address,
      method: request.method,
      path: request.path,
      headers: targetHeaders(),
      body: request.body,
      connectTimeoutMs: sendLimits.connectTimeoutMs,
    },
    async mayWrite() {
      sendTimes.mayBeRunning = await mayWrite();
      return sendTimes.mayBeRunning;
    },
    hasTimeLeft,
    mayAbandon,
    onOpened: (unsentBytes) =>
      void (endBody = context.targetBodies.begin(listed.id, request.body.length, unsentBytes)),
    onHeadRejected: (problem) => context.metrics.responseRejected(request.service.name, problem),
    onResponseHead({ status, framing: responseFraming }, facts) {
      framing = responseFraming;
      recordLeaving(context, target, facts);
      recordRest(context, target, status, facts);
      recordLimit(context, target, clock.now() - sentAt, status, facts);
      recordFragility(context, request, target, clock.now() - sentAt, status, facts);
    },
    onFirstEvent: () => bindStream(context, request, target),
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
    onStreamEnd(bytes, { framing: responseFraming }) {
      unfinishedBytes = bytes;
      if (bytes > 0) context.metrics.streamBrokenOff(request.service.name, responseFraming);
    },
    onStreamGap: (ms) => {
      if (gapsMs.length < maxRecordedGaps) gapsMs.push(ms);
      sendTimes.events = (sendTimes.events ?? 0) + 1;
      request.maxStreamGapMs = Math.max(request.maxStreamGapMs, ms);
      context.streamGaps.observe(listed.id, ms);
      context.metrics.streamGap(ms);
    },
    onFirstBodyBytes: () => {
      endPrefill();
      onFirstBytes?.();
      sendTimes.firstByteAt = clock.now();
      request.firstByteAt ??= clock.now();
      context.metrics.firstBytes(clock.now() - sentAt);
      const prefillTokens = queuedTokens + uncachedTokens;
      context.workCosts.observeFirstBytes(
        request.service.name,
        listed.id,
        prefillTokens,
        clock.now() - sentAt,
      );
    },
  });
  sendTimes.mayBeRunning = false;
  if (result.kind === "lost" && result.defect !== undefined)
    reportDefect(context.logger, { request: terms.id, path: request.path }, result.defect);
  endPrefill();
  endBody();
  if (result.kind === "not_sent" || (result.kind === "gone" && !result.written))
    request.unwrittenSends += 1;
  target.ownLoad = addLoad(target.ownLoad, -1, 0);
  if (result.kind === "streamed" || result.kind === "answered") {
    context.workCosts.observeResponse(request.service.name, listed.id, clock.now() - sentAt);
  }
  const kind = decodeKind(request);
  if (result.kind === "streamed" && kind !== undefined && via === undefined)
    context.engineSpeeds?.recordStream({ target: listed.id, kind, concurrency }, gapsMs);
  // Results of an earlier incarnation do not apply to the current one.
  if (context.fleet.find(listed.id) === target)
    updateFleet(context, request, listed.id, result, via);
  context.metrics.sendEnded(request.service.name, result.kind);
  context.logger.event("sendEnded", {
    request: terms.id,
    target: listed.id,
    softwareVersion: listed.softwareVersion,
    via,
    end: result.kind,
    reason: "reason" in result ? result.reason : undefined,
    status: result.kind === "not_run" ? result.status : undefined,
    ms: Math.round(clock.now() - sentAt),
    unread: uncachedTokens,
    framing,
    unfinishedBytes,
  });
  return result;
}
