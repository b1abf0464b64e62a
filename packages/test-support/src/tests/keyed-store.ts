/** An in-memory keyed stream shared by several boxes, with failures that can be injected per box. */
import type { Clock } from "@linkfall/kernel";
import type { KeyedBatch, KeyedRecord, KeyedStreamPort } from "@linkfall/ports";
import { Left, Right } from "purify-ts";

/** How the store handles the calls of one box; `loses_answers` applies writes but fails their calls. */
export type StoreAccess = "serves" | "refuses" | "loses_answers";

export interface KeyedStore {
  /** Returns the port through which a box uses the stream. */
  portFor(box: string): KeyedStreamPort;
  setAccess(box: string, access: StoreAccess): void;
  /** Appends a record directly, as operators and targets do. */
  write(key: string, value: string | undefined): void;
  /** Comes back from a copy that lacks the newest `count` records; their offsets are assigned again. */
  goBack(count: number): void;
  /** Drops the history; reads from earlier offsets fail with `log_truncated`. */
  compact(): void;
  records(): readonly KeyedRecord[];
  /** Number of read calls. */
  reads(): number;
}

/** Interval at which a waiting read polls for new records. */
const pollIntervalMs = 20;

export function createKeyedStore(clock: Clock): KeyedStore {
  const records: KeyedRecord[] = [];
  const access = new Map<string, StoreAccess>();
  let firstOffset = 0;
  let reads = 0;
  let generation = 0;
  const accessOf = (box: string) => access.get(box) ?? "serves";
  const unavailable = () => Left({ kind: "log_unavailable", reason: "cut off" } as const);
  const append = (key: string, value: string | undefined) => {
    records.push({ key, value, offset: records.length });
    return records.length - 1;
  };
  const wait = (delay: number) =>
    new Promise<void>((resolve) => {
      clock.after(delay, resolve);
    });
  const newestRecords = (): KeyedBatch => {
    const newest = new Map(records.map((record) => [record.key, record]));
    const kept = [...newest.values()].filter((record) => record.value !== undefined);
    return { records: kept, end: records.length, generation };
  };

  const portFor = (box: string): KeyedStreamPort => {
    const listeners: ((generation: number) => void)[] = [];
    let knownGeneration = generation;
    /** Notifies the box of a generation that the answer to its call is the first to show. */
    const showGeneration = () => {
      if (generation === knownGeneration) return;
      knownGeneration = generation;
      for (const listener of listeners) listener(generation);
    };
    return {
      async readNewest() {
        reads += 1;
        await wait(1);
        if (accessOf(box) !== "serves") return unavailable();
        showGeneration();
        return Right(newestRecords());
      },
      async readChanges(from, waitMs) {
        reads += 1;
        const until = clock.now() + waitMs;
        await wait(1);
        while (records.length === from && clock.now() < until) await wait(pollIntervalMs);
        if (accessOf(box) !== "serves") return unavailable();
        showGeneration();
        const isKnown = from >= firstOffset && from <= records.length;
        if (!isKnown) return Left({ kind: "log_truncated", first: firstOffset });
        return Right({ records: records.slice(from), end: records.length, generation });
      },
      async put(key, value, at) {
        await wait(1);
        if (accessOf(box) === "refuses") return unavailable();
        if (at !== undefined && at !== records.length) {
          return Left({ kind: "end_moved", end: records.length });
        }
        const offset = append(key, value);
        if (accessOf(box) !== "serves") return unavailable();
        showGeneration();
        return Right({ offset, generation });
      },
      onNewGeneration: (listener) => void listeners.push(listener),
    };
  };

  return {
    portFor,
    setAccess: (box, newAccess) => void access.set(box, newAccess),
    write: (key, value) => void append(key, value),
    goBack(count) {
      records.splice(Math.max(0, records.length - count));
      generation += 1;
    },
    compact: () => {
      firstOffset = records.length;
    },
    reads: () => reads,
    records: () => records,
  };
}
