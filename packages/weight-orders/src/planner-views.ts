/** From what the box believes of engines to what the planner needs. */
import type { TargetView } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { EngineSpec, EngineState, Milliseconds } from "@linkfall/types";
import type { EngineView, DemandView } from "@linkfall/weight-plan";
import type { ActiveMove } from "./active-move.js";
import type { LastRequest } from "./dispatcher-context.js";

/** Time left of an order that another box has given. */
const foreignOrderEstimateMs: Milliseconds = 1_000;

/** The planner's view of one engine; undefined before its `state` is known. */
export function toEngineView(
  belief: TargetView,
  state: EngineState | undefined,
  shape: EngineSpec,
  work: ActiveMove | undefined,
  workLeftMs: Milliseconds,
  takesPerSecond: number | undefined,
): EngineView | undefined {
  const { listed, holdings } = belief;
  if (!state) return undefined;
  const inFlight = belief.ownLoad.inFlight + belief.otherBoxesLoad.inFlight;
  return {
    id: listed.id,
    domain: listed.domain,
    memoryMb: shape.memoryMb,
    adapterSlots: shape.adapterSlots,
    residents: holdings.models,
    loadingAdapters: state.adaptersComing,
    cachedInMemory: state.inMemory,
    cachedOnDisk: state.onDisk,
    availableInMs: work ? Math.max(1, workLeftMs) : state.busy ? foreignOrderEstimateMs : 0,
    isLoadingFromStore: work?.move.source === "store",
    loadingModel: work?.move.model,
    unloadingModel: work?.move.victims[0],
    inFlight,
    maxRequestsPerSecond: takesPerSecond,
  };
}

/** Growth by less than this is chance. */
const minGrowth = 1.3;
/** Demand is not taken to grow more than this before a load that is ordered now has ended. */
const maxGrowth = 3;

/** By how much demand is taken to grow while a load is under way: as much as it has grown lately. */
function growthFactor({ rate, earlierRate }: ModelDemand): number {
  const growth = earlierRate > 0 ? rate / earlierRate : 1;
  return growth < minGrowth ? 1 : Math.min(maxGrowth, growth);
}

/** The need of each model of a service; `lastAsked` tells of models that nobody asks for now. */
export function toDemandViews(
  demand: readonly ModelDemand[],
  service: string,
  shape: EngineSpec,
  lastAsked: (model: string) => LastRequest | undefined,
  now: Milliseconds,
): ReadonlyMap<string, DemandView> {
  const needs = new Map<string, DemandView>();
  for (const [name, model] of shape.models) {
    const last = lastAsked(name);
    if (!last) continue;
    const { at, objectiveMs } = last;
    const idleMs = now - at;
    needs.set(name, { model, inFlight: 0, engineLoad: 0, rate: 0, objectiveMs, waiting: 0, idleMs });
  }
  for (const entry of demand) {
    const model = shape.models.get(entry.model);
    if (entry.service !== service || !model) continue;
    const forAdapters = Object.values(entry.waitingAdapters).reduce((sum, n) => sum + n, 0);
    const waiting = entry.waiting + forAdapters;
    const { inFlight, reading, rate, objectiveMs, idleMs } = entry;
    const load = (reading + inFlight / shape.slots) * growthFactor(entry);
    needs.set(entry.model, { model, inFlight, engineLoad: load, rate, objectiveMs, waiting, idleMs });
  }
  return needs;
}
