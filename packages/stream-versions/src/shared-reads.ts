/** Shares reads of the store among callers that come at the same time, so that their number does not set the rate of reads. */
import { type Clock, sleep } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** Least time between two reads of a box, and for each box of the deployment. */
const minReadIntervalMs: Milliseconds = 50;
const readIntervalPerBoxMs: Milliseconds = 5;

export interface SharedReadsInput {
  readonly clock: Clock;
  /** Number of boxes, which share the read rate of the store. */
  boxCount(): number;
  /** Resolves with whether the read succeeded. */
  read(): Promise<boolean>;
}

/** Returns a function that resolves with the result of a read that started after the call. */
export function shareReads({ clock, boxCount, read }: SharedReadsInput): () => Promise<boolean> {
  let reading: Promise<boolean> | undefined;
  let next: Promise<boolean> | undefined;
  let startedAt = -Infinity;

  /** Starts a read after the one that is under way, whose answer may be older than what is looked for. */
  const startNext = async (): Promise<boolean> => {
    await reading;
    const intervalMs = Math.max(minReadIntervalMs, readIntervalPerBoxMs * boxCount());
    const delayMs = startedAt + intervalMs - clock.now();
    if (delayMs > 0) await sleep(clock, delayMs);
    next = undefined;
    startedAt = clock.now();
    reading = read();
    return reading;
  };
  return () => (next ??= startNext());
}

/** Time for which a caller waits for the store. */
const maxReadWaitMs: Milliseconds = 300;

/** Resolves with the result of the read, or with false if there is none in the time for which a caller waits. */
export function inTime(clock: Clock, read: Promise<boolean>): Promise<boolean> {
  return Promise.race([read, sleep(clock, maxReadWaitMs).then(() => false)]);
}
