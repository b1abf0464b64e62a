/**
 * Keeps the versions of streams in the store, which outlives all boxes. What is recorded stays true however old it is, so
 * records are never changed or taken back, and the store drops them by itself.
 */
import type { LogFailure } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { KeyedBatch, KeyedStreamPort, StoreGeneration } from "@linkfall/ports";
import type { Milliseconds, Offset } from "@linkfall/types";
import type { Either } from "purify-ts";
import { z } from "zod";
import type { BegunStreams, StreamKey } from "./messages.js";
import { inTime, shareReads } from "./shared-reads.js";

/** The store's log of streams; its records are read in order, their keys only name their writer. */
export type StreamLog = Pick<KeyedStreamPort, "put" | "readChanges" | "onNewGeneration">;

export interface StoredStreamsPorts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly log: StreamLog;
  /** Name of this box in its records. */
  readonly self: string;
  /** Number of boxes, which share the read rate of the store. */
  boxCount(): number;
}

/** What the store says of a stream. */
export type StoredVersion =
  /** Null if several versions were recorded, or that of the target was in doubt. */
  | { readonly kind: "found"; readonly version: string | null }
  | { readonly kind: "missing" }
  /** The store did not answer in time. */
  | { readonly kind: "unread" };

export interface StoredStreams {
  /** Records the versions; resolves when the store has them, or has not taken them in time. Failed writes are repeated. */
  record(begun: readonly BegunStreams[]): Promise<void>;
  /** Looks the stream up in what the store has now. */
  find(key: StreamKey): Promise<StoredVersion>;
  /** Writes what has not been written; resolves when that has succeeded or failed. */
  flush(): Promise<void>;
}

/** Least time between two writes of a box. */
const writeIntervalMs: Milliseconds = 200;
const firstRetryMs: Milliseconds = 300;
const maxRetryMs: Milliseconds = 2_000;
/** Time after which the sender of a record is answered though the store has not taken it. */
const maxWriteWaitMs: Milliseconds = 300;
/** Streams of one record of the store, well below its size limit. */
const maxStreamsPerWrite = 2_000;
/** Streams that wait for the store, and that are kept of those read; the oldest are dropped first. */
const maxStreams = 50_000;

const recordSchema = z.object({
  begun: z.array(z.object({ version: z.string().nullable(), keys: z.array(z.string()) })),
});

function parseRecord(text: string): readonly BegunStreams[] | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(text)).data?.begun;
  } catch {
    return undefined;
  }
}

type Versions = Map<StreamKey, string | null>;

/** Adds the version of a stream; one that differs from the known one leaves it in doubt. */
function addVersion(versions: Versions, key: StreamKey, version: string | null): void {
  const known = versions.get(key);
  versions.set(key, known === undefined || known === version ? version : null);
  if (versions.size <= maxStreams) return;
  const [oldest] = versions.keys();
  versions.delete(oldest);
}

function groupByVersion(versions: Iterable<readonly [StreamKey, string | null]>): BegunStreams[] {
  const groups = new Map<string | null, StreamKey[]>();
  for (const [key, version] of versions) {
    const keys = groups.get(version);
    if (keys) keys.push(key);
    else groups.set(version, [key]);
  }
  return [...groups].map(([version, keys]) => ({ version, keys }));
}

/** Keys whose sender waits until the store has them. */
interface WaitingSender {
  readonly keys: readonly StreamKey[];
  resolve(): void;
}

