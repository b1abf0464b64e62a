/** Converts target states and demand into the planner's input. */
import type { TargetView } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { EngineSpec, EngineState, Milliseconds } from "@linkfall/types";
import type { DemandView, EngineView } from "@linkfall/weight-plan";
import type { ActiveMove } from "./active-move.js";
import type { LastRequest } from "./dispatcher-context.js";

/** Estimated remaining time of an order sent by another box. */
const foreignOrderEstimateMs: Milliseconds = 1_000;

/** Returns the planner's view of an engine; undefined until its state is known. */
export function toEngineView(
  target: TargetView,
  state: EngineState | undefined,
  engineShape: EngineSpec,
  activeMove: ActiveMove | undefined,
  remainingMs: Milliseconds,
  maxRequestsPerSecond: number | undefined,
  relativeSpeed: number,
): EngineView | undefined {
  const { listed, holdings } = target;
  if (!state) return undefined;
  const inFlight = target.ownLoad.inFlight + target.otherBoxesLoad.inFlight;
  return {
    id: listed.id,
    domain: listed.domain,
    softwareVersion: listed.softwareVersion,
    memoryMb: engineShape.memoryMb,
    adapterSlots: engineShape.adapterSlots,
    residents: holdings.models,
    loadingAdapters: state.adaptersComing,
    cachedInMemory: state.inMemory,
    cachedOnDisk: state.onDisk,
    availableInMs: activeMove ? Math.max(1, remainingMs) : state.busy ? foreignOrderEstimateMs : 0,
    isLoadingFromStore: activeMove?.move.source === "store",
    loadingModel: activeMove?.move.model,
    unloadingModel: activeMove?.move.victims[0],
    inFlight,
    maxRequestsPerSecond,
    relativeSpeed,
  };
}

/** Growth below this factor is treated as noise. */
const minGrowth = 1.3;
/** Limit on the assumed growth of demand during a load. */
const maxGrowth = 3;

/**
 * Returns the factor by which demand is assumed to grow during a load, extrapolated from its recent
 * growth.
 */
function growthFactor({ rate, earlierRate }: ModelDemand): number {
  const growth = earlierRate > 0 ? rate / earlierRate : 1;
  return growth < minGrowth ? 1 : Math.min(maxGrowth, growth);
}

function waitingByVersion({ confinedWaits = [] }: ModelDemand): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const { softwareVersion, waiting } of confinedWaits)
    sums.set(softwareVersion, (sums.get(softwareVersion) ?? 0) + waiting);
  return sums;
}

/**
 * Returns the demand for each model of a service; `lastRequest` covers models without current
 * demand.
 */
export function toDemandViews(
  demand: readonly ModelDemand[],
  service: string,
  engineShape: EngineSpec,
  lastRequest: (model: string) => LastRequest | undefined,
  now: Milliseconds,
): ReadonlyMap<string, DemandView> {
  const demandViews = new Map<string, DemandView>();
  for (const [name, model] of engineShape.models) {
    const previous = lastRequest(name);
    if (!previous) continue;
    const { at, objectiveMs } = previous;
    const idleMs = now - at;
    demandViews.set(name, {
      model,
      inFlight: 0,
      engineLoad: 0,
      rate: 0,
      objectiveMs,
      waiting: 0,
      idleMs,
    });
  }
  for (const entry of demand) {
    const model = engineShape.models.get(entry.model);
    if (entry.service !== service || !model) continue;
    const waitingForAdapters = Object.values(entry.waitingAdapters).reduce((sum, n) => sum + n, 0);
    const waiting = entry.waiting + waitingForAdapters;
    const { inFlight, reading, rate, objectiveMs, idleMs } = entry;
    const engineLoad = (reading + inFlight / engineShape.slots) * growthFactor(entry);
    demandViews.set(entry.model, {
      model,
      inFlight,
      engineLoad,
      rate,
      objectiveMs,
      waiting,
      refused: entry.refused,
      waitingAtVersion: waitingByVersion(entry),
      idleMs,
    });
  }
  return demandViews;
}
