/** Compacted streams of the platform's store, which retain the newest record of each key. */
import type { LogFailure } from "@linkfall/errors";
import type { Milliseconds, Offset } from "@linkfall/types";
import type { Either } from "purify-ts";

/** A record of a stream; the record of a deleted key has no value. */
export interface KeyedRecord {
  readonly key: string;
  readonly value?: string;
  readonly offset: Offset;
}

/**
 * Counts how often the store has come back from an older copy. Offsets are only comparable within one generation, as
 * the store assigns those of lost records again.
 */
export type StoreGeneration = number;

/** Records in offset order; `end` is the offset that the next record will get. */
export interface KeyedBatch {
  readonly records: readonly KeyedRecord[];
  readonly end: Offset;
  /** Whether the stream already had more records than these; absent if not. */
  readonly isPartial?: boolean;
  /** Generation of the store that answered. */
  readonly generation: StoreGeneration;
}

/** Position of an appended record. */
export interface AppendedRecord {
  readonly offset: Offset;
  readonly generation: StoreGeneration;
}

/** A conditional append failed because the stream has a different end. */
export interface EndMoved {
  readonly kind: "end_moved";
  readonly end: Offset;
}

export interface KeyedStreamPort {
  /** The newest record of each key. */
  readNewest(): Promise<Either<LogFailure, KeyedBatch>>;
  /** Records from offset `from` on; waits up to `waitMs` for the first one. */
  readChanges(from: Offset, waitMs: Milliseconds): Promise<Either<LogFailure, KeyedBatch>>;
  /** Appends a record and returns its position; if `at` is given, only if the stream ends there. */
  put(
    key: string,
    value: string,
    at?: Offset,
  ): Promise<Either<LogFailure | EndMoved, AppendedRecord>>;
  /** Calls the listener when an answer to any call, also of another stream, is of a higher generation than all before. */
  onNewGeneration(listener: (generation: StoreGeneration) => void): void;
}
