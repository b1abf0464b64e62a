/** Selects the engine on which to load a model, and the models to evict for it. */
import type { DeclaredModel, Mebibytes, Milliseconds } from "@linkfall/types";
import {
  type DemandView,
  type EngineView,
  type LoadSource,
  loadSourceOf,
  loadTimeMs,
  usedMb,
} from "./engine-view.js";
import { evictionCostMs, initialLastReplicaCostMs, lastReplicaCostMs } from "./eviction-cost.js";
import type { LoadCandidate } from "./load-candidates.js";
import type { PlanInput } from "./plan-input.js";

/** Factor on the waiting time for a busy engine, which may get other work before it is idle. */
const busyEngineFactor = 2;
/** Penalty that makes a rate-limited engine the last choice. */
const rateLimitedPenaltyMs: Milliseconds = 60_000;
/** Penalty per request running on the engine. */
const inFlightPenaltyMs: Milliseconds = 20;
/** Benefit of loading a model that no engine has cached. */
const unreachableBenefitMs: Milliseconds = 150;
/**
 * A standby model must be worth this many times its victims, to prevent models from evicting each
 * other in turn.
 */
const standbyMargin = 2;
/** Limit on running requests for an engine to take a load without current demand. */
const maxQuietInFlight = 6;
/** Weight store loads reserved for models with waiting requests. */
const reservedStoreLoads = 3;
/** Benefit of another replica per running request above the target load. */
const replicaBenefitMs: Milliseconds = 250;

/** A possible load of a model on one engine. */
export interface LoadPlacement {
  readonly engine: EngineView;
  readonly source: LoadSource;
  readonly victims: readonly string[];
  /** Cost of evicting the victims, in milliseconds of delay to their requests. */
  readonly evictionCostMs: number;
  /** Time until the model is ready. */
  readonly readyMs: Milliseconds;
}

/** A resident model that could be evicted. */
interface EvictableResident {
  readonly name: string;
  /** Cost of the eviction, in milliseconds of delay to its requests. */
  readonly evictionCostMs: number;
  readonly memoryMb: Mebibytes;
}

/** Free memory of an engine and its resident models as eviction options. */
interface EvictionOptions {
  readonly freeMb: Mebibytes;
  /** Sorted by eviction cost, lowest first. */
  readonly residents: readonly EvictableResident[];
}

/**
 * Caches the eviction options of each engine for one plan. They are not computed again for each
 * candidate, because the box does nothing else while it plans.
 */
export interface EvictionOptionsCache {
  optionsFor(engine: EngineView): EvictionOptions;
  /**
   * Discards the options of engines that hold these models, after their replica counts have
   * changed.
   */
  invalidate(models: ReadonlySet<string>): void;
}

function listEvictionOptions(
  input: PlanInput,
  replicaCounts: ReadonlyMap<string, number>,
  engine: EngineView,
): EvictionOptions {
  const residents = engine.residents.flatMap(({ name, adapters }) => {
    const model = input.models.get(name);
    if (!model) return [];
    const costMs = evictionCostMs(input, replicaCounts, engine, name);
    return [
      {
        name,
        evictionCostMs: costMs,
        memoryMb: model.memoryMb + adapters.length * model.adapterMb,
      },
    ];
  });
  return {
    freeMb: engine.memoryMb - usedMb(engine, input.models),
    residents: residents.sort((left, right) => left.evictionCostMs - right.evictionCostMs),
  };
}

/** Creates the cache for one plan; the plan updates `replicaCounts` as it proceeds. */
export function createEvictionOptionsCache(
  input: PlanInput,
  replicaCounts: ReadonlyMap<string, number>,
): EvictionOptionsCache {
  const optionsByEngine = new Map<string, EvictionOptions>();
  return {
    optionsFor(engine) {
      const options =
        optionsByEngine.get(engine.id) ?? listEvictionOptions(input, replicaCounts, engine);
      optionsByEngine.set(engine.id, options);
      return options;
    },
    invalidate(models) {
      for (const [id, { residents }] of optionsByEngine) {
        if (residents.some(({ name }) => models.has(name))) optionsByEngine.delete(id);
      }
    },
  };
}

/** Selects the cheapest victims that free enough memory; undefined if the model does not fit. */
function findPlacement(
  evictionOptions: EvictionOptionsCache,
  engine: EngineView,
  model: DeclaredModel,
): LoadPlacement | undefined {
  if (engine.loadingModel === model.name) return undefined;
  if (engine.residents.some((resident) => resident.name === model.name)) return undefined;
  const { freeMb, residents } = evictionOptions.optionsFor(engine);
  let availableMb = freeMb;
  let totalCostMs = 0;
  const victims: string[] = [];
  for (const resident of residents) {
    if (availableMb >= model.memoryMb) break;
    victims.push(resident.name);
    totalCostMs += resident.evictionCostMs;
    availableMb += resident.memoryMb;
  }
  if (availableMb < model.memoryMb || !Number.isFinite(totalCostMs)) return undefined;
  const source = loadSourceOf(engine, model.name);
  return {
    engine,
    source,
    victims,
    evictionCostMs: totalCostMs,
    readyMs: engine.availableInMs + loadTimeMs(source, model),
  };
}

