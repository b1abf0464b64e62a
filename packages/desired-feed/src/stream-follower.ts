/** Follows one keyed stream: reads a snapshot of its newest records first, then each change. */
import type { LogFailure } from "@linkfall/errors";
import { type Clock, sleep } from "@linkfall/kernel";
import type { KeyedBatch, KeyedStreamPort, StoreGeneration } from "@linkfall/ports";
import type { Milliseconds, Offset } from "@linkfall/types";

/** Timing of a stream follower. */
export interface StreamFollowerTimes {
  /** Maximum time that one read waits for a change. */
  readonly maxWaitMs: Milliseconds;
  /** Pause after a read with changes, which combines later changes into one read. */
  readonly coalesceMs: Milliseconds;
  /** Pause after a failed read; doubles with each further failure up to `maxRetryPauseMs`. */
  readonly initialRetryPauseMs: Milliseconds;
  readonly maxRetryPauseMs: Milliseconds;
}

/** Reads one keyed stream in a loop. */
export interface StreamFollower {
  start(): void;
  stop(): void;
  /** Restarts with a snapshot, after another box has sent later records. */
  restart(): void;
}

/** Dependencies and callbacks of a stream follower. */
interface StreamFollowerInput {
  readonly clock: Clock;
  readonly port: KeyedStreamPort;
  readonly times: StreamFollowerTimes;
  /** Whether this box currently reads the stream itself. */
  isReader(): boolean;
  /** Handles the newest record of every key; absent keys are deleted. */
  onSnapshot(batch: KeyedBatch): void;
  /** Handles changes in offset order. */
  onChanges(batch: KeyedBatch): void;
  /** Called after an answer was handled; `isWhole`: the stream was applied up to its end at that time. */
  onAnswer(isWhole: boolean): void;
  /** Handles the failure of a read. */
  onFailure(failure: LogFailure): void;
}

/** Interval at which a box that does not read the stream checks whether it has become a reader. */
const readerCheckMs: Milliseconds = 150;

/** Position of the next read; offsets of different generations are not comparable. */
interface ReadPosition {
  readonly offset: Offset;
  readonly generation: StoreGeneration;
}

/** Creates a stopped follower. */
export function createStreamFollower(input: StreamFollowerInput): StreamFollower {
  const { clock, port, times } = input;
  /** Undefined if the next read is of a snapshot. */
  let nextPosition: ReadPosition | undefined;
  /** Ends the wait for a read that may be of a lost history. */
  let abandonRead = () => undefined as void;
  let restarts = 0;
  let stopped = false;
  let pauseMs = times.initialRetryPauseMs;
  let lastReadFailed = false;

  /**
   * Handles the result of a read that started at `from`, undefined for a snapshot. A read that started before a restart still
   * returns changes; treating them as a snapshot would delete all keys that had not changed.
   */
  const handleBatch = (batch: KeyedBatch, from: ReadPosition | undefined, restarted: boolean) => {
    // The store has come back from an older copy, so these are not the changes after `from`.
    const isOtherHistory = from !== undefined && batch.generation !== from.generation;
    const { end: offset, generation } = batch;
    nextPosition = restarted || isOtherHistory ? undefined : { offset, generation };
    pauseMs = times.initialRetryPauseMs;
    lastReadFailed = false;
    if (from === undefined) input.onSnapshot(batch);
    else if (!isOtherHistory && batch.records.length > 0) input.onChanges(batch);
    input.onAnswer(!restarted && !isOtherHistory && !batch.isPartial);
  };

  const handleFailure = async (failure: LogFailure) => {
    // Truncated or lost history is no outage: continue with a snapshot.
    if (failure.kind === "log_truncated") {
      nextPosition = undefined;
      return;
    }
    lastReadFailed = true;
    input.onFailure(failure);
    await sleep(clock, pauseMs);
    pauseMs = Math.min(times.maxRetryPauseMs, pauseMs * 2);
  };

  /** After a failure, an answer shows that the store is back; it must not wait for a change. */
  const waitMs = () => (lastReadFailed ? 0 : times.maxWaitMs);
  const read = (from: ReadPosition | undefined) =>
    from === undefined ? port.readNewest() : port.readChanges(from.offset, waitMs());

  /** Resolves with the result of the read, or with undefined if it is abandoned. */
  const readUnlessAbandoned = (from: ReadPosition | undefined) => {
    const abandoned = new Promise<undefined>((resolve) => {
      abandonRead = () => resolve(undefined);
    });
    return Promise.race([read(from), abandoned]);
  };

  const run = async () => {
    while (!stopped) {
      if (!input.isReader()) {
        nextPosition = undefined;
        await sleep(clock, readerCheckMs);
        continue;
      }
      const from = nextPosition;
      const restartsBefore = restarts;
      const result = await readUnlessAbandoned(from);
      if (stopped) return;
      if (result === undefined) continue;
      await result.caseOf<Promise<void> | void>({
        Left: handleFailure,
        Right: (batch) => handleBatch(batch, from, restarts !== restartsBefore),
      });
      const changed = result.map((batch) => batch.records.length > 0).orDefault(false);
      if (changed && times.coalesceMs > 0) await sleep(clock, times.coalesceMs);
    }
  };

  const restart = () => {
    restarts += 1;
    nextPosition = undefined;
  };
  port.onNewGeneration(() => {
    restart();
    abandonRead();
  });

  return {
    start: () => void run(),
    stop: () => {
      stopped = true;
    },
    restart,
  };
}
