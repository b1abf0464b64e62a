/** What callers of this box ask of each model: requests at work or waiting, and since when. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** Weights that a request asks for. */
export interface RequestedWeights {
  readonly service: string;
  readonly model: string;
  readonly adapter?: string;
}

/** What one request asks of an engine, whether or not it gets there. */
export interface RequestDemand {
  /** Time in which its answer is to begin. */
  readonly objectiveMs: Milliseconds;
  /** Time for which an engine has to read its prompt. */
  readonly prefillMs: Milliseconds;
}

/** Demand for the weights of one model, as one box or all boxes see it. */
export interface ModelDemand {
  readonly service: string;
  readonly model: string;
  /** Requests at work or waiting, averaged over the last second or so. */
  readonly inFlight: number;
  /** Time in which engines have to read the prompts of its requests, per time that passes, averaged
   * likewise: 1 is one engine that does nothing else. Requests that were refused count as well. */
  readonly reading: number;
  /** Requests a second, averaged over the last second or so. */
  readonly rate: number;
  /** Requests a second, averaged over a longer time: demand that grows is below `rate` here. */
  readonly earlierRate: number;
  /** Shortest objective of the requests that asked for it. */
  readonly objectiveMs: Milliseconds;
  /** Requests that wait for the model. */
  readonly waiting: number;
  /** Requests that wait for an adapter of it, by name. */
  readonly waitingAdapters: Readonly<Record<string, number>>;
  /** Time since the last request. */
  readonly idleMs: Milliseconds;
}

export interface ModelDemandMeter {
  /** Notes a request; the returned function notes its end. */
  recordRequest(wanted: RequestedWeights, request: RequestDemand): () => void;
  /** Notes that a request waits for weights; the returned function ends the wait. */
  recordWait(wanted: RequestedWeights): () => void;
  /** Demand of now, without models that nobody has asked for lately. */
  read(): readonly ModelDemand[];
}

/** Time over which requests in flight are averaged. */
const averagingWindowMs: Milliseconds = 1_000;
/** Time over which the rate before is averaged: longer than a load from disk, so that growth shows before it. */
const baselineWindowMs: Milliseconds = 3_000;
const millisecondsPerSecond = 1_000;
/** Models that were not asked for in this time are left out. */
const retentionMs: Milliseconds = 120_000;
const roundingFactor = 100;

interface DemandEntry {
  readonly service: string;
  readonly model: string;
  inFlight: number;
  averageInFlight: number;
  reading: number;
  rate: number;
  earlierRate: number;
  objectiveMs: Milliseconds;
  updatedAt: Milliseconds;
  lastRequestAt: Milliseconds;
  waiting: number;
  readonly waitingAdapters: Map<string, number>;
}

/** Brings the average up to now. */
function updateAverages(entry: DemandEntry, now: Milliseconds): void {
  const kept = Math.exp(-(now - entry.updatedAt) / averagingWindowMs);
  entry.averageInFlight = entry.averageInFlight * kept + entry.inFlight * (1 - kept);
  entry.reading *= kept;
  entry.rate *= kept;
  entry.earlierRate *= Math.exp(-(now - entry.updatedAt) / baselineWindowMs);
  entry.updatedAt = now;
}

/** Calls an action at most once. */
function once(action: () => void): () => void {
  let done = false;
  return () => {
    if (done) return;
    done = true;
    action();
  };
}

/** Creates the meter of one box. */
export function createModelDemandMeter(clock: Clock): ModelDemandMeter {
  const entries = new Map<string, DemandEntry>();

  const entryOf = ({ service, model }: RequestedWeights): DemandEntry => {
    const key = `${service} ${model}`;
    const now = clock.now();
    const entry: DemandEntry = entries.get(key) ?? {
      service,
      model,
      inFlight: 0,
      averageInFlight: 0,
      reading: 0,
      rate: 0,
      earlierRate: 0,
      objectiveMs: Infinity,
      updatedAt: now,
      lastRequestAt: now,
      waiting: 0,
      waitingAdapters: new Map(),
    };
    entries.set(key, entry);
    return entry;
  };

  const countInFlight = (entry: DemandEntry, by: number) => {
    const now = clock.now();
    updateAverages(entry, now);
    entry.inFlight += by;
    entry.lastRequestAt = now;
  };

  const countWaiting = (entry: DemandEntry, adapter: string | undefined, by: number) => {
    if (adapter === undefined) {
      entry.waiting += by;
      return;
    }
    const left = (entry.waitingAdapters.get(adapter) ?? 0) + by;
    if (left > 0) entry.waitingAdapters.set(adapter, left);
    else entry.waitingAdapters.delete(adapter);
  };

  const toDemand = (entry: DemandEntry): ModelDemand => {
    updateAverages(entry, clock.now());
    return {
      service: entry.service,
      model: entry.model,
      inFlight: Math.round(entry.averageInFlight * roundingFactor) / roundingFactor,
      reading: Math.round(entry.reading * roundingFactor) / roundingFactor,
      rate: Math.round(entry.rate * roundingFactor) / roundingFactor,
      earlierRate: Math.round(entry.earlierRate * roundingFactor) / roundingFactor,
      objectiveMs: entry.objectiveMs,
      waiting: entry.waiting,
      waitingAdapters: Object.fromEntries(entry.waitingAdapters),
      idleMs: entry.inFlight > 0 ? 0 : Math.round(clock.now() - entry.lastRequestAt),
    };
  };

  return {
    recordRequest(wanted, { objectiveMs, prefillMs: readingMs }) {
      const entry = entryOf(wanted);
      entry.objectiveMs = Math.min(entry.objectiveMs, objectiveMs);
      countInFlight(entry, 1);
      entry.reading += readingMs / averagingWindowMs;
      entry.rate += millisecondsPerSecond / averagingWindowMs;
      entry.earlierRate += millisecondsPerSecond / baselineWindowMs;
      return once(() => countInFlight(entry, -1));
    },
    recordWait(wanted) {
      const entry = entryOf(wanted);
      countWaiting(entry, wanted.adapter, 1);
      return once(() => countWaiting(entry, wanted.adapter, -1));
    },
    read() {
      const now = clock.now();
      for (const [key, entry] of entries) {
        if (entry.inFlight === 0 && now - entry.lastRequestAt > retentionMs) entries.delete(key);
      }
      return [...entries.values()].map(toDemand);
    },
  };
}

/** Demand of several boxes together. */
export function sumDemand(readings: readonly (readonly ModelDemand[])[]): readonly ModelDemand[] {
  const sums = new Map<string, ModelDemand>();
  for (const demand of readings.flat()) {
    const key = `${demand.service} ${demand.model}`;
    const known = sums.get(key);
    sums.set(key, known ? addDemand(known, demand) : demand);
  }
  return [...sums.values()];
}

function addDemand(left: ModelDemand, right: ModelDemand): ModelDemand {
  const adapters: Record<string, number> = { ...left.waitingAdapters };
  for (const [name, waiting] of Object.entries(right.waitingAdapters)) {
    adapters[name] = (adapters[name] ?? 0) + waiting;
  }
  return {
    ...left,
    inFlight: left.inFlight + right.inFlight,
    reading: left.reading + right.reading,
    rate: left.rate + right.rate,
    earlierRate: left.earlierRate + right.earlierRate,
    objectiveMs: Math.min(left.objectiveMs, right.objectiveMs),
    waiting: left.waiting + right.waiting,
    waitingAdapters: adapters,
    idleMs: Math.min(left.idleMs, right.idleMs),
  };
}
