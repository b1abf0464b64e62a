/** The stream of claims, probes and renewals, as far as one box has read it, and appends directly behind that. */
import type { LogFailure } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { KeyedBatch, KeyedRecord, KeyedStreamPort, StoreGeneration } from "@linkfall/ports";
import type { Milliseconds, Offset } from "@linkfall/types";
import type { Either } from "purify-ts";

export interface ClaimStreamListener {
  /** Called before the first records of a store that has come back from an older copy, which need not have earlier ones. */
  onNewGeneration(generation: StoreGeneration): void;
  onRecord(record: KeyedRecord, generation: StoreGeneration): void;
}

/** Position of an appended record. */
export interface RecordPosition {
  readonly offset: Offset;
  readonly generation: StoreGeneration;
}

export interface ClaimStream {
  /** Generation of the store that was last read. */
  generation(): StoreGeneration;
  /** When this box first read that generation. */
  generationSeenAt(): Milliseconds;
  /**
   * Reads what is new; resolves to false unless all records up to the end of the stream have been applied. Reads may overlap
   * and answers overtake each other; a read beyond the bound on those under way is not sent.
   */
  follow(): Promise<boolean>;
  /** Number of these reads that are not answered yet. */
  readsUnderWay(): number;
  /** Reads the newest record of each key; resolves to false if the store does not answer. */
  readNewest(): Promise<boolean>;
  /** Appends a record directly behind those that this box has read; resolves to undefined if it was not appended. */
  append(key: string, value: string): Promise<RecordPosition | undefined>;
}

/** Maximum number of reads at the same time. */
const maxReadsUnderWay = 2;

export function createClaimStream(
  clock: Clock,
  stream: KeyedStreamPort,
  listener: ClaimStreamListener,
): ClaimStream {
  let generation: StoreGeneration = 0;
  let generationSeenAt = clock.now();
  /** Offset at which the next read starts; undefined if it reads the newest records. */
  let nextOffset: Offset | undefined;
  let readsUnderWay = 0;

  const startGeneration = (newer: StoreGeneration) => {
    generation = newer;
    generationSeenAt = clock.now();
    nextOffset = undefined;
    listener.onNewGeneration(newer);
  };

  /** Later answers to earlier reads don't move the position back. */
  const advanceTo = (offset: Offset) => {
    nextOffset = Math.max(nextOffset ?? offset, offset);
  };

  /** Returns whether the records are those up to the end of the stream. */
  const applyBatch = (batch: KeyedBatch): boolean => {
    // An answer of an earlier generation proves nothing.
    if (batch.generation < generation) return false;
    if (batch.generation > generation) startGeneration(batch.generation);
    for (const record of batch.records) listener.onRecord(record, generation);
    advanceTo(batch.end);
    return batch.isPartial !== true;
  };

  const handleReadFailure = (failure: LogFailure) => {
    if (failure.kind === "log_truncated") nextOffset = undefined;
  };

  /** Reads the records after those already read; all newest records if the store has come back from an older copy. */
  const readNext = async (): Promise<Either<LogFailure, KeyedBatch>> => {
    if (nextOffset === undefined) return stream.readNewest();
    const read = await stream.readChanges(nextOffset, 0);
    const isOtherHistory = read.map((batch) => batch.generation !== generation).orDefault(false);
    return isOtherHistory ? stream.readNewest() : read;
  };

  return {
    generation: () => generation,
    generationSeenAt: () => generationSeenAt,
    async follow() {
      if (readsUnderWay >= maxReadsUnderWay) return false;
      readsUnderWay += 1;
      const read = await readNext();
      readsUnderWay -= 1;
      return read.ifLeft(handleReadFailure).map(applyBatch).orDefault(false);
    },
    readsUnderWay: () => readsUnderWay,
    async readNewest() {
      const read = await stream.readNewest();
      read.ifRight(applyBatch);
      return read.isRight();
    },
    async append(key, value) {
      const sentGeneration = generation;
      if (nextOffset === undefined) return undefined;
      const appended = await stream.put(key, value, nextOffset);
      return appended.caseOf({
        Left: () => undefined,
        Right(position) {
          // The store has come back from an older copy meanwhile: the record is found by reading.
          if (position.generation !== sentGeneration || generation !== sentGeneration)
            return undefined;
          advanceTo(position.offset + 1);
          return { offset: position.offset, generation };
        },
      });
    },
  };
}
