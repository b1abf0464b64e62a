/** Reads the state stream again and again and folds what is new. */
import { settingsName } from "@linkfall/config";
import type { LogFailure } from "@linkfall/errors";
import {
  clockName,
  type Kernel,
  randomName,
  repeatEvery,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import { logPortName, streams } from "@linkfall/ports";
import { stateStoreName } from "@linkfall/state-store";
import type { Milliseconds, Offset } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { match } from "ts-pattern";
import { restoreFromLog } from "./restore.js";

const maxBatchRecords = 500;

export interface LogFollower {
  /** Reads to the end of the log and answers with the offset that the state has reached. */
  catchUp(): Promise<Either<LogFailure, Offset>>;
  /** Time since the log last answered a read; Infinity before the first answer. */
  sinceLastResponseMs(): Milliseconds;
}

export const logFollowerName = serviceName<LogFollower>("log-follower");

/** Creates the follower; its life cycle is the reading loop. */
export function createLogFollower(kernel: Kernel): LogFollower & Service {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  const port = kernel.find(logPortName);
  const settings = kernel.find(settingsName).platform;
  let answeredAt = -Infinity;
  let reachable = true;
  let running: Promise<Either<LogFailure, Offset>> | undefined;

  const noteFailure = (failure: LogFailure) => {
    metrics.count("linkfall_log_read_failures_total", "Reads of the log that failed");
    if (reachable) logger.event("logUnreachable", { reason: failure.kind });
    reachable = false;
  };
  const noteAnswer = () => {
    answeredAt = clock.now();
    if (!reachable) logger.event("logReachable", { offset: store.state().offset });
    reachable = true;
  };

  const restore = async (first: Offset): Promise<Either<LogFailure, Offset>> => {
    const restored = await restoreFromLog(port, first, maxBatchRecords);
    return restored.caseOf<Either<LogFailure, Offset>>({
      // No snapshot is no empty state: the box goes on asking, and its peers meanwhile.
      Left: (failure) =>
        match(failure)
          .with({ kind: "no_snapshot" }, (gap) =>
            Left<LogFailure>({ kind: "log_truncated", first: gap.first }),
          )
          .otherwise((other) => Left(other)),
      Right: (state) => {
        if (store.replace(state)) logger.event("restoredFromSnapshot", { offset: state.offset });
        return Right(store.state().offset);
      },
    });
  };

  /** One read; Right(true) when the end of the log has been reached. */
  const readOnce = async (): Promise<Either<LogFailure, boolean>> => {
    const read = await port.read(streams.state, store.state().offset + 1, maxBatchRecords);
    if (read.isLeft()) {
      const failure = read.extract() as LogFailure;
      if (failure.kind !== "log_truncated") return Left(failure);
      return (await restore(failure.first)).map(() => false);
    }
    const batch = read.unsafeCoerce();
    store.ingest(batch.entries);
    return Right(store.state().offset >= batch.newest);
  };

  const readToEnd = async (): Promise<Either<LogFailure, Offset>> => {
    for (;;) {
      const read = await readOnce();
      if (read.isLeft()) {
        const failure = read.extract() as LogFailure;
        noteFailure(failure);
        return Left(failure);
      }
      noteAnswer();
      if (read.extract() === true) break;
    }
    store.markReady();
    return Right(store.state().offset);
  };

  const catchUp = () => {
    running ??= readToEnd().finally(() => {
      running = undefined;
    });
    return running;
  };

  store.onFold((event, entry) => {
    if (event.type !== "bad_record") return;
    metrics.count("linkfall_log_bad_records_total", "Records that could not be understood");
    logger.event("badRecord", { offset: entry.offset, reason: event.reason });
  });
  metrics.gauge(
    "linkfall_state_offset",
    "Offset that the state has reached",
    () => store.state().offset,
  );

  const loop = repeatEvery(clock, kernel.find(randomName), settings.log_poll_ms, async () => {
    await catchUp();
  });
  return {
    catchUp,
    sinceLastResponseMs: () => clock.now() - answeredAt,
    async start() {
      void catchUp();
      await loop.start();
    },
    stop: loop.stop,
  };
}
