/**
 * Measures the demand for each model: running and waiting requests, rates and the time since the
 * last request.
 */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** Model and optional adapter that a request needs. */
export interface RequestedWeights {
  readonly service: string;
  readonly model: string;
  readonly adapter?: string;
  /** Software version of the only targets that may serve the request; absent if any target may. */
  readonly softwareVersion?: string;
}

/** Requests that wait for weights at targets of one software version. */
export interface ConfinedWait {
  readonly softwareVersion: string;
  readonly adapter?: string;
  readonly waiting: number;
}

/** Demand of one request, whether or not it reaches an engine. */
export interface RequestDemand {
  /** Latency objective for the start of the response. */
  readonly objectiveMs: Milliseconds;
  /** Estimated time for an engine to process the prompt. */
  readonly prefillMs: Milliseconds;
}

/** Demand for one model, on one box or summed over several. */
export interface ModelDemand {
  readonly service: string;
  readonly model: string;
  /** Running and waiting requests, averaged over about one second. */
  readonly inFlight: number;
  /**
   * Prompt processing time per unit of time, averaged likewise: 1 occupies one engine fully.
   * Includes refused requests.
   */
  readonly reading: number;
  /** Requests per second, averaged over about one second. */
  readonly rate: number;
  /** Requests per second, averaged over a longer window; lower than `rate` while demand grows. */
  readonly earlierRate: number;
  /** Shortest latency objective of the requests for the model. */
  readonly objectiveMs: Milliseconds;
  /** Requests waiting for the model to be loaded. */
  readonly waiting: number;
  /** Requests waiting for an adapter of the model, by adapter name. */
  readonly waitingAdapters: Readonly<Record<string, number>>;
  /**
   * Requests per second that were refused because its replicas could not respond in time, averaged over about one second;
   * absent if there were none, and from earlier versions.
   */
  readonly refused?: number;
  /** Requests that wait at one software version and are not counted above; absent if there are none. */
  readonly confinedWaits?: readonly ConfinedWait[];
  /** Time since the last request. */
  readonly idleMs: Milliseconds;
}

export interface ModelDemandMeter {
  /** Records a request; the returned function records its end. */
  recordRequest(weights: RequestedWeights, request: RequestDemand): () => void;
  /** Records a request waiting for weights; the returned function ends the wait. */
  recordWait(weights: RequestedWeights): () => void;
  /** Records a request that was refused because the replicas of its model could not respond in time. */
  recordRefusal(weights: RequestedWeights): void;
  /** Returns the current demand, without models that have not been requested recently. */
  read(): readonly ModelDemand[];
}

/** Averaging window of the running requests and the current rate. */
const averagingWindowMs: Milliseconds = 1_000;
/**
 * Averaging window of the baseline rate; longer than a load from disk, which makes growth visible
 * early.
 */
const baselineWindowMs: Milliseconds = 3_000;
const millisecondsPerSecond = 1_000;
/** Time after the last request until a model is dropped. */
const retentionMs: Milliseconds = 120_000;
const roundingFactor = 100;

interface DemandEntry {
  readonly service: string;
  readonly model: string;
  inFlight: number;
  averageInFlight: number;
  prefillLoad: number;
  rate: number;
  earlierRate: number;
  refused: number;
  objectiveMs: Milliseconds;
  updatedAt: Milliseconds;
  lastRequestAt: Milliseconds;
  waiting: number;
  readonly waitingAdapters: Map<string, number>;
  readonly confinedWaits: Map<string, ConfinedWait>;
}

/** Decays the averages to the current time. */
function updateAverages(entry: DemandEntry, now: Milliseconds): void {
  const decay = Math.exp(-(now - entry.updatedAt) / averagingWindowMs);
  entry.averageInFlight = entry.averageInFlight * decay + entry.inFlight * (1 - decay);
  entry.prefillLoad *= decay;
  entry.rate *= decay;
  entry.refused *= decay;
  entry.earlierRate *= Math.exp(-(now - entry.updatedAt) / baselineWindowMs);
  entry.updatedAt = now;
}

function addConfinedWait(waits: Map<string, ConfinedWait>, wait: ConfinedWait): void {
  const key = JSON.stringify([wait.softwareVersion, wait.adapter ?? null]);
  const waiting = (waits.get(key)?.waiting ?? 0) + wait.waiting;
  if (waiting > 0) waits.set(key, { ...wait, waiting });
  else waits.delete(key);
}

function presentWaits(
  waits: ReadonlyMap<string, ConfinedWait>,
): readonly ConfinedWait[] | undefined {
  return waits.size > 0 ? [...waits.values()] : undefined;
}

/** Wraps an action such that it runs at most once. */
function once(action: () => void): () => void {
  let done = false;
  return () => {
    if (done) return;
    done = true;
    action();
  };
}

