/** Follows one keyed stream: its newest records first, then each change as it comes. */
import type { LogFailure } from "@linkfall/errors";
import { type Clock, sleep } from "@linkfall/kernel";
import type { KeyedBatch, KeyedStreamPort } from "@linkfall/ports";
import type { Milliseconds, Offset } from "@linkfall/types";

/** Times of the following. */
export interface StreamFollowerTimes {
  /** How long one read waits for a change. */
  readonly maxWaitMs: Milliseconds;
  /** Pause after a read that brought changes, so that changes that follow come together. */
  readonly coalesceMs: Milliseconds;
  /** First pause after a failed read; doubles up to `longestPauseMs`. */
  readonly initialRetryPauseMs: Milliseconds;
  readonly maxRetryPauseMs: Milliseconds;
}

export interface StreamFollower {
  start(): void;
  stop(): void;
  /** Begins again with the newest records: another box has told of later ones. */
  restart(): void;
}

interface StreamFollowerInput {
  readonly clock: Clock;
  readonly port: KeyedStreamPort;
  readonly times: StreamFollowerTimes;
  /** Whether this box is to read the stream itself now. */
  isReader(): boolean;
  /** Takes the newest record of every key; what it lacks is gone. */
  onSnapshot(batch: KeyedBatch): void;
  /** Takes changes in the order of offset. */
  onChanges(batch: KeyedBatch): void;
  /** Takes the failure of a read, or `undefined` after one that succeeded. */
  onRead(failure?: LogFailure): void;
}

/** How often a box that does not read looks whether it has to. */
const idleMs: Milliseconds = 150;

/** Creates a follower that does nothing before it is started. */
export function createStreamFollower(input: StreamFollowerInput): StreamFollower {
  const { clock, port, times } = input;
  let end: Offset | undefined;
  let restarts = 0;
  let stopped = false;
  let pauseMs = times.initialRetryPauseMs;

  /**
   * Takes what a read that began at `from` has brought. It may have begun before a restart: its changes are no whole list, and
   * the next read is of the newest records all the same. Taken for a whole list, they took away all targets that had not changed.
   */
  const take = (batch: KeyedBatch, from: Offset | undefined, restarted: boolean) => {
    end = restarted ? undefined : batch.end;
    pauseMs = times.initialRetryPauseMs;
    if (from === undefined) input.onSnapshot(batch);
    else if (batch.records.length > 0) input.onChanges(batch);
    input.onRead();
  };

  const fail = async (failure: LogFailure) => {
    // History that is gone is read anew from the newest records; that is no outage.
    if (failure.kind === "log_truncated") {
      end = undefined;
      return;
    }
    input.onRead(failure);
    await sleep(clock, pauseMs);
    pauseMs = Math.min(times.maxRetryPauseMs, pauseMs * 2);
  };

  const run = async () => {
    while (!stopped) {
      if (!input.isReader()) {
        end = undefined;
        await sleep(clock, idleMs);
        continue;
      }
      const from = end;
      const before = restarts;
      const read = await (from === undefined ? port.readNewest() : port.readChanges(from, times.maxWaitMs));
      if (stopped) return;
      await read.caseOf<Promise<void> | void>({
        Left: fail,
        Right: (batch) => take(batch, from, restarts !== before),
      });
      const changed = read.map((batch) => batch.records.length > 0).orDefault(false);
      if (changed && times.coalesceMs > 0) await sleep(clock, times.coalesceMs);
    }
  };

  return {
    start: () => void run(),
    stop: () => {
      stopped = true;
    },
    restart: () => {
      restarts += 1;
      end = undefined;
    },
  };
}
