/** A stand-in for the platform's append-only log, with its limits and its faults. */
import type { LogFailure } from "@linkfall/errors";
import { type Clock, type Random, sleep } from "@linkfall/kernel";
import type { LogPort, StreamName } from "@linkfall/ports";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { LogEntry, Milliseconds, Offset } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

const appendsPerSecond = 100;
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
  truncate(stream: StreamName, kept: number): void;
  /** Appends something that no box wrote. */
  inject(stream: StreamName, data: string): void;
  entries(stream: StreamName): readonly LogEntry[];
  /** When the record at an offset took effect. */
  appendedAt(stream: StreamName, offset: Offset): Milliseconds;
  /** Appends that took effect so far. */
  appended(stream: StreamName): number;
  /** Most appends that took effect within any second. */
  busiestSecond(): number;
  /** Appends that were refused because the log takes no more. */
  refusedBusy(): number;
}

/** Counts what happens within the last second, and remembers the most. */
function createSecondCounter(clock: Clock) {
  const recent: Milliseconds[] = [];
  let most = 0;
  return {
    note() {
      recent.push(clock.now());
      while (clock.now() - recent[0] >= secondMs) recent.shift();
      most = Math.max(most, recent.length);
    },
    most: () => most,
  };
}

/** Creates an empty log. */
export function createLogCore(clock: Clock, random: Random): LogCore {
  const streams = new Map<StreamName, LogEntry[]>();
  const lastOffsets = new Map<StreamName, Offset>();
  const faults: LogFaults = { down: false, slowMs: 0, loseReplies: 0 };
  const bucket = createTokenBucket(clock, { rate: appendsPerSecond, burst: appendsPerSecond });
  const counts = new Map<StreamName, number>();
  const load = createSecondCounter(clock);
  const times = new Map<StreamName, Milliseconds[]>();
  let refused = 0;

  const listOf = (stream: StreamName) => {
    const list = streams.get(stream) ?? [];
    streams.set(stream, list);
    return list;
  };
  const add = (stream: StreamName, data: string): Offset => {
    const offset = (lastOffsets.get(stream) ?? 0) + 1;
    lastOffsets.set(stream, offset);
    listOf(stream).push({ offset, data });
    counts.set(stream, (counts.get(stream) ?? 0) + 1);
    load.note();
    const ofStream = times.get(stream) ?? [];
    times.set(stream, ofStream);
    ofStream[offset] = clock.now();
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
        refused += 1;
        return Left({ kind: "log_busy" });
      }
      const offset = add(stream, data);
      if (faults.slowMs > 0) await sleep(clock, faults.slowMs * random.nextFloat());
      if (random.nextFloat() < faults.loseReplies) return unavailable("no reply");
      return Right(offset);
    },
    async read(stream, from, limit) {
      if (faults.down) return unavailable("down");
      if (faults.slowMs > 0) await sleep(clock, faults.slowMs * random.nextFloat());
      const list = listOf(stream);
      const newest = lastOffsets.get(stream) ?? 0;
      const first = list[0]?.offset ?? newest + 1;
      if (from < first) return Left({ kind: "log_truncated", first });
      return Right({ entries: list.slice(from - first, from - first + limit), newest });
    },
    truncate(stream, kept) {
      const list = listOf(stream);
      list.splice(0, Math.max(0, list.length - kept));
    },
    inject: (stream, data) => void add(stream, data),
    entries: listOf,
    appendedAt: (stream, offset) => times.get(stream)?.[offset] ?? 0,
    appended: (stream) => counts.get(stream) ?? 0,
    busiestSecond: load.most,
    refusedBusy: () => refused,
  };
}
