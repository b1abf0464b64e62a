/** A stand-in for the platform's append-only log, with its limits and its faults. */
import type { LogFailure } from "@linkfall/errors";
import { type Clock, type Random, sleep } from "@linkfall/kernel";
import type { LogPort, StreamName } from "@linkfall/ports";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { LogEntry, Milliseconds, Offset } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

const maxAppendsPerSecond = 100;
const secondMs: Milliseconds = 1_000;

/** Faults that can be switched on. */
export interface LogFaults {
  down: boolean;
  slowMs: Milliseconds;
  /** Share of appends whose reply is lost after they took effect. */
  loseReplies: number;
}

export interface LogCore extends LogPort {
  readonly faults: LogFaults;
  /** Drops the oldest records, so that `kept` stay. */
  truncate(stream: StreamName, keepCount: number): void;
  /** Appends something that no box wrote. */
  inject(stream: StreamName, data: string): void;
  entries(stream: StreamName): readonly LogEntry[];
  /** When the record at an offset took effect. */
  appendedAt(stream: StreamName, offset: Offset): Milliseconds;
  /** Appends that took effect so far. */
  appendCount(stream: StreamName): number;
  /** Most appends that took effect within any second. */
  peakAppendsPerSecond(): number;
  /** Appends that were refused because the log takes no more. */
  refusedAppends(): number;
}

/** Counts what happens within the last second, and remembers the most. */
function createPeakRateCounter(clock: Clock) {
  const recentTimes: Milliseconds[] = [];
  let peak = 0;
  return {
    record() {
      recentTimes.push(clock.now());
      while (clock.now() - recentTimes[0] >= secondMs) recentTimes.shift();
      peak = Math.max(peak, recentTimes.length);
    },
    peak: () => peak,
  };
}

/** Creates an empty log. */
export function createLogCore(clock: Clock, random: Random): LogCore {
  const streams = new Map<StreamName, LogEntry[]>();
  const lastOffsets = new Map<StreamName, Offset>();
  const faults: LogFaults = { down: false, slowMs: 0, loseReplies: 0 };
  const bucket = createTokenBucket(clock, {
    rate: maxAppendsPerSecond,
    burst: maxAppendsPerSecond,
  });
  const appendCounts = new Map<StreamName, number>();
  const appendRate = createPeakRateCounter(clock);
  const appendTimes = new Map<StreamName, Milliseconds[]>();
  let refusedCount = 0;

  const entriesOf = (stream: StreamName) => {
    const list = streams.get(stream) ?? [];
    streams.set(stream, list);
    return list;
  };
  const appendEntry = (stream: StreamName, data: string): Offset => {
    const offset = (lastOffsets.get(stream) ?? 0) + 1;
    lastOffsets.set(stream, offset);
    entriesOf(stream).push({ offset, data });
    appendCounts.set(stream, (appendCounts.get(stream) ?? 0) + 1);
    appendRate.record();
    const streamTimes = appendTimes.get(stream) ?? [];
    appendTimes.set(stream, streamTimes);
    streamTimes[offset] = clock.now();
    return offset;
  };
  const unavailable = <T>(reason: string): Either<LogFailure, T> =>
    Left({ kind: "log_unavailable", reason });

  return {
    faults,
    async append(stream, data) {
      if (faults.down) return unavailable("down");
      if (faults.slowMs > 0) await sleep(clock, faults.slowMs * random.nextFloat());
      if (!bucket.take()) {
        refusedCount += 1;
        return Left({ kind: "log_busy" });
      }
      const offset = appendEntry(stream, data);
      if (faults.slowMs > 0) await sleep(clock, faults.slowMs * random.nextFloat());
      if (random.nextFloat() < faults.loseReplies) return unavailable("no reply");
      return Right(offset);
    },
    async read(stream, from, limit) {
      if (faults.down) return unavailable("down");
      if (faults.slowMs > 0) await sleep(clock, faults.slowMs * random.nextFloat());
      const list = entriesOf(stream);
      const newest = lastOffsets.get(stream) ?? 0;
      const first = list[0]?.offset ?? newest + 1;
      if (from < first) return Left({ kind: "log_truncated", first });
      return Right({ entries: list.slice(from - first, from - first + limit), newest });
    },
    truncate(stream, kept) {
      const list = entriesOf(stream);
      list.splice(0, Math.max(0, list.length - kept));
    },
    inject: (stream, data) => void appendEntry(stream, data),
    entries: entriesOf,
    appendedAt: (stream, offset) => appendTimes.get(stream)?.[offset] ?? 0,
    appendCount: (stream) => appendCounts.get(stream) ?? 0,
    peakAppendsPerSecond: appendRate.peak,
    refusedAppends: () => refusedCount,
  };
}
