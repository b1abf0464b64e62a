/** Polls the state stream and folds new records. */
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

/** Limit of records returned by one read. */
const maxBatchRecords = 500;

/** Keeps the folded state up to date with the log. */
export interface LogFollower {
  /** Reads to the end of the log; returns the offset of the state. Concurrent calls share one read. */
  catchUp(): Promise<Either<LogFailure, Offset>>;
  /** Returns the time since the last successful read of the log; Infinity before the first. */
  sinceLastResponseMs(): Milliseconds;
}

/** Name of the follower in the kernel. */
export const logFollowerName = serviceName<LogFollower>("log-follower");

/** Creates the follower, which polls the log while it is started. */
export function createLogFollower(kernel: Kernel): LogFollower & Service {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  const port = kernel.find(logPortName);
  const settings = kernel.find(settingsName).platform;
  let lastResponseAt = -Infinity;
  let isReachable = true;
  let catchUpInProgress: Promise<Either<LogFailure, Offset>> | undefined;

  const recordFailure = (failure: LogFailure) => {
    metrics.count("linkfall_log_read_failures_total", "Reads of the log that failed");
    if (isReachable) logger.event("logUnreachable", { reason: failure.kind });
    isReachable = false;
  };
  const recordResponse = () => {
    lastResponseAt = clock.now();
    if (!isReachable) logger.event("logReachable", { offset: store.state().offset });
    isReachable = true;
  };

  const restore = async (first: Offset): Promise<Either<LogFailure, Offset>> => {
    const restored = await restoreFromLog(port, first, maxBatchRecords);
    return restored.caseOf<Either<LogFailure, Offset>>({
      // Without a snapshot the state is unknown, not empty: keep polling; a peer may provide the state meanwhile.
      Left: (failure) =>
        match(failure)
          .with({ kind: "no_snapshot" }, (missing) =>
            Left<LogFailure>({ kind: "log_truncated", first: missing.first }),
          )
          .otherwise((other) => Left(other)),
      Right: (state) => {
        if (store.replace(state)) logger.event("restoredFromSnapshot", { offset: state.offset });
        return Right(store.state().offset);
      },
    });
  };

  /** Performs one read; Right(true) if the end of the log was reached. */
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
        recordFailure(failure);
        return Left(failure);
      }
      recordResponse();
      if (read.extract() === true) break;
    }
    store.markReady();
    return Right(store.state().offset);
  };

  const catchUp = () => {
    catchUpInProgress ??= readToEnd().finally(() => {
      catchUpInProgress = undefined;
    });
    return catchUpInProgress;
  };

  store.onFold((event, entry) => {
    if (event.type !== "bad_record") return;
    metrics.count("linkfall_log_bad_records_total", "Invalid records in the log");
    logger.event("badRecord", { offset: entry.offset, reason: event.reason });
  });
  metrics.gauge(
    "linkfall_state_offset",
    "Log offset of the folded state",
    () => store.state().offset,
  );

  const loop = repeatEvery(clock, kernel.find(randomName), settings.log_poll_ms, async () => {
    await catchUp();
  });
  return {
    catchUp,
    sinceLastResponseMs: () => clock.now() - lastResponseAt,
    async start() {
      void catchUp();
      await loop.start();
    },
    stop: loop.stop,
  };
}
