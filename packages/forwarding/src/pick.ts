/** Which target a request goes to now, or what it has to wait for. */
import { hasModelLoaded, type TargetView } from "@linkfall/fleet";
import { topNodes } from "@linkfall/rendezvous";
import type { Milliseconds, RequestMetadata } from "@linkfall/types";
import { type Candidate, type Choice, chooseTarget } from "@linkfall/target-choice";
import { maxQueueMs } from "./admission.js";
import type { ForwardContext } from "./forward-context.js";
import { type ForwardedRequest, weightsKey } from "./forwarded-request.js";
import type { StreamGapMeter } from "./stream-pace.js";
import type { WorkCostMeter } from "./work-costs.js";

/** What this box has measured of targets. */
export interface TargetMeters {
  readonly workCosts: WorkCostMeter;
  readonly streamGaps: StreamGapMeter;
}

export type PickResult =
  | {
      readonly kind: "target";
      readonly target: TargetView;
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
interface PrefixAffinity {
  readonly target: string;
  /** Tokens that it is taken to keep. */
  readonly tokens: number;
}

/** Longest time that the most urgent requests wait for a permit; the others leave its end to them. */
const maxPermitWaitMs: Milliseconds = 2_000;

/** Longest time that the request waits for its permit at a target that has named a limit. */
function permitWaitMs({ priority }: ForwardedRequest, queueMs: Milliseconds): Milliseconds {
  return Math.min(queueMs, maxPermitWaitMs / (1 + priority));
}

/** What a target is taken to keep of shared parts that other boxes have probably sent there. */
const affinityHitRate = 0.8;

/** Tokens of a prompt that a target has to read, before one is chosen. */
export function estimateUncachedTokens({ promptTokens, parts }: RequestMetadata): number {
  const shared = parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(0, promptTokens - shared * affinityHitRate);
}

/** Boxes that know only their own sends meet at the same target for the same shared parts. */
function prefixAffinity(
  { terms }: ForwardedRequest,
  holding: readonly TargetView[],
): PrefixAffinity | undefined {
  const shared = terms.parts.slice(0, -1);
  if (shared.length === 0 || holding.length < 2) return undefined;
  const key = `${weightsKey(terms)},${shared.map((part) => part.id).join(",")}`;
  const [target] = topNodes(
    key,
    holding.map((belief) => belief.listed.id),
    1,
  );
  const tokens = shared.reduce((sum, part) => sum + part.tokens, 0) * affinityHitRate;
  return { target, tokens };
}

function toCandidate(
  target: TargetView,
  request: ForwardedRequest,
  domain: string,
  { workCosts: costs, streamGaps: pace }: TargetMeters,
  affinity: PrefixAffinity | undefined,
): Candidate {
  const { terms } = request;
  const observedTokens = target.prefixIndex.cachedTokens({
    weights: weightsKey(terms),
    parts: terms.parts,
  });
  const kept =
    target.listed.id === affinity?.target
      ? Math.max(observedTokens, affinity.tokens)
      : observedTokens;
  return {
    id: target.listed.id,
    slots: target.listed.slots,
    inFlight: target.ownLoad.inFlight + target.otherBoxesLoad.inFlight,
    queuedPromptTokens: target.ownLoad.promptTokens + target.otherBoxesLoad.promptTokens,
    uncachedTokens: Math.max(0, terms.promptTokens - kept),
    streamGapMs: pace.recentGapMs(target.listed.id),
    sameDomain: target.listed.domain === domain,
    costs: costs.costsAt(request.service.name, target.listed.id),
  };
}

function holdsWeights(target: TargetView, request: ForwardedRequest, now: Milliseconds): boolean {
  const { model, adapter } = request.terms;
  if (!request.service.engine || model === undefined) return true;
  return hasModelLoaded(target, model, adapter, now);
}

/** Whether a target holds the model of a request for one of its adapters. */
function holdsModel(target: TargetView, { terms }: ForwardedRequest, now: Milliseconds): boolean {
  const { model, adapter } = terms;
  return (
    model !== undefined && adapter !== undefined && hasModelLoaded(target, model, undefined, now)
  );
}

/** Whether the target takes one more connection; each request at work there has one of its own. */
function hasFreeConnection(
  { ownLoad: own, otherBoxesLoad: others }: TargetView,
  { service }: ForwardedRequest,
): boolean {
  return own.inFlight + others.inFlight < service.maxConnections;
}

/** Whether the target could serve the request now. */
export function canServe(
  { fleet, clock }: ForwardContext,
  request: ForwardedRequest,
  target: TargetView,
): boolean {
  const usable = fleet.usableTargets(request.service.name);
  return usable.includes(target) && holdsWeights(target, request, clock.now());
}

interface ChosenTarget {
  readonly target: TargetView;
  readonly choice: Choice;
}

/** The target among these that is expected to answer first. */
function chooseAmong(
  context: ForwardContext,
  request: ForwardedRequest,
  targets: readonly TargetView[],
  affinity: PrefixAffinity | undefined,
): ChosenTarget | undefined {
  const { domain, random } = context;
  const candidates = targets.map((belief) =>
    toCandidate(belief, request, domain, context, affinity),
  );
  const choice = chooseTarget(candidates, random);
  const target = targets.find((belief) => belief.listed.id === choice?.id);
  return target && choice && { target, choice };
}

/** Whether a limited target is to be tried although others are there, to learn whether its limit still holds. */
function isLimitTrialDue(
  { targetLimits }: ForwardContext,
  { listed: { id } }: TargetView,
): boolean {
  return targetLimits.isProbeDue(id) && !targetLimits.isExhausted(id, 0);
}

/**
 * Picks among targets that may all get the request. Those without a limit come first; limited ones are used where there
 * are no others, or all others have queues that are too long.
 */
function pickAmong(
  context: ForwardContext,
  request: ForwardedRequest,
  open: readonly TargetView[],
  holding: readonly TargetView[],
): PickResult {
  const { targetLimits } = context;
  const isLimited = ({ listed }: TargetView) => targetLimits.limitOf(listed.id) !== undefined;
  const unlimited = holding.filter((belief) => !isLimited(belief));
  // Shared prompts gather where many requests can follow them.
  const affinity = prefixAffinity(request, unlimited);
  const queueMs = maxQueueMs(context, request);
  const toPick = (chosen: ChosenTarget, maxWaitMs: Milliseconds): PickResult => {
    const permitWithinMs = isLimited(chosen.target) ? maxWaitMs : undefined;
    return { kind: "target", ...chosen, others: open.length - 1, permitWithinMs };
  };

  const preferred = open.filter((belief) => !isLimited(belief) || isLimitTrialDue(context, belief));
  const best = chooseAmong(context, request, preferred, affinity);
  if (best && best.choice.expectedStartMs <= queueMs) return toPick(best, 0);

  const permitWithinMs = best ? 0 : permitWaitMs(request, queueMs);
  const limited = open.filter(isLimited);
  const permitCandidates = limited.filter(
    ({ listed }) => !targetLimits.isExhausted(listed.id, permitWithinMs),
  );
  const limitedChoice = chooseAmong(context, request, permitCandidates, affinity);
  if (limitedChoice) return toPick(limitedChoice, permitWithinMs);
  if (best) return toPick(best, 0);
  return { kind: "limited", targets: limited.map(({ listed }) => listed.id) };
}

/** Picks a target for the request. */
export function pickTarget(context: ForwardContext, request: ForwardedRequest): PickResult {
  const now = context.clock.now();
  const usable = context.fleet.usableTargets(request.service.name);
  if (usable.length === 0) return { kind: "no_target" };
  const holding = usable.filter((belief) => holdsWeights(belief, request, now));
  if (holding.length === 0) {
    return {
      kind: "weights_missing",
      adapterOnly: usable.some((one) => holdsModel(one, request, now)),
    };
  }
  const untried = holding.filter(
    ({ listed }) =>
      !request.triedTargets.has(listed.id) && !context.finalAttempts.mustAvoid(request, listed.id),
  );
  if (untried.length === 0) return { kind: "all_tried" };
  const open = untried.filter((belief) => hasFreeConnection(belief, request));
  if (open.length === 0) return { kind: "no_connection" };
  return pickAmong(context, request, open, holding);
}
