/** Streams of the platform's store that keep the newest record of each key for good. */
import type { LogFailure } from "@linkfall/errors";
import type { Milliseconds, Offset } from "@linkfall/types";
import type { Either } from "purify-ts";

/** One record; a dropped key has no value. */
export interface KeyedRecord {
  readonly key: string;
  readonly value?: string;
  readonly offset: Offset;
}

/** Records in the order of offset, and the offset that the next record will get. */
export interface KeyedBatch {
  readonly records: readonly KeyedRecord[];
  readonly end: Offset;
}

/** A conditional append found another end than it named. */
export interface EndMoved {
  readonly kind: "end_moved";
  readonly end: Offset;
}

export interface KeyedStreamPort {
  /** The newest record of each key. */
  readNewest(): Promise<Either<LogFailure, KeyedBatch>>;
  /** Records from `from` on; waits up to `waitMs` for one to exist. */
  readChanges(from: Offset, waitMs: Milliseconds): Promise<Either<LogFailure, KeyedBatch>>;
  /** Appends a record; with `at`, only where the stream ends there. Answers its offset. */
  put(key: string, value: string, at?: Offset): Promise<Either<LogFailure | EndMoved, Offset>>;
}
