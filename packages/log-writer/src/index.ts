/**
 * Appends records so that each counts once. Records of one box go one after the other: a record is
 * read back before the next is sent, so the fold can drop every repeat by one number a box.
 */
import { settingsName } from "@linkfall/config";
import type { LogFailure } from "@linkfall/errors";
import { clockName, type Kernel, serviceName, sleep } from "@linkfall/kernel";
import { logFollowerName } from "@linkfall/log-follower";
import { metricsName } from "@linkfall/metrics";
import { logPortName, streams } from "@linkfall/ports";
import type { FoldEvent } from "@linkfall/state-fold";
import { stateStoreName } from "@linkfall/state-store";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { Incarnation, Milliseconds, Offset, StateRecord } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

const appendBurstSize = 20;
const initialRetryWaitMs: Milliseconds = 100;
const maxRetryWaitMs: Milliseconds = 2_000;

/** The record was not read back in time. It may be in the log, or come there late. */
export interface AppendUnknown {
  readonly kind: "append_unknown";
}

/** Makes the record once its identifier is known. */
export type RecordFactory = (id: string) => StateRecord;

export interface LogWriter {
  /**
   * Appends a record and answers with what it did when folded, or gives up after `limit`.
   * A record that was given up on becomes void once a later one of this box is in the log.
   */
  append(
    record: RecordFactory,
    limit: Milliseconds,
  ): Promise<Either<AppendUnknown, readonly FoldEvent[]>>;
}

export const logWriterName = serviceName<LogWriter>("log-writer");
export const incarnationName = serviceName<Incarnation>("incarnation");

/** Creates the writer of one box. */
export function createLogWriter(kernel: Kernel): LogWriter {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const follower = kernel.find(logFollowerName);
  const metrics = kernel.find(metricsName);
  const port = kernel.find(logPortName);
  const incarnation = kernel.find(incarnationName);
  const rate = kernel.find(settingsName).platform.append_rate;
  const bucket = createTokenBucket(clock, { rate, burst: appendBurstSize });
  const seen = new Map<string, FoldEvent[]>();
  let sequence = 0;
  let queue: Promise<unknown> = Promise.resolve();

  store.onFold((event) => {
    if ("id" in event) seen.get(event.id)?.push(event);
  });

  /** Whether the record has been folded, seen or not. */
  const isFolded = (number: number) =>
    (store.state().writers.get(incarnation)?.highest ?? 0) >= number;

  const appendOnce = async (data: string): Promise<Either<LogFailure, Offset>> => {
    while (!bucket.take()) await sleep(clock, bucket.msUntil());
    metrics.count("linkfall_log_appends_total", "Appends sent to the log", { stream: "state" });
    return port.append(streams.state, data);
  };

  const appendUntilFolded = async (data: string, number: number, giveUpAt: Milliseconds) => {
    let wait = initialRetryWaitMs;
    while (clock.now() < giveUpAt) {
      const appended = await appendOnce(data);
      const read = await follower.catchUp();
      if (isFolded(number)) return true;
      // Appended and read to the end, yet absent: the read had begun before the append.
      if (appended.isRight() && read.isRight()) {
        await follower.catchUp();
        if (isFolded(number)) return true;
      }
      await sleep(clock, Math.max(0, Math.min(wait, giveUpAt - clock.now())));
      wait = Math.min(maxRetryWaitMs, 2 * wait);
      if (isFolded(number)) return true;
    }
    return false;
  };

  const run = async (
    recordOf: RecordFactory,
    giveUpAt: Milliseconds,
  ): Promise<Either<AppendUnknown, readonly FoldEvent[]>> => {
    const number = ++sequence;
    const record = recordOf(`${incarnation}#${number}`);
    seen.set(record.id, []);
    await appendUntilFolded(JSON.stringify(record), number, giveUpAt);
    const foldEvents = seen.get(record.id) ?? [];
    seen.delete(record.id);
    // No event although it is folded: the state was taken over as a whole, its effect is unseen.
    return foldEvents.length > 0 ? Right(foldEvents) : Left({ kind: "append_unknown" });
  };

  return {
    append(recordOf, limit) {
      // Counted from now: what waits before it, such as a renewal during an outage, is part of the wait.
      const giveUpAt = clock.now() + limit;
      const result = queue.then(() => run(recordOf, giveUpAt));
      queue = result.catch(() => undefined);
      return result;
    },
  };
}
