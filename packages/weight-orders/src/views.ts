/** From what the box believes of engines to what the planner needs. */
import type { TargetBelief } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { EngineShape, EngineState, Milliseconds } from "@linkfall/types";
import type { EngineView, ModelNeed } from "@linkfall/weight-plan";
import type { EngineWork } from "./engine-work.js";

/** The planner's view of one engine; undefined before its `state` is known. */
export function toEngineView(
  belief: TargetBelief,
  state: EngineState | undefined,
  shape: EngineShape,
  work: EngineWork | undefined,
  workLeftMs: Milliseconds,
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
    freeInMs: work ? Math.max(1, workLeftMs) : state.busy ? 1 : 0,
    incoming: work?.move.load,
    outgoing: work?.move.victims[0],
    inFlight,
  };
}

/** The need of each model of a service; `idleMs` tells the time since a model was last asked for. */
export function toNeeds(
  demand: readonly ModelDemand[],
  service: string,
  shape: EngineShape,
  idleMs: (model: string) => Milliseconds,
): ReadonlyMap<string, ModelNeed> {
  const needs = new Map<string, ModelNeed>();
  for (const [name, model] of shape.models) {
    const idle = idleMs(name);
    if (Number.isFinite(idle)) needs.set(name, { model, inFlight: 0, waiting: 0, idleMs: idle });
  }
  for (const entry of demand) {
    const model = shape.models.get(entry.model);
    if (entry.service !== service || !model) continue;
    const forAdapters = Object.values(entry.waitingAdapters).reduce((sum, n) => sum + n, 0);
    const waiting = entry.waiting + forAdapters;
    needs.set(entry.model, { model, inFlight: entry.inFlight, waiting, idleMs: entry.idleMs });
  }
  return needs;
}
