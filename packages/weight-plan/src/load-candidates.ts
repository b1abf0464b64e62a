/** Which models a plan would bring in, those that help most requests first. */
import type { DeclaredModel, Milliseconds } from "@linkfall/types";
import { countReplicas } from "./eviction-cost.js";
import { withServingReplicas } from "./rate-limited-engines.js";
import type { PlanInput, WeightMove } from "./plan-input.js";

/** A model that is to come in. */
export interface LoadCandidate {
  readonly model: DeclaredModel;
  readonly reason: WeightMove["reason"];
  /** Requests that it would help; higher comes first. */
  readonly priority: number;
  /** The load has to be there within this time. */
  readonly maxReadyMs?: Milliseconds;
  /** Requests at work that the replicas there carry as they should, each. */
  readonly targetInFlight: number;
}

/** A request that waits for a model counts as many that share a replica with too many others. */
const waitingWeight = 3;
/** A model that nobody waits for yet comes after those that somebody waits for. */
const standbyWeight = 0.1;
/** Requests that come within this time count as those that wait: about what a load from disk takes. */
const rateWindowSeconds = 1;
/** Fewer than this are a request that has just been served. */
const minPendingRequests = 1;
/** A load beside one that is on its way has to be there this much sooner: about what a load from disk takes
 * of its engine. */
const minTimeSavedMs: Milliseconds = 1_500;
/** Replicas of one model that may be on their way at once. */
const maxConcurrentLoads = 2;
/** Wishes of one plan: the others come with the next ones, some tens of milliseconds later. */
const maxCandidates = 32;

/** Where models are over all engines, counted once for a whole plan. */
interface ModelAvailability {
  readonly replicaCounts: Map<string, number>;
  /** Models that some engine has at hand, or that are on their way. */
  readonly reachable: ReadonlySet<string>;
  /** Loads on their way, by model. */
  readonly pendingLoads: ReadonlyMap<string, PendingLoads>;
}

/** Loads of one model that are on their way. */
interface PendingLoads {
  readonly count: number;
  /** Time until the first of them is there. */
  readonly firstReadyMs: Milliseconds;
}

const noPendingLoads: PendingLoads = { count: 0, firstReadyMs: Infinity };

/** Counts copies and loads over all engines. */
export function summarizeAvailability({
  engines,
  demand: needs,
}: Pick<PlanInput, "engines" | "needs">): ModelAvailability {
  const atHand = new Set<string>();
  const coming = new Map<string, PendingLoads>();
  for (const {
    cachedInMemory: inMemory,
    cachedOnDisk: onDisk,
    loadingModel: incoming,
    availableInMs: freeInMs,
  } of engines) {
    for (const name of inMemory) atHand.add(name);
    for (const name of onDisk) atHand.add(name);
    if (incoming === undefined) continue;
    atHand.add(incoming);
    const { count, firstReadyMs: firstMs } = coming.get(incoming) ?? noPendingLoads;
    coming.set(incoming, { count: count + 1, firstReadyMs: Math.min(firstMs, freeInMs) });
  }
  return {
    replicaCounts: countReplicas(withServingReplicas(engines, needs)),
    reachable: atHand,
    pendingLoads: coming,
  };
}

function createCandidate(
  input: PlanInput,
  { replicaCounts: copies, reachable: atHand, pendingLoads: coming }: ModelAvailability,
  model: DeclaredModel,
): LoadCandidate | undefined {
  const need = input.demand.get(model.name);
  const have = copies.get(model.name) ?? 0;
  const { count: loading, firstReadyMs: firstMs } = coming.get(model.name) ?? noPendingLoads;
  // Boxes refuse what cannot wait, so that those who wait are the fewer the more urgent a model is: counted
  // alone, a model with 320 refused requests was left out for 7 s while engines swapped rarely used ones.
  const asking = need ? need.waiting + need.rate * rateWindowSeconds : 0;
  if (asking >= minPendingRequests && have <= loading) {
    // While a slow load is on its way, one that is there much sooner is worth as much as the first.
    const withinMs = firstMs - minTimeSavedMs;
    const weight = asking * waitingWeight;
    return { model, reason: "waiting", priority: weight, targetInFlight: 0, maxReadyMs: withinMs };
  }
  const load = need && have > 0 ? need.engineLoad / have : 0;
  // Requests that pile up during loads are no demand for ever more replicas.
  if (need && load > input.rules.targetReplicaLoad && loading < maxConcurrentLoads) {
    const atWork = need.inFlight / have;
    const carried = (atWork * input.rules.targetReplicaLoad) / load;
    return { model, reason: "demand", priority: atWork - carried, targetInFlight: carried };
  }
  if (have === 0 && input.demand.size === 0 && atHand.has(model.name)) {
    return { model, reason: "standby", priority: standbyWeight, targetInFlight: 0 };
  }
  if (have === 0 && need && need.objectiveMs < model.loadFromDiskMs) {
    return { model, reason: "standby", priority: standbyWeight, targetInFlight: 0 };
  }
  if (have === 0 && !atHand.has(model.name)) {
    return { model, reason: "unreachable", priority: 0, targetInFlight: 0 };
  }
  return undefined;
}

/** Models that a plan would bring in, the most pressing first. */
export function selectCandidates(
  input: PlanInput,
  where: ModelAvailability,
): readonly LoadCandidate[] {
  const wishes = [...input.models.values()].flatMap(
    (model) => createCandidate(input, where, model) ?? [],
  );
  const pressing = wishes.filter(
    (wish) => wish.reason !== "unreachable" || input.demand.size === 0,
  );
  // A slow load for nobody yet must not hold an engine that others need soon.
  const chosen = pressing.length > 0 ? pressing : wishes;
  const sorted = [...chosen].sort((left, right) => right.priority - left.priority);
  return sorted.slice(0, maxCandidates);
}
