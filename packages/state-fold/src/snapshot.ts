/** Serialises the folded state, splits it into records of bounded size, and reassembles it. */
import type { FieldProblem } from "@linkfall/errors";
import type { LogEntry, Offset, SnapshotPartRecord } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { parseRecord } from "./schemas.js";
import { emptyState, type FoldedState, type SnapshotParts } from "./state.js";

/** Version of the snapshot format; other versions are rejected. */
const snapshotFormat = 1;

/** A snapshot part without the fields common to all records. */
export type SnapshotPart = Omit<SnapshotPartRecord, "id" | "type">;

/** Serialises the complete state. */
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

/** Parses a serialised state. */
export function parseState(text: string): Either<FieldProblem, FoldedState> {
  try {
    const value = JSON.parse(text);
    if (value.format !== snapshotFormat) {
      return Left({ field: "format", reason: `unsupported snapshot format ${value.format}` });
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
  } catch (error) {
    return Left({ field: "snapshot", reason: String(error) });
  }
}

/** Splits the serialised state into parts of at most `partLength` characters. */
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

/** Reassembles snapshots from log records, which are added in offset order. */
export interface SnapshotCollector {
  /** Adds a record; returns the state if this completes a snapshot taken at offset `minOffset` or later. */
  add(entry: LogEntry, minOffset: Offset): FoldedState | undefined;
}

/** Creates a collector without records. */
export function createSnapshotCollector(): SnapshotCollector {
  const partsBySnapshot = new Map<string, SnapshotParts>();
  return {
    add(entry, minOffset) {
      const record = parseRecord(entry.data).toMaybe().extract();
      if (record?.type !== "snapshot" || record.asOf < minOffset) return undefined;
      const snapshot = partsBySnapshot.get(record.snapshot) ?? {
        asOf: record.asOf,
        count: record.count,
        parts: new Map<number, string>(),
      };
      partsBySnapshot.set(record.snapshot, snapshot);
      snapshot.parts.set(record.index, record.data);
      if (snapshot.parts.size < snapshot.count) return undefined;
      const text = Array.from({ length: snapshot.count }, (_, index) =>
        snapshot.parts.get(index),
      ).join("");
      return parseState(text).toMaybe().extract();
    },
  };
}