/** Writes records, several streams at a time. */
function createWriter({ clock, logger, log, self }: StoredStreamsPorts) {
  const pending: Versions = new Map();
  let writing: Promise<boolean> | undefined;
  let mayWriteAt = -Infinity;
  let retryMs = firstRetryMs;
  let isScheduled = false;
  const waiting = new Set<WaitingSender>();

  const answer = (sender: WaitingSender) => {
    waiting.delete(sender);
    sender.resolve();
  };
  const answerWritten = () => {
    for (const sender of waiting) if (!sender.keys.some((key) => pending.has(key))) answer(sender);
  };
  const writeOnce = async (): Promise<boolean> => {
    const batch = [...pending].slice(0, maxStreamsPerWrite);
    for (const [key] of batch) pending.delete(key);
    mayWriteAt = clock.now() + writeIntervalMs;
    const written = await log.put(self, JSON.stringify({ begun: groupByVersion(batch) }));
    return written.caseOf({
      Right() {
        retryMs = firstRetryMs;
        answerWritten();
        return true;
      },
      Left({ kind }) {
        for (const [key, version] of batch) addVersion(pending, key, version);
        logger.event("streamVersionsNotKept", { streams: batch.length, reason: kind });
        mayWriteAt = clock.now() + retryMs;
        retryMs = Math.min(maxRetryMs, 2 * retryMs);
        return false;
      },
    });
  };
  /** Writes what is pending unless a write is under way; resolves with whether the write succeeded. */
  const write = (): Promise<boolean> => {
    writing ??= writeOnce().finally(() => {
      writing = undefined;
      schedule();
    });
    return writing;
  };
  const schedule = () => {
    if (isScheduled || writing || pending.size === 0) return;
    const delayMs = mayWriteAt - clock.now();
    if (delayMs <= 0) return void write();
    isScheduled = true;
    clock.after(delayMs, () => {
      isScheduled = false;
      schedule();
    });
  };

  return {
    async record(begun: readonly BegunStreams[]): Promise<void> {
      for (const { version, keys } of begun)
        for (const key of keys) addVersion(pending, key, version);
      const keys = begun.flatMap((group) => group.keys);
      await new Promise<void>((resolve) => {
        const sender = { keys, resolve };
        waiting.add(sender);
        clock.after(maxWriteWaitMs, () => answer(sender));
        schedule();
      });
    },
    async flush(): Promise<void> {
      await writing;
      while (pending.size > 0 && (await write()));
    },
  };
}

/** Reads the log to its end, from where the last read ended. */
function createReader({ clock, logger, log, boxCount }: StoredStreamsPorts) {
  const versions: Versions = new Map();
  let position: Offset = 0;
  let generation: StoreGeneration | undefined;

  /** Applies the records; returns whether there are more. */
  const apply = ({ records, end, isPartial, generation: current }: KeyedBatch): boolean => {
    for (const { key: writer, value } of records) {
      const begun = value === undefined ? undefined : parseRecord(value);
      if (!begun) logger.event("badRecord", { key: writer, problem: "no versions of streams" });
      for (const { version, keys } of begun ?? [])
        for (const key of keys) addVersion(versions, key, version);
    }
    // A store that has come back from an older copy has assigned offsets again.
    const hasGoneBack = generation !== undefined && generation !== current;
    generation = current;
    position = hasGoneBack ? 0 : end;
    return hasGoneBack || isPartial === true;
  };
  /** Whether there is more to read after a failure: the store has dropped records, or has come back from an older copy. */
  const skipTruncated = (failure: LogFailure): boolean => {
    if (failure.kind !== "log_truncated" || failure.first === position) return false;
    position = failure.first;
    return true;
  };
  const readToEnd = async (): Promise<boolean> => {
    for (;;) {
      const answer: Either<LogFailure, KeyedBatch> = await log.readChanges(position, 0);
      const failure = answer.swap().toMaybe().extract();
      if (failure && !skipTruncated(failure)) {
        logger.event("streamVersionsUnread", { reason: failure.kind });
        return false;
      }
      if (!answer.map(apply).orDefault(true)) return true;
    }
  };
  return {
    versions,
    catchUp: shareReads({ clock, boxCount, read: readToEnd }),
  };
}

/** Creates the box's side of the store's records. */
export function createStoredStreams(ports: StoredStreamsPorts): StoredStreams {
  const writer = createWriter(ports);
  const reader = createReader(ports);
  const { clock } = ports;
  return {
    ...writer,
    async find(key) {
      const isRead = await inTime(clock, reader.catchUp());
      const version = reader.versions.get(key);
      if (version !== undefined) return { kind: "found", version };
      return { kind: isRead ? "missing" : "unread" };
    },
  };
}
