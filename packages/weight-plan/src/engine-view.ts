/** What the planner knows: engines with what they hold, and what is asked of each model. */
import type { DeclaredModel, Mebibytes, Milliseconds, LoadedModel } from "@linkfall/types";

/** One engine as the planner sees it. */
export interface EngineView {
  readonly id: string;
  readonly domain: string;
  readonly memoryMb: Mebibytes;
  readonly adapterSlots: number;
  readonly residents: readonly LoadedModel[];
  /** Adapters on their way, as `model/adapter`. */
  readonly loadingAdapters: readonly string[];
  readonly cachedInMemory: ReadonlySet<string>;
  readonly cachedOnDisk: ReadonlySet<string>;
  /** Time until a move that is under way is expected to end; 0 where nothing is under way. */
  readonly availableInMs: Milliseconds;
  /** Whether the move under way brings its model from the weight store. */
  readonly isLoadingFromStore: boolean;
  /** The model that the move under way brings in, if any. */
  readonly loadingModel?: string;
  /** The model that the move under way drops, if any. */
  readonly unloadingModel?: string;
  /** Requests at work there. */
  readonly inFlight: number;
  /** Requests a second that it takes; absent where it takes any number. */
  readonly maxRequestsPerSecond?: number;
}

/** What is asked of one model over all boxes. */
export interface DemandView {
  readonly model: DeclaredModel;
  /** Requests at work or waiting, averaged. */
  readonly inFlight: number;
  /** What its requests take of engines: 1 is all that one engine can do. */
  readonly engineLoad: number;
  /** Shortest objective of the requests that asked for it. */
  readonly objectiveMs: Milliseconds;
  /** Requests a second that ask for it, those that are refused included. */
  readonly rate: number;
  /** Requests that wait for the model. */
  readonly waiting: number;
  /** Time since the last request; Infinity where none was seen. */
  readonly idleMs: number;
}

export type LoadSource = "memory" | "disk" | "store";

/** Where a load on this engine would come from. */
export function loadSourceOf(engine: EngineView, model: string): LoadSource {
  if (engine.cachedInMemory.has(model)) return "memory";
  return engine.cachedOnDisk.has(model) ? "disk" : "store";
}

/** How long a load of the model takes. */
export function loadTimeMs(source: LoadSource, model: DeclaredModel): Milliseconds {
  switch (source) {
    case "memory":
      return model.loadFromMemoryMs;
    case "disk":
      return model.loadFromDiskMs;
    case "store":
      return model.loadFromStoreMs;
  }
}

/** Memory of the engine's weights and adapters, those on their way included. */
export function usedMb(
  engine: Pick<EngineView, "residents" | "adaptersComing">,
  models: ReadonlyMap<string, DeclaredModel>,
): Mebibytes {
  const resident = engine.residents.reduce((sum, held) => {
    const model = models.get(held.name);
    if (!model) return sum;
    return sum + model.memoryMb + held.adapters.length * model.adapterMb;
  }, 0);
  const coming = engine.loadingAdapters.reduce(
    (sum, name) => sum + (models.get(name.split("/", 1)[0])?.adapterMb ?? 0),
    0,
  );
  return resident + coming;
}

/** Adapter places that are taken. */
export function usedAdapterSlots(engine: Pick<EngineView, "residents" | "adaptersComing">): number {
  const held = engine.residents.reduce((sum, resident) => sum + resident.adapters.length, 0);
  return held + engine.loadingAdapters.length;
}