/** Creates the demand meter of one box. */
export function createModelDemandMeter(clock: Clock): ModelDemandMeter {
  const entries = new Map<string, DemandEntry>();

  const getOrCreateEntry = ({ service, model }: RequestedWeights): DemandEntry => {
    const key = `${service} ${model}`;
    const now = clock.now();
    const entry: DemandEntry = entries.get(key) ?? {
      service,
      model,
      inFlight: 0,
      averageInFlight: 0,
      prefillLoad: 0,
      rate: 0,
      earlierRate: 0,
      refused: 0,
      objectiveMs: Infinity,
      updatedAt: now,
      lastRequestAt: now,
      waiting: 0,
      waitingAdapters: new Map(),
      confinedWaits: new Map(),
    };
    entries.set(key, entry);
    return entry;
  };

  const addInFlight = (entry: DemandEntry, delta: number) => {
    const now = clock.now();
    updateAverages(entry, now);
    entry.inFlight += delta;
    entry.lastRequestAt = now;
  };

  const addWaiting = (
    entry: DemandEntry,
    { adapter, softwareVersion }: RequestedWeights,
    delta: number,
  ) => {
    if (softwareVersion !== undefined) {
      return addConfinedWait(entry.confinedWaits, { softwareVersion, adapter, waiting: delta });
    }
    if (adapter === undefined) {
      entry.waiting += delta;
      return;
    }
    const remaining = (entry.waitingAdapters.get(adapter) ?? 0) + delta;
    if (remaining > 0) entry.waitingAdapters.set(adapter, remaining);
    else entry.waitingAdapters.delete(adapter);
  };

  const toModelDemand = (entry: DemandEntry): ModelDemand => {
    updateAverages(entry, clock.now());
    const refused = Math.round(entry.refused * roundingFactor) / roundingFactor;
    return {
      service: entry.service,
      model: entry.model,
      inFlight: Math.round(entry.averageInFlight * roundingFactor) / roundingFactor,
      reading: Math.round(entry.prefillLoad * roundingFactor) / roundingFactor,
      rate: Math.round(entry.rate * roundingFactor) / roundingFactor,
      earlierRate: Math.round(entry.earlierRate * roundingFactor) / roundingFactor,
      objectiveMs: entry.objectiveMs,
      waiting: entry.waiting,
      waitingAdapters: Object.fromEntries(entry.waitingAdapters),
      refused: refused > 0 ? refused : undefined,
      confinedWaits: presentWaits(entry.confinedWaits),
      idleMs: entry.inFlight > 0 ? 0 : Math.round(clock.now() - entry.lastRequestAt),
    };
  };

  return {
    recordRequest(weights, { objectiveMs, prefillMs }) {
      const entry = getOrCreateEntry(weights);
      entry.objectiveMs = Math.min(entry.objectiveMs, objectiveMs);
      addInFlight(entry, 1);
      entry.prefillLoad += prefillMs / averagingWindowMs;
      entry.rate += millisecondsPerSecond / averagingWindowMs;
      entry.earlierRate += millisecondsPerSecond / baselineWindowMs;
      return once(() => addInFlight(entry, -1));
    },
    recordWait(weights) {
      const entry = getOrCreateEntry(weights);
      addWaiting(entry, weights, 1);
      return once(() => addWaiting(entry, weights, -1));
    },
    recordRefusal(weights) {
      const entry = getOrCreateEntry(weights);
      updateAverages(entry, clock.now());
      entry.refused += millisecondsPerSecond / averagingWindowMs;
    },
    read() {
      const now = clock.now();
      for (const [key, entry] of entries) {
        if (entry.inFlight === 0 && now - entry.lastRequestAt > retentionMs) entries.delete(key);
      }
      return [...entries.values()].map(toModelDemand);
    },
  };
}

/** Sums the demand of several boxes per model. */
export function sumDemand(
  demandByBox: readonly (readonly ModelDemand[])[],
): readonly ModelDemand[] {
  const sums = new Map<string, ModelDemand>();
  for (const demand of demandByBox.flat()) {
    const key = `${demand.service} ${demand.model}`;
    const previous = sums.get(key);
    sums.set(key, previous ? addDemand(previous, demand) : demand);
  }
  return [...sums.values()];
}

function addDemand(left: ModelDemand, right: ModelDemand): ModelDemand {
  const adapters: Record<string, number> = { ...left.waitingAdapters };
  for (const [name, waiting] of Object.entries(right.waitingAdapters)) {
    adapters[name] = (adapters[name] ?? 0) + waiting;
  }
  const refused = (left.refused ?? 0) + (right.refused ?? 0);
  const confined = new Map<string, ConfinedWait>();
  const waits = [...(left.confinedWaits ?? []), ...(right.confinedWaits ?? [])];
  for (const wait of waits) addConfinedWait(confined, wait);
  return {
    ...left,
    inFlight: left.inFlight + right.inFlight,
    reading: left.reading + right.reading,
    rate: left.rate + right.rate,
    earlierRate: left.earlierRate + right.earlierRate,
    objectiveMs: Math.min(left.objectiveMs, right.objectiveMs),
    waiting: left.waiting + right.waiting,
    waitingAdapters: adapters,
    refused: refused > 0 ? refused : undefined,
    confinedWaits: presentWaits(confined),
    idleMs: Math.min(left.idleMs, right.idleMs),
  };
}
