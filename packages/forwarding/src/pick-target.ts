/** Picks the target of a request, or returns the reason why it cannot be sent now. */
import type { EngineSpeeds } from "@linkfall/engine-speed";
import { hasModelLoaded, type TargetView } from "@linkfall/fleet";
import { topNodes } from "@linkfall/rendezvous";
import type { Milliseconds, RequestMetadata } from "@linkfall/types";
import {
  type Candidate,
  type Choice,
  chooseBySampling,
  chooseTarget,
} from "@linkfall/target-choice";
import { maxQueueMs } from "./admission.js";
import { additionalPauseMs } from "./engine-slowness.js";
import type { ForwardContext } from "./forward-context.js";
import { type ForwardedRequest, weightsKey } from "./forwarded-request.js";
import type { StreamGapMeter } from "./stream-gap-meter.js";
import type { WorkCostMeter } from "./work-cost-meter.js";

/** Measurements of targets by this box. */
export interface TargetMeters {
  readonly workCosts: WorkCostMeter;
  readonly streamGaps: StreamGapMeter;
  /** Speeds of engines that all boxes learn together; absent if they are not learned. */
  readonly engineSpeeds?: EngineSpeeds;
}

export type PickResult =
  | {
      readonly kind: "target";
      readonly target: TargetView;
      readonly choice: Choice;
      /** Other targets that could serve the request. */
      readonly alternatives: number;
      /** All targets that could serve the request. */
      readonly eligible: readonly TargetView[];
      /** Maximum wait for a permit of a rate-limited target; absent if no permit is needed. */
      readonly permitWaitMs?: Milliseconds;
    }
  /** All targets that could serve the request are rate-limited and have no permits left. */
  | { readonly kind: "limited"; readonly targets: readonly string[] }
  /** No target has the weights loaded. */
  | {
      readonly kind: "weights_missing";
      /** Some target has the model loaded and lacks only the adapter. */
      readonly onlyAdapterMissing: boolean;
    }
  /** All targets that could serve the request have asked for a rest. */
  | {
      readonly kind: "resting";
      /** Time until the first of them accepts a request. */
      readonly acceptsInMs: Milliseconds;
      /** Number of requests that may wait for them. */
      readonly places: number;
    }
  /** All targets that could serve the request are fragile and have no place left. */
  | { readonly kind: "no_place" }
  /** All targets that could serve the request are at their connection limit, or have no room for its body. */
  | { readonly kind: "no_connection" }
  /** Every target that could serve the request has been tried. */
  | { readonly kind: "all_tried" }
  | { readonly kind: "no_target" }
  /** No target accepts requests of the software version that began the stream, or that version is in doubt. */
  | { readonly kind: "no_version" };

/** The target that all boxes prefer for the shared leading parts of a prompt. */
interface PrefixAffinity {
  readonly target: string;
  /** Estimated number of shared tokens in its prefix cache. */
  readonly tokens: number;
}

/** Maximum wait for a permit at the highest priority; lower priorities wait for a fraction of it. */
const maxPermitWaitMs: Milliseconds = 2_000;

/** Maximum time that the request waits for a permit of a rate-limited target. */
function permitWaitLimitMs({ priority }: ForwardedRequest, queueMs: Milliseconds): Milliseconds {
  return Math.min(queueMs, maxPermitWaitMs / (1 + priority));
}

/** Estimated fraction of the shared parts that the preferred target has cached. */
const affinityHitRate = 0.8;

/** Estimated prompt tokens that need prefill, before a target is chosen. */
export function estimateUncachedTokens({ promptTokens, parts }: RequestMetadata): number {
  const shared = parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(0, promptTokens - shared * affinityHitRate);
}

/** Selects the preferred target by rendezvous hashing, so that all boxes agree without communication. */
function prefixAffinity(
  { terms }: ForwardedRequest,
  loaded: readonly TargetView[],
): PrefixAffinity | undefined {
  const shared = terms.parts.slice(0, -1);
  if (shared.length === 0 || loaded.length < 2) return undefined;
  const key = `${weightsKey(terms)},${shared.map((part) => part.id).join(",")}`;
  const [target] = topNodes(
    key,
    loaded.map((candidate) => candidate.listed.id),
    1,
  );
  const tokens = shared.reduce((sum, part) => sum + part.tokens, 0) * affinityHitRate;
  return { target, tokens };
}

