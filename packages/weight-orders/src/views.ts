/** From what the box believes of engines to what the planner needs. */
import type { TargetBelief } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { EngineSpec, EngineState, Milliseconds } from "@linkfall/types";
import type { EngineView, ModelNeed } from "@linkfall/weight-plan";
import type { EngineWork } from "./engine-work.js";
import type { LastAsked } from "./giver-context.js";

/** Time left of an order that another box has given. */
const unknownMoveMs: Milliseconds = 1_000;

/** The planner's view of one engine; undefined before its `state` is known. */
export function toEngineView(
  belief: TargetBelief,
  state: EngineState | undefined,
  shape: EngineSpec,
  work: EngineWork | undefined,
  workLeftMs: Milliseconds,
  takesPerSecond: number | undefined,
): EngineView | undefined {
  const { listed, holdings } = belief;
  if (!state) return undefined;
  const inFlight = belief.own.inFlight + belief.others.inFlight;
  return {
    id: listed.id,
    domain: listed.domain,
    memoryMb: shape.memoryMb,
    adapterSlots: shape.adapterSlots,
    residents: holdings.models,
    adaptersComing: state.adaptersComing,
    inMemory: state.inMemory,
    onDisk: state.onDisk,
    freeInMs: work ? Math.max(1, workLeftMs) : state.busy ? unknownMoveMs : 0,
    loadsFromStore: work?.move.source === "store",
    incoming: work?.move.load,
    outgoing: work?.move.victims[0],
    inFlight,
    takesPerSecond,
  };
}

/** Growth by less than this is chance. */
const leastGrowth = 1.3;
/** Demand is not taken to grow more than this before a load that is ordered now has ended. */
const mostGrowth = 3;

/** By how much demand is taken to grow while a load is under way: as much as it has grown lately. */
function growthOf({ rate, earlierRate }: ModelDemand): number {
  const growth = earlierRate > 0 ? rate / earlierRate : 1;
  return growth < leastGrowth ? 1 : Math.min(mostGrowth, growth);
}

/** The need of each model of a service; `lastAsked` tells of models that nobody asks for now. */
export function toNeeds(
  demand: readonly ModelDemand[],
  service: string,
  shape: EngineSpec,
  lastAsked: (model: string) => LastAsked | undefined,
  now: Milliseconds,
): ReadonlyMap<string, ModelNeed> {
  const needs = new Map<string, ModelNeed>();
  for (const [name, model] of shape.models) {
    const last = lastAsked(name);
    if (!last) continue;
    const { at, objectiveMs } = last;
    const idleMs = now - at;
    needs.set(name, { model, inFlight: 0, load: 0, rate: 0, objectiveMs, waiting: 0, idleMs });
  }
  for (const entry of demand) {
    const model = shape.models.get(entry.model);
    if (entry.service !== service || !model) continue;
    const forAdapters = Object.values(entry.waitingAdapters).reduce((sum, n) => sum + n, 0);
    const waiting = entry.waiting + forAdapters;
    const { inFlight, reading, rate, objectiveMs, idleMs } = entry;
    const load = (reading + inFlight / shape.slots) * growthOf(entry);
    needs.set(entry.model, { model, inFlight, load, rate, objectiveMs, waiting, idleMs });
  }
  return needs;
}
