/** What callers of this box ask of each model: requests at work or waiting, and since when. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** Weights that a request asks for. */
export interface Wanted {
  readonly service: string;
  readonly model: string;
  readonly adapter?: string;
}

/** What one request asks of an engine, whether or not it gets there. */
export interface RequestDemand {
  /** Time in which its answer is to begin. */
  readonly objectiveMs: Milliseconds;
  /** Time for which an engine has to read its prompt. */
  readonly readingMs: Milliseconds;
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

export interface DemandMeter {
  /** Notes a request; the returned function notes its end. */
  begins(wanted: Wanted, request: RequestDemand): () => void;
  /** Notes that a request waits for weights; the returned function ends the wait. */
  waits(wanted: Wanted): () => void;
  /** Demand of now, without models that nobody has asked for lately. */
  read(): readonly ModelDemand[];
}

/** Time over which requests in flight are averaged. */
const averageMs: Milliseconds = 1_000;
/** Time over which the rate before is averaged: longer than a load from disk, so that growth shows before it. */
const earlierMs: Milliseconds = 3_000;
const millisecondsPerSecond = 1_000;
/** Models that were not asked for in this time are left out. */
const forgetMs: Milliseconds = 120_000;
const shownDigits = 100;

interface Entry {
  readonly service: string;
  readonly model: string;
  inFlight: number;
  average: number;
  reading: number;
  rate: number;
  earlierRate: number;
  objectiveMs: Milliseconds;
  averagedAt: Milliseconds;
  lastAt: Milliseconds;
  waiting: number;
  readonly adapters: Map<string, number>;
}

/** Brings the average up to now. */
function settle(entry: Entry, now: Milliseconds): void {
  const kept = Math.exp(-(now - entry.averagedAt) / averageMs);
  entry.average = entry.average * kept + entry.inFlight * (1 - kept);
  entry.reading *= kept;
  entry.rate *= kept;
  entry.earlierRate *= Math.exp(-(now - entry.averagedAt) / earlierMs);
  entry.averagedAt = now;
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
export function createDemandMeter(clock: Clock): DemandMeter {
  const entries = new Map<string, Entry>();

  const entryOf = ({ service, model }: Wanted): Entry => {
    const key = `${service} ${model}`;
    const now = clock.now();
    const entry: Entry = entries.get(key) ?? {
      service,
      model,
      inFlight: 0,
      average: 0,
      reading: 0,
      rate: 0,
      earlierRate: 0,
      objectiveMs: Infinity,
      averagedAt: now,
      lastAt: now,
      waiting: 0,
      adapters: new Map(),
    };
    entries.set(key, entry);
    return entry;
  };

  const countInFlight = (entry: Entry, by: number) => {
    const now = clock.now();
    settle(entry, now);
    entry.inFlight += by;
    entry.lastAt = now;
  };

  const countWaiting = (entry: Entry, adapter: string | undefined, by: number) => {
    if (adapter === undefined) {
      entry.waiting += by;
      return;
    }
    const left = (entry.adapters.get(adapter) ?? 0) + by;
    if (left > 0) entry.adapters.set(adapter, left);
    else entry.adapters.delete(adapter);
  };

  const toDemand = (entry: Entry): ModelDemand => {
    settle(entry, clock.now());
    return {
      service: entry.service,
      model: entry.model,
      inFlight: Math.round(entry.average * shownDigits) / shownDigits,
      reading: Math.round(entry.reading * shownDigits) / shownDigits,
      rate: Math.round(entry.rate * shownDigits) / shownDigits,
      earlierRate: Math.round(entry.earlierRate * shownDigits) / shownDigits,
      objectiveMs: entry.objectiveMs,
      waiting: entry.waiting,
      waitingAdapters: Object.fromEntries(entry.adapters),
      idleMs: entry.inFlight > 0 ? 0 : Math.round(clock.now() - entry.lastAt),
    };
  };

  return {
    begins(wanted, { objectiveMs, readingMs }) {
      const entry = entryOf(wanted);
      entry.objectiveMs = Math.min(entry.objectiveMs, objectiveMs);
      countInFlight(entry, 1);
      entry.reading += readingMs / averageMs;
      entry.rate += millisecondsPerSecond / averageMs;
      entry.earlierRate += millisecondsPerSecond / earlierMs;
      return once(() => countInFlight(entry, -1));
    },
    waits(wanted) {
      const entry = entryOf(wanted);
      countWaiting(entry, wanted.adapter, 1);
      return once(() => countWaiting(entry, wanted.adapter, -1));
    },
    read() {
      const now = clock.now();
      for (const [key, entry] of entries) {
        if (entry.inFlight === 0 && now - entry.lastAt > forgetMs) entries.delete(key);
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
    sums.set(key, known ? add(known, demand) : demand);
  }
  return [...sums.values()];
}

function add(left: ModelDemand, right: ModelDemand): ModelDemand {
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
