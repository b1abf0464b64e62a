/** Copies of each model, and what the requests of a model lose when one of them goes. */
import type { Milliseconds } from "@linkfall/types";
import type { EngineView, DemandView } from "./engine-view.js";
import type { PlanInput } from "./plan-input.js";

/** Several copies of a model that was not asked for yet tell that much will be asked of it. */
const unrequestedExtraReplicaCostMs: Milliseconds = 400;
/** Before any demand is known: what the single copy of a model is worth. */
export const initialLastReplicaCostMs: Milliseconds = 100;
/** Before any demand is known, further copies go first, those of the model with most copies before others:
 * their weights stay in the engine's memory, and come back far sooner than what no engine has. */
const initialExtraReplicaCostMs: Milliseconds = 180;
/** The longer it is not asked for beyond this, the less they tell. */
const unrequestedDecayStartMs: Milliseconds = 10_000;
/** Time over which a further copy of a model that has fallen silent is still worth something. */
const extraReplicaHorizonMs: Milliseconds = 1_000;
/** Requests that come closer together than this are taken to come that often. */
const minIdleMs: Milliseconds = 500;
/** A request at work holds up the unload, and its successors lose their replica. */
const inFlightEvictionCostMs: Milliseconds = 1_500;
/** A copy is one too many only where the others would have less than this share of what one carries. */
const surplusLoadShare = 0.6;
/** What a copy beyond those that are needed is worth per request at work. */
const surplusRequestCostMs: Milliseconds = 50;

/** Copies of each model, with those on their way in and without those on their way out. */
export function countReplicas(engines: readonly EngineView[]): Map<string, number> {
  const copies = new Map<string, number>();
  const add = (name: string, by: number) => copies.set(name, (copies.get(name) ?? 0) + by);
  for (const { residents, loadingModel: incoming, unloadingModel: outgoing } of engines) {
    for (const resident of residents) add(resident.name, 1);
    const holds = (name: string) => residents.some((held) => held.name === name);
    if (incoming !== undefined && !holds(incoming)) add(incoming, 1);
    if (outgoing !== undefined && holds(outgoing)) add(outgoing, -1);
  }
  return copies;
}

/**
 * Share of the requests that come during a load which lose by it: all where the load takes longer than
 * their objective, few where it leaves time. Nobody knows of a model that was never asked for.
 */
function delayedRequestShare(loadMs: Milliseconds, need: DemandView | undefined): number {
  const ratio = need ? loadMs / need.objectiveMs : 1;
  return Math.min(1, ratio * ratio);
}

/** Time since the last request; a model that was never asked for is taken to be due as its silence was long. */
function idleTimeMs(input: PlanInput, need: DemandView | undefined): Milliseconds {
  return Math.max(minIdleMs, need?.idleMs ?? input.observedMs);
}

/** What is lost when the last copy of a model goes: its next request waits for a load. */
export function lastReplicaCostMs(input: PlanInput, name: string): Milliseconds {
  const model = input.models.get(name);
  if (!model) return 0;
  if (input.demand.size === 0) return initialLastReplicaCostMs;
  const need = input.demand.get(name);
  const idleMs = idleTimeMs(input, need);
  const { loadFromDiskMs: fromDiskMs } = model;
  return (fromDiskMs * delayedRequestShare(fromDiskMs, need) * input.rules.horizonMs) / idleMs;
}

/** What requests lose when this copy goes, in milliseconds; Infinity where it must stay. */
export function evictionCostMs(
  input: PlanInput,
  copies: ReadonlyMap<string, number>,
  engine: EngineView,
  name: string,
): Milliseconds {
  if (engine.unloadingModel === name) return Infinity;
  const need = input.demand.get(name);
  const have = copies.get(name) ?? 0;
  const inFlight = need?.inFlight ?? 0;
  if (have <= 1) {
    if (need && need.waiting > 0) return Infinity;
    return lastReplicaCostMs(input, name) + inFlight * inFlightEvictionCostMs;
  }
  if (input.demand.size === 0) return initialExtraReplicaCostMs / have;
  if (!need) return (unrequestedExtraReplicaCostMs * unrequestedDecayStartMs) / Math.max(unrequestedDecayStartMs, input.observedMs);
  const loadAfter = (need?.engineLoad ?? 0) / (have - 1);
  const easy = input.rules.targetReplicaLoad * surplusLoadShare;
  if (loadAfter > easy) return (inFlight / (have - 1)) * inFlightEvictionCostMs;
  const model = input.models.get(name);
  const idleMs = idleTimeMs(input, need);
  return inFlight * surplusRequestCostMs + ((model?.loadFromDiskMs ?? 0) * extraReplicaHorizonMs) / idleMs;
}
