/**
 * Plans which adapters to load for waiting requests, and which idle adapters to unload for them.
 */
import type { DeclaredModel, WeightOrder } from "@linkfall/types";
import { type EngineView, usedAdapterSlots, usedMb } from "./engine-view.js";

/** Demand for one adapter that requests are waiting for. */
export interface AdapterDemand {
  readonly model: string;
  readonly adapter: string;
  /** Software version of the only engines that may serve the requests; absent if any may. */
  readonly softwareVersion?: string;
  readonly waiting: number;
}

/** Load or unload of one adapter on one engine. */
export interface AdapterMove extends WeightOrder {
  readonly engine: string;
  readonly adapter: string;
}

/** Limit on the adapters that one engine loads at the same time. */
const maxConcurrentAdapterLoads = 4;

function holdsModel(engine: EngineView, model: string): boolean {
  return (
    engine.unloadingModel !== model && engine.residents.some((loaded) => loaded.name === model)
  );
}

function isLoadedOrLoading(engine: EngineView, { model, adapter }: AdapterDemand): boolean {
  if (engine.loadingAdapters.includes(`${model}/${adapter}`)) return true;
  const resident = engine.residents.find((loaded) => loaded.name === model);
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

/** Selects the least recently used adapter that no request is waiting for. */
function selectIdleAdapter(
  engine: EngineView,
  requested: ReadonlySet<string>,
  lastUsed: (key: string) => number,
): { model: string; adapter: string } | undefined {
  const loaded = engine.residents.flatMap((resident) =>
    resident.adapters.map((adapter) => ({ model: resident.name, adapter })),
  );
  const idle = loaded.filter(({ model, adapter }) => !requested.has(`${model}/${adapter}`));
  const lastUsedAt = ({ model, adapter }: { model: string; adapter: string }) =>
    lastUsed(`${model}/${adapter}`);
  return idle.sort((left, right) => lastUsedAt(left) - lastUsedAt(right))[0];
}

/** Returns the adapter loads and unloads to order now, at most one per engine. */
export function planAdapters(
  engines: readonly EngineView[],
  demands: readonly AdapterDemand[],
  models: ReadonlyMap<string, DeclaredModel>,
  lastUsed: (key: string) => number,
): readonly AdapterMove[] {
  const moves: AdapterMove[] = [];
  const requested = new Set(demands.map((demand) => `${demand.model}/${demand.adapter}`));
  const planned = new Set<string>();
  for (const demand of demands) {
    const { softwareVersion } = demand;
    const allowed = engines.filter(
      (engine) => softwareVersion === undefined || engine.softwareVersion === softwareVersion,
    );
    if (allowed.some((engine) => isLoadedOrLoading(engine, demand))) continue;
    const hosts = allowed
      .filter((engine) => engine.availableInMs === 0 && !planned.has(engine.id))
      .filter((engine) => holdsModel(engine, demand.model))
      .filter((engine) => engine.loadingAdapters.length < maxConcurrentAdapterLoads)
      .sort((left, right) => usedAdapterSlots(left) - usedAdapterSlots(right));
    const target = hosts.find((engine) => hasCapacity(engine, models, demand.model));
    if (target) {
      planned.add(target.id);
      moves.push({
        engine: target.id,
        action: "load",
        model: demand.model,
        adapter: demand.adapter,
      });
      continue;
    }
    for (const engine of hosts) {
      const idle = selectIdleAdapter(engine, requested, lastUsed);
      if (!idle) continue;
      planned.add(engine.id);
      moves.push({ engine: engine.id, action: "unload", ...idle });
      break;
    }
  }
  return moves;
}
