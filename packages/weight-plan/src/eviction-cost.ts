/** Counts replicas and estimates the cost of evicting one, in milliseconds of delay to requests. */
import type { Milliseconds } from "@linkfall/types";
import type { DemandView, EngineView } from "./engine-view.js";
import type { PlanInput } from "./plan-input.js";

/**
 * Cost of evicting one of several replicas of a model that has had no requests yet. That it was placed on several engines
 * indicates that many requests are expected.
 */
const unrequestedExtraReplicaCostMs: Milliseconds = 400;
/** Cost of evicting the last replica of a model before any demand is observed. */
export const initialLastReplicaCostMs: Milliseconds = 100;
/** Time without requests after which that cost starts to decay, as the initial placement then says less and less. */
const unrequestedDecayStartMs: Milliseconds = 10_000;
/** Time after the last request over which an extra replica keeps some value. */
const extraReplicaHorizonMs: Milliseconds = 1_000;
/** Lower bound on the idle time, which caps the estimated request rate. */
const minIdleMs: Milliseconds = 500;
/** Cost per running request: it delays the unload, and later requests lose the replica. */
const inFlightEvictionCostMs: Milliseconds = 1_500;
/** A replica is surplus if the remaining ones stay below this fraction of the target load. */
const surplusLoadShare = 0.6;
/** Cost per running request of evicting a surplus replica. */
const surplusRequestCostMs: Milliseconds = 50;

/** Counts replicas per model, including those being loaded and excluding those being unloaded. */
export function countReplicas(engines: readonly EngineView[]): Map<string, number> {
  const replicaCounts = new Map<string, number>();
  const add = (name: string, delta: number) =>
    replicaCounts.set(name, (replicaCounts.get(name) ?? 0) + delta);
  for (const { residents, loadingModel, unloadingModel } of engines) {
    for (const resident of residents) add(resident.name, 1);
    const isResident = (name: string) => residents.some((resident) => resident.name === name);
    if (loadingModel !== undefined && !isResident(loadingModel)) add(loadingModel, 1);
    if (unloadingModel !== undefined && isResident(unloadingModel)) add(unloadingModel, -1);
  }
  return replicaCounts;
}

/**
 * Returns the fraction of requests arriving during a load that miss their latency objective.
 * Without observed demand all of them are assumed to.
 */
function delayedRequestShare(loadMs: Milliseconds, demand: DemandView | undefined): number {
  const ratio = demand ? loadMs / demand.objectiveMs : 1;
  return Math.min(1, ratio * ratio);
}

/** Returns the time since the last request, or the observation time if there was none. */
function idleTimeMs(input: PlanInput, demand: DemandView | undefined): Milliseconds {
  return Math.max(minIdleMs, demand?.idleMs ?? input.observedMs);
}

/** Returns the cost of evicting the last replica: the next request has to wait for a load. */
export function lastReplicaCostMs(input: PlanInput, name: string): Milliseconds {
  const model = input.models.get(name);
  if (!model) return 0;
  if (input.demand.size === 0) return initialLastReplicaCostMs;
  const demand = input.demand.get(name);
  const idleMs = idleTimeMs(input, demand);
  const { loadFromDiskMs: fromDiskMs } = model;
  return (fromDiskMs * delayedRequestShare(fromDiskMs, demand) * input.rules.horizonMs) / idleMs;
}

/** Returns the cost of evicting this replica; Infinity if it must not be evicted. */
export function evictionCostMs(
  input: PlanInput,
  replicaCounts: ReadonlyMap<string, number>,
  engine: EngineView,
  name: string,
): Milliseconds {
  if (engine.unloadingModel === name) return Infinity;
  const demand = input.demand.get(name);
  const replicas = replicaCounts.get(name) ?? 0;
  const inFlight = demand?.inFlight ?? 0;
  if (engine.softwareVersion !== undefined && demand?.waitingAtVersion?.has(engine.softwareVersion))
    return Infinity;
  if (replicas <= 1) {
    if (demand && demand.waiting > 0) return Infinity;
    return lastReplicaCostMs(input, name) + inFlight * inFlightEvictionCostMs;
  }
  if (input.demand.size === 0) return input.rules.initialReplicaCostMs / replicas;
  if (!demand)
    return (
      (unrequestedExtraReplicaCostMs * unrequestedDecayStartMs) /
      Math.max(unrequestedDecayStartMs, input.observedMs)
    );
  const remainingLoad = (demand?.engineLoad ?? 0) / (replicas - 1);
  const surplusLoad = input.rules.targetReplicaLoad * surplusLoadShare;
  if (remainingLoad > surplusLoad) return (inFlight / (replicas - 1)) * inFlightEvictionCostMs;
  const model = input.models.get(name);
  const idleMs = idleTimeMs(input, demand);
  return (
    inFlight * surplusRequestCostMs +
    ((model?.loadFromDiskMs ?? 0) * extraReplicaHorizonMs) / idleMs
  );
}
