/** A keyed stream in memory, reached by several boxes of which each can be cut off. */
import type { Clock } from "@linkfall/kernel";
import type { KeyedBatch, KeyedRecord, KeyedStreamPort } from "@linkfall/ports";
import { Left, Right } from "purify-ts";

/** How the store treats one box. */
export type StoreAccess = "serves" | "refuses" | "loses_answers";

export interface KeyedStore {
  /** The stream as one box reaches it. */
  portFor(box: string): KeyedStreamPort;
  setAccess(box: string, access: StoreAccess): void;
  /** Writes past all boxes, as operators and targets do. */
  write(key: string, value: string | undefined): void;
  /** Drops the history: reads from before now are told so. */
  compact(): void;
  records(): readonly KeyedRecord[];
  /** Calls that have read so far. */
  reads(): number;
}

/** How often a read that waits looks again. */
const pollIntervalMs = 20;

export function createKeyedStore(clock: Clock): KeyedStore {
  const records: KeyedRecord[] = [];
  const access = new Map<string, StoreAccess>();
  let firstOffset = 0;
  let reads = 0;
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
  const readNewest = (): KeyedBatch => {
    const newest = new Map(records.map((record) => [record.key, record]));
    const kept = [...newest.values()].filter((record) => record.value !== undefined);
    return { records: kept, end: records.length };
  };

  const portFor = (box: string): KeyedStreamPort => ({
    async readNewest() {
      reads += 1;
      await wait(1);
      return accessOf(box) === "serves" ? Right(readNewest()) : unavailable();
    },
    async readChanges(from, waitMs) {
      reads += 1;
      const until = clock.now() + waitMs;
      await wait(1);
      while (records.length <= from && clock.now() < until) await wait(pollIntervalMs);
      if (accessOf(box) !== "serves") return unavailable();
      if (from < firstOffset) return Left({ kind: "log_truncated", first: firstOffset });
      return Right({ records: records.slice(from), end: Math.max(from, records.length) });
    },
    async put(key, value, at) {
      await wait(1);
      if (accessOf(box) === "refuses") return unavailable();
      if (at !== undefined && at !== records.length) {
        return Left({ kind: "end_moved", end: records.length });
      }
      const offset = append(key, value);
      return accessOf(box) === "serves" ? Right(offset) : unavailable();
    },
  });

  return {
    portFor,
    setAccess: (box, treated) => void access.set(box, treated),
    write: (key, value) => void append(key, value),
    compact: () => {
      firstOffset = records.length;
    },
    reads: () => reads,
    records: () => records,
  };
}
