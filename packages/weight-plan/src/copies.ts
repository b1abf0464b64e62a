/** Copies of each model, and what the requests of a model lose when one of them goes. */
import type { Milliseconds } from "@linkfall/types";
import type { EngineView, ModelNeed } from "./engine-view.js";
import type { PlanInput } from "./plan-input.js";

/** Several copies of a model that was not asked for yet tell that much will be asked of it. */
const unknownSurplusMs: Milliseconds = 400;
/** Before any demand is known: what the single copy of a model is worth. */
export const unknownLastMs: Milliseconds = 100;
/** Before any demand is known, further copies go first, those of the model with most copies before others:
 * their weights stay in the engine's memory, and come back far sooner than what no engine has. */
const unknownFurtherMs: Milliseconds = 180;
/** The longer it is not asked for beyond this, the less they tell. */
const unknownFromMs: Milliseconds = 10_000;
/** Time over which a further copy of a model that has fallen silent is still worth something. */
const surplusHorizonMs: Milliseconds = 1_000;
/** Requests that come closer together than this are taken to come that often. */
const leastIdleMs: Milliseconds = 500;
/** A request at work holds up the unload, and its successors lose their replica. */
const atWorkMs: Milliseconds = 1_500;
/** A copy is one too many only where the others would have less than this share of what one carries. */
const surplusShare = 0.6;
/** What a copy beyond those that are needed is worth per request at work. */
const surplusMs: Milliseconds = 50;

/** Copies of each model, with those on their way in and without those on their way out. */
export function countCopies(engines: readonly EngineView[]): Map<string, number> {
  const copies = new Map<string, number>();
  const add = (name: string, by: number) => copies.set(name, (copies.get(name) ?? 0) + by);
  for (const { residents, incoming, outgoing } of engines) {
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
function lateShare(loadMs: Milliseconds, need: ModelNeed | undefined): number {
  const ratio = need ? loadMs / need.objectiveMs : 1;
  return Math.min(1, ratio * ratio);
}

/** Time since the last request; a model that was never asked for is taken to be due as its silence was long. */
function idleOf(input: PlanInput, need: ModelNeed | undefined): Milliseconds {
  return Math.max(leastIdleMs, need?.idleMs ?? input.watchedMs);
}

/** What is lost when the last copy of a model goes: its next request waits for a load. */
export function lastCopyLoss(input: PlanInput, name: string): Milliseconds {
  const model = input.models.get(name);
  if (!model) return 0;
  if (input.needs.size === 0) return unknownLastMs;
  const need = input.needs.get(name);
  const idleMs = idleOf(input, need);
  const { loadFromDiskMs: fromDiskMs } = model;
  return (fromDiskMs * lateShare(fromDiskMs, need) * input.rules.horizonMs) / idleMs;
}

/** What requests lose when this copy goes, in milliseconds; Infinity where it must stay. */
export function copyLoss(
  input: PlanInput,
  copies: ReadonlyMap<string, number>,
  engine: EngineView,
  name: string,
): Milliseconds {
  if (engine.outgoing === name) return Infinity;
  const need = input.needs.get(name);
  const have = copies.get(name) ?? 0;
  const inFlight = need?.inFlight ?? 0;
  if (have <= 1) {
    if (need && need.waiting > 0) return Infinity;
    return lastCopyLoss(input, name) + inFlight * atWorkMs;
  }
  if (input.needs.size === 0) return unknownFurtherMs / have;
  if (!need) return (unknownSurplusMs * unknownFromMs) / Math.max(unknownFromMs, input.watchedMs);
  const loadAfter = (need?.load ?? 0) / (have - 1);
  const easy = input.rules.loadOfReplica * surplusShare;
  if (loadAfter > easy) return (inFlight / (have - 1)) * atWorkMs;
  const model = input.models.get(name);
  const idleMs = idleOf(input, need);
  return inFlight * surplusMs + ((model?.loadFromDiskMs ?? 0) * surplusHorizonMs) / idleMs;
}
