/** Requests that end the targets that run them: what a lost answer says of its request, and what becomes of its returns. */
import { type RequestAttributes, settlingMs, type Verdict } from "@linkfall/crash-blame";
import type { TargetView } from "@linkfall/fleet";
import type { ForwardContext } from "./forward-context.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import { refuse, refusedStatus, type Step } from "./request-step.js";

function requestFacts(request: ForwardedRequest): RequestAttributes {
  const { service, route, account } = request;
  return { request: request.fingerprint(), service: service.name, route: route.name, account };
}

function judgeRequest({ blame, fleet }: ForwardContext, request: ForwardedRequest): Verdict {
  const { name } = request.service;
  const targets = fleet.all().filter(({ listed }) => listed.service === name).length;
  return blame.classify(requestFacts(request), targets);
}

/**
 * Looks at the target of a lost answer, and tells whether the request may be sent to another one. A target that refuses
 * connections has ended; where only a connection was lost, nothing speaks against the request.
 */
export async function mayRetryAfterLoss(
  context: ForwardContext,
  request: ForwardedRequest,
  { listed }: TargetView,
): Promise<boolean> {
  const listening = await context.targetProbe.isListening(listed.address);
  context.logger.event("sendLost", {
    request: request.terms.id,
    fingerprint: request.fingerprint(),
    target: listed.id,
    listening,
  });
  if (listening !== "refuses") return true;
  context.blame.recordCrash(listed.id, requestFacts(request));
  const verdict = judgeRequest(context, request);
  return verdict === "clear" || verdict === "suspect";
}

/** Notes that a target answered the request well. */
export function recordServed({ blame }: ForwardContext, request: ForwardedRequest): void {
  if (!blame.isEmpty()) blame.recordServed(request.fingerprint());
}

/** Refuses a request that would end another target; undefined where it may go its way. */
export function refuseCrashingRequest(
  context: ForwardContext,
  request: ForwardedRequest,
): Step | undefined {
  if (context.blame.isEmpty()) return undefined;
  switch (judgeRequest(context, request)) {
    case "guilty":
      // No time to come back: what it does to targets does not pass by itself.
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
 * Targets at which a request has its last try, from this box. Two such requests are never there together: should the target
 * end, it is known which of them did it, and the other one is not held back with it.
 */
export interface FinalAttempts {
  /** Whether the request has to keep away from the target for now. */
  mustAvoid(request: ForwardedRequest, target: string): boolean;
  start(request: ForwardedRequest, target: string): void;
  end(request: ForwardedRequest, target: string): void;
}

export function createFinalAttempts(): FinalAttempts {
  const targets = new Set<string>();
  return {
    mustAvoid: ({ isFinalAttempt: lastTry }, target) => lastTry && targets.has(target),
    start({ isFinalAttempt: lastTry }, target) {
      if (lastTry) targets.add(target);
    },
    end({ isFinalAttempt: lastTry }, target) {
      if (lastTry) targets.delete(target);
    },
  };
}
