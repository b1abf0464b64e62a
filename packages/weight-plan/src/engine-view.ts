/** The planner's view of engines and of the demand for each model. */
import type { DeclaredModel, Mebibytes, Milliseconds, LoadedModel } from "@linkfall/types";

/** State of one engine as used for planning. */
export interface EngineView {
  readonly id: string;
  readonly domain: string;
  /** Version of its software, if known. */
  readonly softwareVersion?: string;
  readonly memoryMb: Mebibytes;
  readonly adapterSlots: number;
  readonly residents: readonly LoadedModel[];
  /** Adapters being loaded, as `model/adapter`. */
  readonly loadingAdapters: readonly string[];
  readonly cachedInMemory: ReadonlySet<string>;
  readonly cachedOnDisk: ReadonlySet<string>;
  /** Time until the current move is expected to finish; 0 if the engine is idle. */
  readonly availableInMs: Milliseconds;
  /** Whether the current move loads its model from the weight store. */
  readonly isLoadingFromStore: boolean;
  /** Model that the current move loads, if any. */
  readonly loadingModel?: string;
  /** Model that the current move unloads, if any. */
  readonly unloadingModel?: string;
  /** Requests running on the engine. */
  readonly inFlight: number;
  /** Speed relative to the median engine; 1 if unknown. */
  readonly relativeSpeed: number;
  /** Rate limit of the engine in requests per second; undefined if unlimited. */
  readonly maxRequestsPerSecond?: number;
}

/** Demand for one model, summed over all boxes. */
export interface DemandView {
  readonly model: DeclaredModel;
  /** Running and waiting requests, averaged over time. */
  readonly inFlight: number;
  /** Engine capacity that the requests use; 1 is one fully loaded engine. */
  readonly engineLoad: number;
  /** Shortest latency objective of the requests for the model. */
  readonly objectiveMs: Milliseconds;
  /** Requests per second, including refused ones. */
  readonly rate: number;
  /** Requests waiting for the model to be loaded. */
  readonly waiting: number;
  /** Requests per second that were refused because the replicas of the model could not respond in time; absent if none were. */
  readonly refused?: number;
  /** Requests that wait for it at engines of one software version, by that version; not counted in `waiting`. */
  readonly waitingAtVersion?: ReadonlyMap<string, number>;
  /** Time since the last request; Infinity if there was none. */
  readonly idleMs: number;
}

export type LoadSource = "memory" | "disk" | "store";

/** Returns the fastest source from which this engine can load the model. */
export function loadSourceOf(engine: EngineView, model: string): LoadSource {
  if (engine.cachedInMemory.has(model)) return "memory";
  return engine.cachedOnDisk.has(model) ? "disk" : "store";
}

/** Returns the expected load time of the model from the given source. */
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

/** Returns the memory used by models and adapters, including adapters being loaded. */
export function usedMb(
  engine: Pick<EngineView, "residents" | "loadingAdapters">,
  models: ReadonlyMap<string, DeclaredModel>,
): Mebibytes {
  const residentMb = engine.residents.reduce((sum, loaded) => {
    const model = models.get(loaded.name);
    if (!model) return sum;
    return sum + model.memoryMb + loaded.adapters.length * model.adapterMb;
  }, 0);
  const loadingMb = engine.loadingAdapters.reduce(
    (sum, name) => sum + (models.get(name.split("/", 1)[0])?.adapterMb ?? 0),
    0,
  );
  return residentMb + loadingMb;
}

/** Returns the number of adapter slots in use, including adapters being loaded. */
export function usedAdapterSlots(
  engine: Pick<EngineView, "residents" | "loadingAdapters">,
): number {
  const loadedCount = engine.residents.reduce((sum, resident) => sum + resident.adapters.length, 0);
  return loadedCount + engine.loadingAdapters.length;
}
