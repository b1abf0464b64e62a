/**
 * Appends records with exactly-once effect. Each record is read back before the next is sent, so the fold can detect
 * duplicates by one sequence number per box.
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

/** The record was not read back in time. It may be in the log, or still be appended later. */
export interface AppendUnknown {
  readonly kind: "append_unknown";
}

/** Creates a record with the given identifier. */
export type RecordFactory = (id: string) => StateRecord;

/** Appends the records of one box. */
export interface LogWriter {
  /**
   * Appends a record and returns its effects, or gives up after `timeoutMs`. An abandoned record has no effect once a later
   * one of this box is in the log.
   */
  append(
    createRecord: RecordFactory,
    timeoutMs: Milliseconds,
  ): Promise<Either<AppendUnknown, readonly FoldEvent[]>>;
}

/** Name of the writer in the kernel. */
export const logWriterName = serviceName<LogWriter>("log-writer");
/** Name of this box's incarnation in the kernel. */
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
  /** Effects observed so far of records that are being appended, by record id. */
  const effectsById = new Map<string, FoldEvent[]>();
  let lastSequenceNumber = 0;
  let queue: Promise<unknown> = Promise.resolve();

  store.onFold((event) => {
    if ("id" in event) effectsById.get(event.id)?.push(event);
  });

  /** Whether the record has been folded, even if its effects were not observed. */
  const isFolded = (sequenceNumber: number) =>
    (store.state().writers.get(incarnation)?.highest ?? 0) >= sequenceNumber;

  const appendOnce = async (data: string): Promise<Either<LogFailure, Offset>> => {
    while (!bucket.take()) await sleep(clock, bucket.msUntil());
    metrics.count("linkfall_log_appends_total", "Appends sent to the log", { stream: "state" });
    return port.append(streams.state, data);
  };

  const appendUntilFolded = async (
    data: string,
    sequenceNumber: number,
    deadline: Milliseconds,
  ) => {
    let retryWaitMs = initialRetryWaitMs;
    while (clock.now() < deadline) {
      const appended = await appendOnce(data);
      const read = await follower.catchUp();
      if (isFolded(sequenceNumber)) return true;
      // Appended, but not read yet: the read may have started before the append.
      if (appended.isRight() && read.isRight()) {
        await follower.catchUp();
        if (isFolded(sequenceNumber)) return true;
      }
      await sleep(clock, Math.max(0, Math.min(retryWaitMs, deadline - clock.now())));
      retryWaitMs = Math.min(maxRetryWaitMs, 2 * retryWaitMs);
      if (isFolded(sequenceNumber)) return true;
    }
    return false;
  };

  const appendNext = async (
    createRecord: RecordFactory,
    deadline: Milliseconds,
  ): Promise<Either<AppendUnknown, readonly FoldEvent[]>> => {
    const sequenceNumber = ++lastSequenceNumber;
    const record = createRecord(`${incarnation}#${sequenceNumber}`);
    effectsById.set(record.id, []);
    await appendUntilFolded(JSON.stringify(record), sequenceNumber, deadline);
    const effects = effectsById.get(record.id) ?? [];
    effectsById.delete(record.id);
    // A folded record has no observed effects if the state was replaced meanwhile.
    return effects.length > 0 ? Right(effects) : Left({ kind: "append_unknown" });
  };

  return {
    append(createRecord, timeoutMs) {
      // The timeout includes the time that the record is queued, for example behind a renewal during an outage.
      const deadline = clock.now() + timeoutMs;
      const result = queue.then(() => appendNext(createRecord, deadline));
      queue = result.catch(() => undefined);
      return result;
    },
  };
}
