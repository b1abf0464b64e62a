/** Follows one keyed stream: its newest records first, then each change as it comes. */
import type { LogFailure } from "@linkfall/errors";
import { type Clock, sleep } from "@linkfall/kernel";
import type { KeyedBatch, KeyedStreamPort } from "@linkfall/ports";
import type { Milliseconds, Offset } from "@linkfall/types";
import type { Either } from "purify-ts";

/** Times of the following. */
export interface FollowTimes {
  /** How long one read waits for a change. */
  readonly waitMs: Milliseconds;
  /** Pause after a read that brought changes, so that changes that follow come together. */
  readonly gatherMs: Milliseconds;
  /** First pause after a failed read; doubles up to `longestPauseMs`. */
  readonly firstPauseMs: Milliseconds;
  readonly longestPauseMs: Milliseconds;
}

export interface StreamFollower {
  start(): void;
  stop(): void;
  /** Begins again with the newest records: another box has told of later ones. */
  restart(): void;
}

interface FollowInput {
  readonly clock: Clock;
  readonly port: KeyedStreamPort;
  readonly times: FollowTimes;
  /** Whether this box is to read the stream itself now. */
  reads(): boolean;
  /** Takes the newest record of every key; what it lacks is gone. */
  onWhole(batch: KeyedBatch): void;
  /** Takes changes in the order of offset. */
  onChanges(batch: KeyedBatch): void;
  /** Takes the failure of a read, or `undefined` after one that succeeded. */
  onRead(failure?: LogFailure): void;
}

/** How often a box that does not read looks whether it has to. */
const idleMs: Milliseconds = 150;

/** Creates a follower that does nothing before it is started. */
export function createStreamFollower(input: FollowInput): StreamFollower {
  const { clock, port, times } = input;
  let end: Offset | undefined;
  let stopped = false;
  let pauseMs = times.firstPauseMs;

  const readOnce = async (): Promise<Either<LogFailure, KeyedBatch>> => {
    if (end === undefined) return port.newest();
    return port.changes(end, times.waitMs);
  };

  const take = (batch: KeyedBatch) => {
    const whole = end === undefined;
    end = batch.end;
    pauseMs = times.firstPauseMs;
    if (whole) input.onWhole(batch);
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
    pauseMs = Math.min(times.longestPauseMs, pauseMs * 2);
  };

  const run = async () => {
    while (!stopped) {
      if (!input.reads()) {
        end = undefined;
        await sleep(clock, idleMs);
        continue;
      }
      const read = await readOnce();
      if (stopped) return;
      await read.caseOf<Promise<void> | void>({ Left: fail, Right: take });
      const changed = read.map((batch) => batch.records.length > 0).orDefault(false);
      if (changed && times.gatherMs > 0) await sleep(clock, times.gatherMs);
    }
  };

  return {
    start: () => void run(),
    stop: () => {
      stopped = true;
    },
    restart: () => {
      end = undefined;
    },
  };
}
