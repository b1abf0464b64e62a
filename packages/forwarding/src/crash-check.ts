/** Detects requests that crash the targets running them, and refuses them when they are sent again. */
import {
  type Classification,
  describeCause,
  type RequestAttributes,
  settlingMs,
  sharedTrait,
  type SharedTrait,
} from "@linkfall/crash-blame";
import type { TargetView } from "@linkfall/fleet";
import type { ListenerStatus } from "@linkfall/ports";
import type { Milliseconds, RequestMetadata } from "@linkfall/types";
import type { ForwardContext } from "./forward-context.js";
import { type ForwardedRequest, weightsKey } from "./forwarded-request.js";
import { refuse, refusedStatus, type Step } from "./request-step.js";

/** Further parts of one prompt are not judged. */
const maxSharedParts = 256;

/** What the request has in common with others: its adapter, and all parts of its prompt but the last, which is its own. */
function sharedTraits({ model, adapter, parts }: RequestMetadata): readonly SharedTrait[] {
  // Ids are hexadecimal numbers, so that upper and lower case mean the same part.
  const ids = new Set(parts.slice(0, -1).map(({ id }) => id.toLowerCase()));
  const partTraits = [...ids].slice(0, maxSharedParts).map((id) => sharedTrait("prompt part", id));
  if (adapter === undefined) return partTraits;
  return [...partTraits, sharedTrait("adapter", `${model}/${adapter}`)];
}

function requestFacts(request: ForwardedRequest): RequestAttributes {
  const { service, route, account, terms } = request;
  return {
    get request() {
      return request.fingerprint();
    },
    service: service.name,
    route: route.name,
    account,
    shared: sharedTraits(terms),
  };
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

function assessRequest(context: ForwardContext, request: ForwardedRequest): Classification {
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

/** Whether the target of a lost response still accepts connections, as seen by this box or by the relay of the request. */
async function probeTarget(
  context: ForwardContext,
  { listed }: TargetView,
  refusesRelay: boolean | undefined,
): Promise<ListenerStatus> {
  if (refusesRelay !== undefined) return refusesRelay ? "refuses" : "listens";
  const listening = await context.targetProbe.isListening(listed.address);
  const isOwnFault = listening === "refuses" && (await isOwnLinkLost(context, listed.id));
  return isOwnFault ? "unknown" : listening;
}

/**
 * Probes the target of a lost response and returns whether the request may be sent to another target. A target that
 * refuses connections has crashed, unless this box is cut off from all targets; if it still listens, only the connection
 * was lost. The request is suspected after a crash only.
 *
 * @param refusesRelay what the relay of the request found, if it was lost behind one
 */
export async function mayRetryAfterLoss(
  context: ForwardContext,
  request: ForwardedRequest,
  target: TargetView,
  refusesRelay?: boolean,
): Promise<boolean> {
  const { listed } = target;
  // Counted before the probe, in which other requests of targets that crash together end.
  const targetsInUse = countTargetsInUse(context, request, target);
  const listening = await probeTarget(context, target, refusesRelay);
  reportLoss(context, request, listed.id, { listening, targetsInUse });
  if (listening !== "refuses") return true;
  const { firstByteAt = context.clock.now() } = request.lastSend ?? {};
  const writingMs = context.clock.now() - firstByteAt;
  context.blame.recordCrash(listed.id, requestFacts(request), { targetsInUse, writingMs });
  const { verdict } = assessRequest(context, request);
  return verdict === "clear" || verdict === "suspect";
}

/** Records that a target served the request without crashing. */
export function recordServed({ blame }: ForwardContext, request: ForwardedRequest): void {
  const { startedAt = 0, firstByteAt } = request.lastSend ?? {};
  const beganAfterMs = firstByteAt === undefined ? undefined : firstByteAt - startedAt;
  blame.recordServed(requestFacts(request), beganAfterMs);
}

/** Whether the request must not reach a target, as far as is known now. */
export function isHeldBack(context: ForwardContext, request: ForwardedRequest): boolean {
  if (context.blame.isEmpty()) return false;
  const { verdict } = assessRequest(context, request);
  return verdict === "guilty" || verdict === "unsettled";
}

function reportRefusal(
  { logger, metrics }: ForwardContext,
  { terms, service }: ForwardedRequest,
  { verdict, kind, text }: Classification,
): void {
  logger.event("crashingRequestRefused", { request: terms.id, verdict, kind, text });
  metrics.crashingRequestRefused(service.name, verdict, kind ?? "");
}

/** Refuses a request that is known to crash targets; returns undefined if it may proceed. */
export function refuseCrashingRequest(
  context: ForwardContext,
  request: ForwardedRequest,
): Step | undefined {
  if (context.blame.isEmpty()) return undefined;
  const classification = assessRequest(context, request);
  const { verdict, kind } = classification;
  switch (verdict) {
    case "guilty":
      reportRefusal(context, request, classification);
      // No Retry-After: the request would crash a target again at any time.
      return refuse(
        request,
        refusedStatus,
        `held back: targets ended under ${describeCause(kind)}`,
      );
    case "unsettled":
      reportRefusal(context, request, classification);
      return refuse(
        request,
        refusedStatus,
        `targets ended under ${describeCause(kind)}`,
        settlingMs,
      );
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
