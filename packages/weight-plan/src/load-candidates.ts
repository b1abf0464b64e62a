/** Selects the models worth loading, ordered by how many requests they help. */
import type { DeclaredModel, Milliseconds } from "@linkfall/types";
import { countReplicas } from "./eviction-cost.js";
import type { DemandView, EngineView } from "./engine-view.js";
import type { PlanInput, WeightMove } from "./plan-input.js";
import { withServingReplicas } from "./rate-limited-engines.js";

/** A model that the planner considers loading. */
export interface LoadCandidate {
  readonly model: DeclaredModel;
  readonly reason: WeightMove["reason"];
  /** Number of requests helped, weighted; higher values are planned first. */
  readonly priority: number;
  /** Software version of the only engines where the load is useful; absent if any are. */
  readonly softwareVersion?: string;
  /** Maximum time until the model must be ready for the load to be useful. */
  readonly maxReadyMs?: Milliseconds;
  /** Running requests per replica at the target load. */
  readonly targetInFlight: number;
}

/** Weight of a waiting request compared with one on an overloaded replica. */
const waitingWeight = 3;
/** Priority of models without waiting requests, below any model that has some. */
const standbyWeight = 0.1;
/** Requests expected within this time count as waiting; about the time of a load from disk. */
const rateWindowSeconds = 1;
/** Minimum demand that justifies a load; less remains from a request that has just been served. */
const minPendingRequests = 1;
/**
 * Minimum time that a second load must save over one in progress; about the time of a load from
 * disk.
 */
const minTimeSavedMs: Milliseconds = 1_500;
/** Refused requests per second, weighted, that justify a load; fewer may come from one short burst. */
const minRefusedRequests = 1;
/** Limit on concurrent loads of one model whose requests are not refused. */
const maxConcurrentLoads = 2;
/** Refused requests per second, weighted, that justify one further concurrent load; about what one replica serves. */
const refusedPerLoad = 8;
/** Limit on candidates per plan; the rest is considered in the next cycle. */
const maxCandidates = 32;

/** Where models are loaded, cached or being loaded, computed once per plan. */
interface ModelAvailability {
  readonly replicaCounts: Map<string, number>;
  /** Sum of the relative speeds of the engines that hold a model; a replica on a slow engine serves less. */
  readonly replicaSpeeds: ReadonlyMap<string, number>;
  /** Models that an engine has cached or is loading. */
  readonly reachable: ReadonlySet<string>;
  /** Loads in progress, by model. */
  readonly pendingLoads: ReadonlyMap<string, PendingLoads>;
}

/** Loads in progress of one model. */
interface PendingLoads {
  readonly count: number;
  /** Time until the first one finishes. */
  readonly firstReadyMs: Milliseconds;
}

const noPendingLoads: PendingLoads = { count: 0, firstReadyMs: Infinity };

function sumReplicaSpeeds(engines: readonly EngineView[]): ReadonlyMap<string, number> {
  const speeds = new Map<string, number>();
  for (const { residents, unloadingModel, loadingModel, relativeSpeed } of engines) {
    const names = new Set(residents.map(({ name }) => name));
    if (loadingModel !== undefined) names.add(loadingModel);
    if (unloadingModel !== undefined) names.delete(unloadingModel);
    for (const name of names) speeds.set(name, (speeds.get(name) ?? 0) + relativeSpeed);
  }
  return speeds;
}

/** Counts replicas and loads in progress over all engines. */
export function summarizeAvailability({
  engines,
  demand,
}: Pick<PlanInput, "engines" | "demand">): ModelAvailability {
  const reachable = new Set<string>();
  const pendingLoads = new Map<string, PendingLoads>();
  for (const { cachedInMemory, cachedOnDisk, loadingModel, availableInMs } of engines) {
    for (const name of cachedInMemory) reachable.add(name);
    for (const name of cachedOnDisk) reachable.add(name);
    if (loadingModel === undefined) continue;
    reachable.add(loadingModel);
    const { count, firstReadyMs } = pendingLoads.get(loadingModel) ?? noPendingLoads;
    pendingLoads.set(loadingModel, {
      count: count + 1,
      firstReadyMs: Math.min(firstReadyMs, availableInMs),
    });
  }
  const serving = withServingReplicas(engines, demand);
  return {
    replicaCounts: countReplicas(serving),
    replicaSpeeds: sumReplicaSpeeds(serving),
    reachable,
    pendingLoads,
  };
}

/**
 * How far the replicas of a model are above the target load; undefined if they are not. Requests that are refused at once
 * never run, so that a model whose engines are occupied by other models shows little load of its own.
 */
