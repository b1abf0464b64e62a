/** Which target a request goes to now, or what it has to wait for. */
import { holds, type TargetBelief } from "@linkfall/fleet";
import { topNodes } from "@linkfall/rendezvous";
import type { Milliseconds, RequestMetadata } from "@linkfall/types";
import { type Candidate, type Choice, chooseTarget } from "@linkfall/target-choice";
import { longestQueueMs } from "./admission.js";
import type { ForwardContext } from "./forward-context.js";
import { type ForwardedRequest, weightsOf } from "./forwarded-request.js";
import type { StreamPace } from "./stream-pace.js";
import type { WorkCostMeter } from "./work-costs.js";

/** What this box has measured of targets. */
export interface TargetMeters {
  readonly costs: WorkCostMeter;
  readonly pace: StreamPace;
}

export type Pick =
  | {
      readonly kind: "target";
      readonly target: TargetBelief;
      readonly choice: Choice;
      /** Other targets that could serve the request. */
      readonly others: number;
      /** Longest time that the request waits for its permit at a target that has named a limit; absent where none is needed. */
      readonly permitWithinMs?: Milliseconds;
    }
  /** The targets that could serve it have named limits, which are used up. */
  | { readonly kind: "limited"; readonly targets: readonly string[] }
  /** No target holds the weights now. */
  | {
      readonly kind: "weights_missing";
      /** Some target holds the model, and only the adapter is missing. */
      readonly adapterOnly: boolean;
    }
  /** The targets that could serve it have as many connections as they take. */
  | { readonly kind: "no_connection" }
  /** Every target that could serve it has been tried. */
  | { readonly kind: "all_tried" }
  | { readonly kind: "no_target" };

/** The target at which every box looks first for the shared parts of a prompt. */
interface PrefixHome {
  readonly target: string;
  /** Tokens that it is taken to keep. */
  readonly tokens: number;
}

/** Longest time that the most urgent requests wait for a permit; the others leave its end to them. */
const mostUrgentPermitWaitMs: Milliseconds = 2_000;

/** Longest time that the request waits for its permit at a target that has named a limit. */
function longestPermitWaitMs({ priority }: ForwardedRequest, queueMs: Milliseconds): Milliseconds {
  return Math.min(queueMs, mostUrgentPermitWaitMs / (1 + priority));
}

/** What a target is taken to keep of shared parts that other boxes have probably sent there. */
const homeShare = 0.8;

/** Tokens of a prompt that a target has to read, before one is chosen. */
export function probablyUnread({ promptTokens, parts }: RequestMetadata): number {
  const shared = parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(0, promptTokens - shared * homeShare);
}

/** Boxes that know only their own sends meet at the same target for the same shared parts. */
function homeOf(
  { terms }: ForwardedRequest,
  holding: readonly TargetBelief[],
): PrefixHome | undefined {
  const shared = terms.parts.slice(0, -1);
  if (shared.length === 0 || holding.length < 2) return undefined;
  const key = `${weightsOf(terms)},${shared.map((part) => part.id).join(",")}`;
  const [target] = topNodes(
    key,
    holding.map((belief) => belief.listed.id),
    1,
  );
  const tokens = shared.reduce((sum, part) => sum + part.tokens, 0) * homeShare;
  return { target, tokens };
}

function toCandidate(
  belief: TargetBelief,
  request: ForwardedRequest,
  domain: string,
  { costs, pace }: TargetMeters,
  home: PrefixHome | undefined,
): Candidate {
  const { terms } = request;
  const known = belief.prefixes.kept({ weights: weightsOf(terms), parts: terms.parts });
  const kept = belief.listed.id === home?.target ? Math.max(known, home.tokens) : known;
  return {
    id: belief.listed.id,
    slots: belief.listed.slots,
    inFlight: belief.own.inFlight + belief.others.inFlight,
    queuedTokens: belief.own.promptTokens + belief.others.promptTokens,
    unreadTokens: Math.max(0, terms.promptTokens - kept),
    pauseMs: pace.recentMs(belief.listed.id),
    sameDomain: belief.listed.domain === domain,
    costs: costs.of(request.service.name, belief.listed.id),
  };
}

function holdsWeights(belief: TargetBelief, request: ForwardedRequest, now: Milliseconds): boolean {
  const { model, adapter } = request.terms;
  if (!request.service.engine || model === undefined) return true;
  return holds(belief, model, adapter, now);
}

