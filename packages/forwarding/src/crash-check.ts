/** Detects requests that crash the targets running them, and refuses them when they are sent again. */
import { type RequestAttributes, settlingMs, type Verdict } from "@linkfall/crash-blame";
import type { TargetView } from "@linkfall/fleet";
import type { ListenerStatus } from "@linkfall/ports";
import type { Milliseconds, RequestMetadata } from "@linkfall/types";
import type { ForwardContext } from "./forward-context.js";
import { type ForwardedRequest, weightsKey } from "./forwarded-request.js";
import { refuse, refusedStatus, type Step } from "./request-step.js";

function requestFacts(request: ForwardedRequest): RequestAttributes {
  const { service, route, account } = request;
  return { request: request.fingerprint(), service: service.name, route: route.name, account };
}

/** Maximum number of parts that a log line names. */
const maxLoggedParts = 8;

/** Ids of the prompt parts that the request shares with others: all but the last. */
function sharedPartsText({ parts }: RequestMetadata): string | undefined {
  const shared = parts.slice(0, -1).map(({ id }) => id);
  return shared.length === 0 ? undefined : shared.slice(0, maxLoggedParts).join(" ");
}

function targetsOf(
  { fleet }: ForwardContext,
  { service }: ForwardedRequest,
): readonly TargetView[] {
  return fleet.all().filter(({ listed }) => listed.service === service.name);
}

/** Number of targets with requests of any box, including the one whose response was lost. */
function countTargetsInUse(
  context: ForwardContext,
  request: ForwardedRequest,
  lost: TargetView,
): number {
  return targetsOf(context, request).filter(
    (target) => target === lost || target.ownLoad.inFlight + target.otherBoxesLoad.inFlight > 0,
  ).length;
}

function assessRequest(context: ForwardContext, request: ForwardedRequest): Verdict {
  const targets = targetsOf(context, request).length;
  return context.blame.classify(requestFacts(request), targets);
}

/** Whether a target refused the connection because this box has lost its links to all targets. */
async function isOwnLinkLost({ targetReach }: ForwardContext, target: string): Promise<boolean> {
  targetReach.recordConnectFailure(target, "refused a probe");
  // A single refused connection raises no suspicion, but may be the first sign of a cut.
  await targetReach.verify();
  return targetReach.isCutOff();
}

/** Logs a lost response with everything that the request may share with others, and whether it had begun. */
function reportLoss(
  { clock, logger, metrics }: ForwardContext,
  request: ForwardedRequest,
  target: string,
  details: { readonly listening: ListenerStatus; readonly targetsInUse: number },
): void {
  const { terms, service, lastSend } = request;
  const { startedAt, firstByteAt } = lastSend ?? {};
  const sinceMs = (at?: Milliseconds) =>
    at === undefined ? undefined : Math.round(clock.now() - at);
  logger.event("sendLost", {
    request: terms.id,
    fingerprint: request.fingerprint(),
    target,
    ...details,
    weights: terms.model === undefined ? undefined : weightsKey(terms),
    parts: sharedPartsText(terms),
    sinceSendMs: sinceMs(startedAt),
    sinceFirstByteMs: sinceMs(firstByteAt),
  });
  metrics.responseLost(service.name, details.listening);
}

/**
 * Probes the target of a lost response and returns whether the request may be sent to another target. A target that
 * refuses connections has crashed, unless this box is cut off from all targets; if it still listens, only the connection
 * was lost. The request is suspected after a crash only.
 */
export async function mayRetryAfterLoss(
  context: ForwardContext,
  request: ForwardedRequest,
  target: TargetView,
): Promise<boolean> {
  const { listed } = target;
  // Counted before the probe, in which other requests of targets that crash together end.
  const targetsInUse = countTargetsInUse(context, request, target);
  const listening = await context.targetProbe.isListening(listed.address);
  reportLoss(context, request, listed.id, { listening, targetsInUse });
  if (listening !== "refuses" || (await isOwnLinkLost(context, listed.id))) return true;
  context.blame.recordCrash(listed.id, requestFacts(request), targetsInUse);
  const verdict = assessRequest(context, request);
  return verdict === "clear" || verdict === "suspect";
}

/** Records that a target served the request without crashing. */
export function recordServed({ blame }: ForwardContext, request: ForwardedRequest): void {
  if (!blame.isEmpty()) blame.recordServed(request.fingerprint());
}

/** Refuses a request that is known to crash targets; returns undefined if it may proceed. */
export function refuseCrashingRequest(
  context: ForwardContext,
  request: ForwardedRequest,
): Step | undefined {
  if (context.blame.isEmpty()) return undefined;
  switch (assessRequest(context, request)) {
    case "guilty":
      // No Retry-After: the request would crash a target again at any time.
      return refuse(request, refusedStatus, "held back: targets ended while they ran this request");
    case "unsettled":
      return refuse(request, refusedStatus, "targets ended under this request", settlingMs);
    case "last_try":
      request.isFinalAttempt = true;
      return undefined;
    default:
      return undefined;
  }
}

/**
 * Targets that are running the final attempt of a suspected request from this box. A target gets at most one such request
 * at a time, so that a crash can be attributed to it.
 */
export interface FinalAttempts {
  /** Whether the request must not be sent to the target now. */
  mustAvoid(request: ForwardedRequest, target: string): boolean;
  start(request: ForwardedRequest, target: string): void;
  end(request: ForwardedRequest, target: string): void;
}

export function createFinalAttempts(): FinalAttempts {
  const targets = new Set<string>();
  return {
    mustAvoid: ({ isFinalAttempt }, target) => isFinalAttempt && targets.has(target),
    start({ isFinalAttempt }, target) {
      if (isFinalAttempt) targets.add(target);
    },
    end({ isFinalAttempt }, target) {
      if (isFinalAttempt) targets.delete(target);
    },
  };
}