function replicaOverload(
  { rules }: PlanInput,
  demand: DemandView,
  replicas: number,
  replicaSpeed: number,
): Pick<LoadCandidate, "priority" | "targetInFlight"> | undefined {
  if (replicas === 0) return undefined;
  const load = demand.engineLoad / replicaSpeed;
  const refused = (demand.refused ?? 0) * rules.refusalWeight;
  const isAboveTarget = load > rules.targetReplicaLoad;
  if (!isAboveTarget && refused < minRefusedRequests) return undefined;
  const inFlightPerReplica = demand.inFlight / replicas;
  const targetInFlight = isAboveTarget
    ? (inFlightPerReplica * rules.targetReplicaLoad) / load
    : inFlightPerReplica;
  return { priority: inFlightPerReplica - targetInFlight + refused, targetInFlight };
}

function createCandidate(
  input: PlanInput,
  { replicaCounts, replicaSpeeds, reachable, pendingLoads }: ModelAvailability,
  model: DeclaredModel,
): LoadCandidate | undefined {
  const demand = input.demand.get(model.name);
  const replicas = replicaCounts.get(model.name) ?? 0;
  const { count: loadCount, firstReadyMs } = pendingLoads.get(model.name) ?? noPendingLoads;
  // Includes the request rate: urgent requests are refused instead of queued, so waiting requests
  // alone would underestimate the demand for urgent models. Counted alone, they left out a model with
  // 320 refused requests for 7 s while engines swapped rarely used ones.
  const pendingRequests = demand ? demand.waiting + demand.rate * rateWindowSeconds : 0;
  if (pendingRequests >= minPendingRequests && replicas <= loadCount) {
    // A second load is only useful if it finishes well before the one in progress.
    const maxReadyMs = firstReadyMs - minTimeSavedMs;
    const priority = pendingRequests * waitingWeight;
    return {
      model,
      reason: "waiting",
      priority,
      targetInFlight: 0,
      maxReadyMs,
    };
  }
  const replicaSpeed = replicaSpeeds.get(model.name) ?? replicas;
  const overload = demand && replicaOverload(input, demand, replicas, replicaSpeed);
  // Limits concurrent loads: requests queued behind a load do not justify more replicas, refused ones do.
  const refused = (demand?.refused ?? 0) * input.rules.refusalWeight;
  const maxLoads = Math.max(maxConcurrentLoads, Math.ceil(refused / refusedPerLoad));
  if (overload && loadCount < maxLoads) return { model, reason: "demand", ...overload };
  if (replicas === 0 && input.demand.size === 0 && reachable.has(model.name)) {
    return { model, reason: "standby", priority: standbyWeight, targetInFlight: 0 };
  }
  if (replicas === 0 && demand && demand.objectiveMs < model.loadFromDiskMs) {
    return { model, reason: "standby", priority: standbyWeight, targetInFlight: 0 };
  }
  if (replicas === 0 && !reachable.has(model.name)) {
    return { model, reason: "unreachable", priority: 0, targetInFlight: 0 };
  }
  return undefined;
}

/** Whether an engine of the software version has loaded the model, or is about to. */
function isHeldAtVersion(
  { engines }: PlanInput,
  { name }: DeclaredModel,
  softwareVersion: string,
): boolean {
  return engines.some(
    (engine) =>
      engine.softwareVersion === softwareVersion &&
      (engine.loadingModel === name ||
        (engine.unloadingModel !== name &&
          engine.residents.some((resident) => resident.name === name))),
  );
}

/** Loads for requests that only engines of one software version may serve, and of which none has the model. */
function createConfinedCandidates(
  input: PlanInput,
  model: DeclaredModel,
): readonly LoadCandidate[] {
  const waiting = input.demand.get(model.name)?.waitingAtVersion ?? new Map<string, number>();
  return [...waiting]
    .filter(([softwareVersion]) => !isHeldAtVersion(input, model, softwareVersion))
    .map(([softwareVersion, requests]) => ({
      model,
      reason: "waiting",
      priority: requests * waitingWeight,
      targetInFlight: 0,
      softwareVersion,
    }));
}

const toList = <T>(value: T | undefined): readonly T[] => (value === undefined ? [] : [value]);

/** Returns the models to consider for loading, highest priority first. */
export function selectCandidates(
  input: PlanInput,
  availability: ModelAvailability,
): readonly LoadCandidate[] {
  const candidates = [...input.models.values()].flatMap((model) => [
    ...toList(createCandidate(input, availability, model)),
    ...createConfinedCandidates(input, model),
  ]);
  const urgent = candidates.filter(
    (candidate) => candidate.reason !== "unreachable" || input.demand.size === 0,
  );
  // Loads of uncached models without demand are only planned when nothing else is pending.
  const selected = urgent.length > 0 ? urgent : candidates;
  const sorted = [...selected].sort((left, right) => right.priority - left.priority);
  return sorted.slice(0, maxCandidates);
}