/** Whether a target holds the model of a request for one of its adapters. */
function holdsModel(belief: TargetBelief, { terms }: ForwardedRequest, now: Milliseconds): boolean {
  const { model, adapter } = terms;
  return model !== undefined && adapter !== undefined && holds(belief, model, undefined, now);
}

/** Whether the target takes one more connection; each request at work there has one of its own. */
function takesConnection({ own, others }: TargetBelief, { service }: ForwardedRequest): boolean {
  return own.inFlight + others.inFlight < service.maxConnections;
}

/** Whether the target could serve the request now. */
export function isServing(
  { fleet, clock }: ForwardContext,
  request: ForwardedRequest,
  target: TargetBelief,
): boolean {
  const usable = fleet.usable(request.service.name);
  return usable.includes(target) && holdsWeights(target, request, clock.now());
}

interface ChosenTarget {
  readonly target: TargetBelief;
  readonly choice: Choice;
}

/** The target among these that is expected to answer first. */
function choose(
  context: ForwardContext,
  request: ForwardedRequest,
  targets: readonly TargetBelief[],
  home: PrefixHome | undefined,
): ChosenTarget | undefined {
  const { domain, random } = context;
  const candidates = targets.map((belief) => toCandidate(belief, request, domain, context, home));
  const choice = chooseTarget(candidates, random);
  const target = targets.find((belief) => belief.listed.id === choice?.id);
  return target && choice && { target, choice };
}

/** Whether a limited target is to be tried although others are there, to learn whether its limit still holds. */
function isTrial({ targetLimits }: ForwardContext, { listed: { id } }: TargetBelief): boolean {
  return targetLimits.isTrialDue(id) && !targetLimits.isClosed(id, 0);
}

/**
 * Picks among targets that may all get the request. Those without a limit come first; limited ones are used where there
 * are no others, or all others have queues that are too long.
 */
function pickAmong(
  context: ForwardContext,
  request: ForwardedRequest,
  open: readonly TargetBelief[],
  holding: readonly TargetBelief[],
): Pick {
  const { targetLimits } = context;
  const isLimited = ({ listed }: TargetBelief) => targetLimits.limitOf(listed.id) !== undefined;
  const unlimited = holding.filter((belief) => !isLimited(belief));
  // Shared prompts gather where many requests can follow them.
  const home = homeOf(request, unlimited);
  const queueMs = longestQueueMs(context, request);
  const pickOf = (chosen: ChosenTarget, withinMs: Milliseconds): Pick => {
    const permitWithinMs = isLimited(chosen.target) ? withinMs : undefined;
    return { kind: "target", ...chosen, others: open.length - 1, permitWithinMs };
  };

  const preferred = open.filter((belief) => !isLimited(belief) || isTrial(context, belief));
  const best = choose(context, request, preferred, home);
  if (best && best.choice.expectedMs <= queueMs) return pickOf(best, 0);

  const permitWithinMs = best ? 0 : longestPermitWaitMs(request, queueMs);
  const limited = open.filter(isLimited);
  const askable = limited.filter(({ listed }) => !targetLimits.isClosed(listed.id, permitWithinMs));
  const withPermit = choose(context, request, askable, home);
  if (withPermit) return pickOf(withPermit, permitWithinMs);
  if (best) return pickOf(best, 0);
  return { kind: "limited", targets: limited.map(({ listed }) => listed.id) };
}

/** Picks a target for the request. */
export function pickTarget(context: ForwardContext, request: ForwardedRequest): Pick {
  const now = context.clock.now();
  const usable = context.fleet.usable(request.service.name);
  if (usable.length === 0) return { kind: "no_target" };
  const holding = usable.filter((belief) => holdsWeights(belief, request, now));
  if (holding.length === 0) {
    return {
      kind: "weights_missing",
      adapterOnly: usable.some((one) => holdsModel(one, request, now)),
    };
  }
  const untried = holding.filter(
    ({ listed }) => !request.tried.has(listed.id) && !context.lastTries.avoids(request, listed.id),
  );
  if (untried.length === 0) return { kind: "all_tried" };
  const open = untried.filter((belief) => takesConnection(belief, request));
  if (open.length === 0) return { kind: "no_connection" };
  return pickAmong(context, request, open, holding);
}