function toCandidate(
  target: TargetView,
  request: ForwardedRequest,
  domain: string,
  { workCosts, streamGaps, engineSpeeds }: TargetMeters,
  affinity: PrefixAffinity | undefined,
): Candidate {
  const { terms } = request;
  const observedTokens = target.prefixIndex.cachedTokens({
    weights: weightsKey(terms),
    parts: terms.parts,
  });
  const cachedTokens =
    target.listed.id === affinity?.target
      ? Math.max(observedTokens, affinity.tokens)
      : observedTokens;
  return {
    id: target.listed.id,
    slots: target.listed.slots,
    inFlight: target.ownLoad.inFlight + target.otherBoxesLoad.inFlight,
    queuedPromptTokens: target.ownLoad.promptTokens + target.otherBoxesLoad.promptTokens,
    uncachedTokens: Math.max(0, terms.promptTokens - cachedTokens),
    streamGapMs:
      streamGaps.recentGapMs(target.listed.id) + additionalPauseMs(engineSpeeds, target.listed.id),
    sameDomain: target.listed.domain === domain,
    costs: workCosts.costsAt(request.service.name, target.listed.id),
  };
}

function holdsWeights(target: TargetView, request: ForwardedRequest, now: Milliseconds): boolean {
  const { model, adapter } = request.terms;
  if (!request.service.engine || model === undefined) return true;
  return hasModelLoaded(target, model, adapter, now);
}

/** Whether the target has the base model loaded for a request that names an adapter. */
function holdsModel(target: TargetView, { terms }: ForwardedRequest, now: Milliseconds): boolean {
  const { model, adapter } = terms;
  return (
    model !== undefined && adapter !== undefined && hasModelLoaded(target, model, undefined, now)
  );
}

/** Whether the target accepts another connection; each running request has its own. */
function hasFreeConnection(
  { ownLoad: own, otherBoxesLoad: others }: TargetView,
  { service }: ForwardedRequest,
): boolean {
  return own.inFlight + others.inFlight < service.maxConnections;
}

/** Software version of the only targets at which the stream of the request may go on; undefined for any. */
function boundVersion({ streamPosition }: ForwardedRequest): string | undefined {
  return streamPosition.boundTo?.softwareVersion;
}

/** Whether the request may still be sent to the target, which was eligible when it was picked. */
export function isStillEligible(
  context: ForwardContext,
  request: ForwardedRequest,
  target: TargetView,
): boolean {
  return (
    canServe(context, request, target) &&
    !context.finalAttempts.mustAvoid(request, target.listed.id) &&
    hasFreeConnection(target, request)
  );
}

/** Whether the target is usable and has the weights of the request loaded. */
export function canServe(
  { fleet, clock }: ForwardContext,
  request: ForwardedRequest,
  target: TargetView,
): boolean {
  const usable = fleet.usableTargets(request.service.name, boundVersion(request));
  return usable.includes(target) && holdsWeights(target, request, clock.now());
}

interface ChosenTarget {
  readonly target: TargetView;
  readonly choice: Choice;
}

/** Chooses the target with the earliest expected response. */
function chooseAmong(
  context: ForwardContext,
  request: ForwardedRequest,
  targets: readonly TargetView[],
  affinity: PrefixAffinity | undefined,
): ChosenTarget | undefined {
  const { domain, random } = context;
  const candidates = targets.map((target) =>
    toCandidate(target, request, domain, context, affinity),
  );
  const loadData = context.sampledLoadData?.();
  const choice = loadData
    ? chooseBySampling(candidates, loadData, random)
    : chooseTarget(candidates, random);
  const target = targets.find((candidate) => candidate.listed.id === choice?.id);
  return target && choice && { target, choice };
}

/** Whether a rate-limited target is due for a trial request that checks whether its limit still applies. */
function isLimitTrialDue(
  { targetLimits }: ForwardContext,
  { listed: { id } }: TargetView,
): boolean {
  return targetLimits.isProbeDue(id) && !targetLimits.isExhausted(id, 0);
}

