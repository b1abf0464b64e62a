/** Folded state as text, cut into records of bounded size and put together again. */
import type { FieldProblem } from "@linkfall/errors";
import type { LogEntry, Offset, SnapshotPartRecord } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { parseRecord } from "./schemas.js";
import { emptyState, type FoldedState, type SnapshotParts } from "./state.js";

/** Format of the text; a box refuses one that it does not know. */
const snapshotFormat = 1;

/** A snapshot without the fields that the log adds to a record. */
export type SnapshotPart = Omit<SnapshotPartRecord, "id" | "type">;

/** The whole state as text. */
export function serialiseState(state: FoldedState): string {
  return JSON.stringify({
    format: snapshotFormat,
    offset: state.offset,
    resources: [...state.resources],
    leases: [...state.leases],
    intents: [...state.intents],
    settledThrough: [...state.settledThrough],
    writers: [...state.writers],
    heldRequests: [...state.heldRequests],
    history: state.history,
    newestSnapshot: state.newestSnapshot,
  });
}

/** Reads the text of a snapshot. */
export function parseState(text: string): Either<FieldProblem, FoldedState> {
  try {
    const value = JSON.parse(text);
    if (value.format !== snapshotFormat) {
      return Left({ field: "format", reason: `unknown format ${value.format}` });
    }
    return Right({
      ...emptyState(),
      offset: value.offset,
      resources: new Map(value.resources),
      leases: new Map(value.leases),
      intents: new Map(value.intents),
      settledThrough: new Map(value.settledThrough),
      writers: new Map(value.writers),
      heldRequests: new Map(value.heldRequests),
      history: value.history,
      newestSnapshot: value.newestSnapshot,
    });
  } catch (problem) {
    return Left({ field: "snapshot", reason: String(problem) });
  }
}

/** Cuts the state into parts of at most `partLength` characters. */
export function splitSnapshot(
  state: FoldedState,
  snapshot: string,
  partLength: number,
): readonly SnapshotPart[] {
  const text = serialiseState(state);
  const count = Math.max(1, Math.ceil(text.length / partLength));
  return Array.from({ length: count }, (_, index) => ({
    snapshot,
    asOf: state.offset,
    index,
    count,
    data: text.slice(index * partLength, (index + 1) * partLength),
  }));
}

/** Collects the parts of snapshots from records in the order of offset. */
export interface SnapshotCollector {
  /** Takes a record; answers with the state once a snapshot that reaches `atLeast` is whole. */
  add(entry: LogEntry, atLeast: Offset): FoldedState | undefined;
}

/** Creates a collector that has seen no record. */
export function createSnapshotCollector(): SnapshotCollector {
  const collected = new Map<string, SnapshotParts>();
  return {
    add(entry, atLeast) {
      const record = parseRecord(entry.data).toMaybe().extract();
      if (record?.type !== "snapshot" || record.asOf < atLeast) return undefined;
      const held = collected.get(record.snapshot) ?? {
        asOf: record.asOf,
        count: record.count,
        parts: new Map<number, string>(),
      };
      collected.set(record.snapshot, held);
      held.parts.set(record.index, record.data);
      if (held.parts.size < held.count) return undefined;
      const text = Array.from({ length: held.count }, (_, index) => held.parts.get(index)).join("");
      return parseState(text).toMaybe().extract();
    },
  };
}
