/** Plans where adapters that requests wait for are loaded, and which idle ones make way. */
import type { DeclaredModel, WeightOrder } from "@linkfall/types";
import { usedAdapterSlots, type EngineView, usedMb } from "./engine-view.js";

/** Adapters of one model that requests wait for. */
export interface AdapterDemand {
  readonly model: string;
  readonly adapter: string;
  readonly waiting: number;
}

/** One order about an adapter on one engine. */
export interface AdapterMove extends WeightOrder {
  readonly engine: string;
  readonly adapter: string;
}

/** Adapters on their way to one engine at once. */
const maxConcurrentAdapterLoads = 4;

function holdsModel(engine: EngineView, model: string): boolean {
  return engine.unloadingModel !== model && engine.residents.some((held) => held.name === model);
}

function isLoadedOrLoading(engine: EngineView, { model, adapter }: AdapterDemand): boolean {
  if (engine.loadingAdapters.includes(`${model}/${adapter}`)) return true;
  const resident = engine.residents.find((held) => held.name === model);
  return resident?.adapters.includes(adapter) ?? false;
}

function hasCapacity(
  engine: EngineView,
  models: ReadonlyMap<string, DeclaredModel>,
  model: string,
): boolean {
  const sizeMb = models.get(model)?.adapterMb ?? 0;
  if (usedAdapterSlots(engine) >= engine.adapterSlots) return false;
  return usedMb(engine, models) + sizeMb <= engine.memoryMb;
}

/** An adapter that nobody waits for, to make way. */
function selectIdleAdapter(
  engine: EngineView,
  wanted: ReadonlySet<string>,
  lastUsed: (key: string) => number,
): { model: string; adapter: string } | undefined {
  const held = engine.residents.flatMap((resident) =>
    resident.adapters.map((adapter) => ({ model: resident.name, adapter })),
  );
  const idle = held.filter(({ model, adapter }) => !wanted.has(`${model}/${adapter}`));
  const age = ({ model, adapter }: { model: string; adapter: string }) =>
    lastUsed(`${model}/${adapter}`);
  return idle.sort((left, right) => age(left) - age(right))[0];
}

/** Orders about adapters to send now: at most one an engine. */
export function planAdapters(
  engines: readonly EngineView[],
  needs: readonly AdapterDemand[],
  models: ReadonlyMap<string, DeclaredModel>,
  lastUsed: (key: string) => number,
): readonly AdapterMove[] {
  const moves: AdapterMove[] = [];
  const wanted = new Set(needs.map((need) => `${need.model}/${need.adapter}`));
  const planned = new Set<string>();
  for (const need of needs) {
    if (engines.some((engine) => isLoadedOrLoading(engine, need))) continue;
    const holding = engines
      .filter((engine) => engine.availableInMs === 0 && !planned.has(engine.id))
      .filter((engine) => holdsModel(engine, need.model))
      .filter((engine) => engine.loadingAdapters.length < maxConcurrentAdapterLoads)
      .sort((left, right) => usedAdapterSlots(left) - usedAdapterSlots(right));
    const roomy = holding.find((engine) => hasCapacity(engine, models, need.model));
    if (roomy) {
      planned.add(roomy.id);
      moves.push({ engine: roomy.id, action: "load", model: need.model, adapter: need.adapter });
      continue;
    }
    for (const engine of holding) {
      const idle = selectIdleAdapter(engine, wanted, lastUsed);
      if (!idle) continue;
      planned.add(engine.id);
      moves.push({ engine: engine.id, action: "unload", ...idle });
      break;
    }
  }
  return moves;
}