/**
 * Picks among the eligible targets. Rate-limited targets are used only if there are no others, or if all others have
 * queues that are too long.
 */
function pickAmong(
  context: ForwardContext,
  request: ForwardedRequest,
  eligible: readonly TargetView[],
  loaded: readonly TargetView[],
): PickResult {
  const { targetLimits } = context;
  const isLimited = ({ listed }: TargetView) => targetLimits.limitOf(listed.id) !== undefined;
  const unlimited = loaded.filter((target) => !isLimited(target));
  // Prefix affinity prefers unlimited targets, which can take further requests with the same prefix.
  const affinity = prefixAffinity(request, unlimited);
  const queueMs = maxQueueMs(context, request);
  const toPick = (chosen: ChosenTarget, maxWaitMs: Milliseconds): PickResult => {
    const permitWaitMs = isLimited(chosen.target) ? maxWaitMs : undefined;
    const alternatives = eligible.length - 1;
    return { kind: "target", ...chosen, alternatives, eligible, permitWaitMs };
  };

  const preferred = eligible.filter(
    (target) => !isLimited(target) || isLimitTrialDue(context, target),
  );
  const best = chooseAmong(context, request, preferred, affinity);
  if (best && best.choice.expectedStartMs <= queueMs) return toPick(best, 0);

  const permitWaitMs = best ? 0 : permitWaitLimitMs(request, queueMs);
  const limited = eligible.filter(isLimited);
  const permitCandidates = limited.filter(
    ({ listed }) => !targetLimits.isExhausted(listed.id, permitWaitMs),
  );
  const limitedChoice = chooseAmong(context, request, permitCandidates, affinity);
  if (limitedChoice) return toPick(limitedChoice, permitWaitMs);
  if (best) return toPick(best, 0);
  return { kind: "limited", targets: limited.map(({ listed }) => listed.id) };
}

/** Returns when the resting targets with the weights of the request accept one; undefined if there are none. */
function pickResting(
  { fleet, clock }: ForwardContext,
  request: ForwardedRequest,
): PickResult | undefined {
  const resting = fleet
    .restingTargets(request.service.name, boundVersion(request))
    .filter(({ target }) => holdsWeights(target, request, clock.now()));
  if (resting.length === 0) return undefined;
  return {
    kind: "resting",
    acceptsInMs: Math.min(...resting.map(({ acceptsInMs }) => acceptsInMs)),
    places: resting.reduce((sum, { target }) => sum + target.listed.slots, 0),
  };
}

/** Picks a target for the request among the usable targets of its service. */
export function pickTarget(context: ForwardContext, request: ForwardedRequest): PickResult {
  const now = context.clock.now();
  const { boundTo } = request.streamPosition;
  if (boundTo && boundTo.softwareVersion === undefined) return { kind: "no_version" };
  const usable = context.fleet.usableTargets(request.service.name, boundVersion(request));
  const loaded = usable.filter((target) => holdsWeights(target, request, now));
  if (loaded.length === 0) {
    const resting = pickResting(context, request);
    if (resting) return resting;
    if (usable.length === 0) return { kind: boundTo ? "no_version" : "no_target" };
    return {
      kind: "weights_missing",
      onlyAdapterMissing: usable.some((target) => holdsModel(target, request, now)),
    };
  }
  const untried = loaded.filter(
    ({ listed }) =>
      !request.triedTargets.has(listed.id) && !context.finalAttempts.mustAvoid(request, listed.id),
  );
  if (untried.length === 0) return { kind: "all_tried" };
  const connectable = untried.filter(
    (target) =>
      hasFreeConnection(target, request) &&
      context.targetBodies.hasRoom(target.listed.id, request.body.length),
  );
  if (connectable.length === 0) return { kind: "no_connection" };
  const eligible = connectable.filter(
    ({ listed: { id } }) =>
      !request.targetsWithoutPlace.has(id) && !context.fragileTargets.isFull(id),
  );
  if (eligible.length === 0) return { kind: "no_place" };
  return pickAmong(context, request, eligible, loaded);
}
