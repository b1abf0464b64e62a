/** Requests whose targets are granted by the dispatcher of their service instead of chosen by this box. */
import type { DispatchEnd, DispatchRequest } from "@linkfall/dispatch-queue";
import type { TargetView } from "@linkfall/fleet";
import type { DispatchGrant, DispatchOutcome } from "@linkfall/request-dispatch";
import type { Milliseconds } from "@linkfall/types";
import type { AttemptResult } from "./attempt.js";
import { isRejectionForRoom } from "./fragile-answers.js";
import { type ForwardContext, timeLeftMs } from "./forward-context.js";
import { type ForwardedRequest, weightsKey } from "./forwarded-request.js";
import { isStillEligible } from "./pick-target.js";
import { type PickedTarget, serverErrorStatus } from "./send-to-target.js";
import { isConfinedToVersion } from "./stream-binding.js";

const rejectionReasons: Readonly<Record<string, string>> = {
  full: "its targets have no slot in time",
  displaced: "other requests came first",
  late: "no target in time",
  no_target: "no target",
};

/** Describes a rejection to the caller. */
export function describeRejection(reason: string): string {
  return rejectionReasons[reason] ?? "its targets have no slot in time";
}

/** Whether the target is under a limit of its own, which the dispatcher does not know. */
function isLimited({ targetLimits, fragileTargets }: ForwardContext, { listed }: TargetView) {
  return (
    targetLimits.limitOf(listed.id) !== undefined || fragileTargets.limitOf(listed.id) !== undefined
  );
}

/** Whether the dispatcher is asked for the target of the request. */
export function isDispatched(
  context: ForwardContext,
  request: ForwardedRequest,
  { eligible }: PickedTarget,
): boolean {
  if (!context.dispatch.isActive(request.service) || request.choosesAlone) return false;
  // A stream that has begun has few targets and must not be rejected.
  if (request.sink.headersSent() || isConfinedToVersion(context, request)) return false;
  return !request.isFinalAttempt && !eligible.some((target) => isLimited(context, target));
}

function toDispatchRequest(
  context: ForwardContext,
  request: ForwardedRequest,
  { eligible }: PickedTarget,
): DispatchRequest {
  const { route, service, terms, account } = request;
  const weights = weightsKey(terms);
  const query = { weights, parts: terms.parts };
  const candidateOf = ({ listed, prefixIndex }: TargetView) => ({
    target: listed.id,
    slots: listed.slots,
    sameDomain: listed.domain === context.domain,
    unreadTokens: service.engine
      ? Math.max(0, terms.promptTokens - prefixIndex.cachedTokens(query))
      : undefined,
  });
  return {
    service: service.name,
    kind: route.name,
    box: context.boxIncarnation,
    account,
    // Accounts share first; within an account the priority of the route decides.
    priority: route.priority,
    objectiveMs: route.objectiveMs,
    objectiveLeftMs: request.arrivedAt + route.objectiveMs - context.clock.now(),
    timeLeftMs: timeLeftMs(context, request) - context.forwardLimits.minTimeLeftMs,
    candidates: eligible.map(candidateOf),
    prompt: service.engine && { weights, parts: terms.parts, tokens: terms.promptTokens },
  };
}

/** Asks the dispatcher for a place; waits until it decides, but no longer than the request may. */
export function acquireDispatched(
  context: ForwardContext,
  request: ForwardedRequest,
  picked: PickedTarget,
): Promise<DispatchOutcome> {
  return context.dispatch.acquire(toDispatchRequest(context, request, picked), {
    isGone: () => request.sink.isCallerGone() || !context.acceptsRequest(request),
    onGone: request.sink.onCallerGone,
  });
}

/** The granted target as a pick; undefined, with the place given back, if it may not be used any more. */
export function pickGranted(
  context: ForwardContext,
  request: ForwardedRequest,
  { eligible, alternatives }: PickedTarget,
  grant: DispatchGrant,
): PickedTarget | undefined {
  const target = eligible.find(({ listed }) => listed.id === grant.target);
  const isUsable =
    target !== undefined &&
    !request.sink.isCallerGone() &&
    timeLeftMs(context, request) > context.forwardLimits.minTimeLeftMs &&
    !isLimited(context, target) &&
    isStillEligible(context, request, target);
  if (!isUsable) {
    context.dispatch.end(grant, { result: "unused", ms: 0 });
    return undefined;
  }
  const choice = { id: grant.target, expectedStartMs: grant.expectedMs };
  return { kind: "target", target, choice, alternatives, eligible };
}

function endResultOf(result: AttemptResult): DispatchEnd["result"] {
  // Failures of a relay, and of the search for one, say nothing about the target.
  if ("cause" in result && result.cause !== undefined) return "unused";
  switch (result.kind) {
    case "streamed":
      return "served";
    case "answered":
      if (isRejectionForRoom(result.head.status, false)) return "rejected";
      // Errors may come sooner than responses, and would make the target look fast.
      return result.head.status >= serverErrorStatus ? "lost" : "served";
    case "not_run":
      return isRejectionForRoom(result.status, result.misdirected) ? "rejected" : "unused";
    case "lost":
    case "not_sent":
    case "silent":
      return "lost";
    case "gone":
      return "unused";
  }
}

/** One send to a granted target; reports its times without those in which this box was held up itself. */
export interface DispatchedSend {
  recordFirstBytes(): void;
  end(result: AttemptResult, events: number): void;
}

/** Starts the measurement of a send to a granted target. */
export function startDispatchedSend(
  { clock, dispatch, heldUpMs }: ForwardContext,
  { service }: ForwardedRequest,
  grant: DispatchGrant,
): DispatchedSend {
  const startedAt = clock.now();
  const heldUpAtStart = heldUpMs();
  let firstMs: Milliseconds | undefined;
  const elapsedMs = () => Math.max(0, clock.now() - startedAt - (heldUpMs() - heldUpAtStart));
  return {
    recordFirstBytes() {
      if (firstMs !== undefined) return;
      firstMs = elapsedMs();
      // The dispatcher of a plain service learns them with the end.
      if (service.engine) dispatch.firstBytes(grant, firstMs);
    },
    end(result, events) {
      const streamEnd = service.engine ? { firstMs, events } : {};
      dispatch.end(grant, { result: endResultOf(result), ms: elapsedMs(), ...streamEnd });
    },
  };
}
