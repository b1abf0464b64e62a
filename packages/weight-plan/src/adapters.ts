/** Plans where adapters that requests wait for are loaded, and which idle ones make way. */
import type { DeclaredModel, WeightOrder } from "@linkfall/types";
import { adaptersTaken, type EngineView, usedMb } from "./engine-view.js";

/** Adapters of one model that requests wait for. */
export interface AdapterNeed {
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
const mostComing = 4;

function holdsModel(engine: EngineView, model: string): boolean {
  return engine.outgoing !== model && engine.residents.some((held) => held.name === model);
}

function isThereOrComing(engine: EngineView, { model, adapter }: AdapterNeed): boolean {
  if (engine.adaptersComing.includes(`${model}/${adapter}`)) return true;
  const resident = engine.residents.find((held) => held.name === model);
  return resident?.adapters.includes(adapter) ?? false;
}

function hasRoom(
  engine: EngineView,
  models: ReadonlyMap<string, DeclaredModel>,
  model: string,
): boolean {
  const sizeMb = models.get(model)?.adapterMb ?? 0;
  if (adaptersTaken(engine) >= engine.adapterSlots) return false;
  return usedMb(engine, models) + sizeMb <= engine.memoryMb;
}

/** An adapter that nobody waits for, to make way. */
function idleAdapter(
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
  needs: readonly AdapterNeed[],
  models: ReadonlyMap<string, DeclaredModel>,
  lastUsed: (key: string) => number,
): readonly AdapterMove[] {
  const moves: AdapterMove[] = [];
  const wanted = new Set(needs.map((need) => `${need.model}/${need.adapter}`));
  const planned = new Set<string>();
  for (const need of needs) {
    if (engines.some((engine) => isThereOrComing(engine, need))) continue;
    const holding = engines
      .filter((engine) => engine.freeInMs === 0 && !planned.has(engine.id))
      .filter((engine) => holdsModel(engine, need.model))
      .filter((engine) => engine.adaptersComing.length < mostComing)
      .sort((left, right) => adaptersTaken(left) - adaptersTaken(right));
    const roomy = holding.find((engine) => hasRoom(engine, models, need.model));
    if (roomy) {
      planned.add(roomy.id);
      moves.push({ engine: roomy.id, action: "load", model: need.model, adapter: need.adapter });
      continue;
    }
    for (const engine of holding) {
      const idle = idleAdapter(engine, wanted, lastUsed);
      if (!idle) continue;
      planned.add(engine.id);
      moves.push({ engine: engine.id, action: "unload", ...idle });
      break;
    }
  }
  return moves;
}