/** Returns whether the benefit of the load exceeds the cost of its evictions. */
function isWorthwhile(
  input: PlanInput,
  candidate: LoadCandidate,
  placement: LoadPlacement,
): boolean {
  switch (candidate.reason) {
    case "waiting":
      return true;
    case "demand":
      if (placement.engine.maxRequestsPerSecond !== undefined) return false;
      return (
        placement.evictionCostMs <
        (candidate.priority + candidate.targetInFlight / 2) * replicaBenefitMs
      );
    case "standby":
      if (input.demand.size === 0) return placement.evictionCostMs < initialLastReplicaCostMs;
      return (
        placement.evictionCostMs * standbyMargin < lastReplicaCostMs(input, candidate.model.name)
      );
    case "unreachable":
      return (
        placement.evictionCostMs < unreachableBenefitMs &&
        placement.engine.inFlight <= maxQuietInFlight
      );
  }
}

/**
 * Penalty for a frequently requested model on an engine of half the median speed. Streams of a slow engine pause while it
 * prefills the prompts of others; rarely requested models leave the fast engines to those that many callers need.
 */
const slowEnginePenaltyMs: Milliseconds = 500;
/** Requests per second from which the whole penalty applies. */
const frequentRate = 2;

function speedPenaltyMs({ relativeSpeed }: EngineView, demand: DemandView | undefined): number {
  const slowness = Math.max(0, 1 / relativeSpeed - 1);
  return slowness * slowEnginePenaltyMs * Math.min(1, (demand?.rate ?? 0) / frequentRate);
}

function placementCostMs(placement: LoadPlacement, demand: DemandView | undefined): number {
  const waitPenaltyMs = placement.engine.availableInMs * (busyEngineFactor - 1);
  const limitPenaltyMs =
    placement.engine.maxRequestsPerSecond === undefined ? 0 : rateLimitedPenaltyMs;
  return (
    placement.readyMs +
    waitPenaltyMs +
    placement.evictionCostMs +
    placement.engine.inFlight * inFlightPenaltyMs +
    speedPenaltyMs(placement.engine, demand) +
    limitPenaltyMs
  );
}

/**
 * Fraction of engines that may run deferrable store loads at the same time. Without this limit, store
 * loads occupied eight engines for 86 % of the time.
 */
const maxDeferrableLoadShare = 0.25;

/** Returns whether a store load would finish too late for the callers that wait for it. */
function isTooLateForCallers({ model, objectiveMs }: DemandView): boolean {
  return objectiveMs > model.loadFromDiskMs && objectiveMs < model.loadFromStoreMs;
}

/** Returns whether a store load has no current demand, or would finish too late for its callers. */
function isDeferrable(
  { reason, model }: LoadCandidate,
  demandByModel: PlanInput["demand"],
): boolean {
  if (reason === "unreachable") return true;
  const demand = demandByModel.get(model.name);
  return demand !== undefined && isTooLateForCallers(demand);
}

/** Returns whether the engine is running a deferrable store load. */
function runsDeferrableLoad(
  { isLoadingFromStore, loadingModel }: EngineView,
  demandByModel: PlanInput["demand"],
): boolean {
  if (!isLoadingFromStore) return false;
  const demand = loadingModel === undefined ? undefined : demandByModel.get(loadingModel);
  return demand === undefined || isTooLateForCallers(demand);
}

/**
 * Returns the number of store loads that may start. A store load blocks other moves on its engine
 * for seconds, which is why deferrable loads are limited to a fraction of the engines.
 */
function allowedStoreLoads(
  input: PlanInput,
  candidate: LoadCandidate,
  storeLoadBudget: number,
): number {
  const reserved = candidate.reason === "waiting" ? 0 : reservedStoreLoads;
  const allowed = storeLoadBudget - reserved;
  // Without any demand there is nothing more urgent to keep engines free for.
  if (input.demand.size === 0 || !isDeferrable(candidate, input.demand)) return allowed;
  // Other store loads don't count: under constant load, a model without a replica would never get its turn.
  const loading = input.engines.filter((engine) => runsDeferrableLoad(engine, input.demand)).length;
  const maxLoading = Math.max(1, Math.floor(input.engines.length * maxDeferrableLoadShare));
  return Math.min(allowed, maxLoading - loading);
}

/** Whether the engine is of the software version; any engine is if there is none to match. */
function isOfVersion(engine: EngineView, softwareVersion: string | undefined): boolean {
  return softwareVersion === undefined || engine.softwareVersion === softwareVersion;
}

/** Selects the cheapest placement, which may be on an engine that is still busy. */
export function selectPlacement(
  input: PlanInput,
  evictionOptions: EvictionOptionsCache,
  candidate: LoadCandidate,
  storeLoadBudget: number,
): LoadPlacement | undefined {
  const allowed = allowedStoreLoads(input, candidate, storeLoadBudget);
  const demand = input.demand.get(candidate.model.name);
  const costMs = (placement: LoadPlacement) => placementCostMs(placement, demand);
  let best: LoadPlacement | undefined;
  for (const engine of input.engines) {
    if (!isOfVersion(engine, candidate.softwareVersion)) continue;
    const placement = findPlacement(evictionOptions, engine, candidate.model);
    if (!placement || !isWorthwhile(input, candidate, placement)) continue;
    if (placement.readyMs > (candidate.maxReadyMs ?? Infinity)) continue;
    // Standby models are never loaded from the store, since this blocks the engine for seconds.
    const mayLoad = placement.source !== "store" || (candidate.reason !== "standby" && allowed > 0);
    if (mayLoad && (!best || costMs(placement) < costMs(best))) best = placement;
  }
  return best;
}
