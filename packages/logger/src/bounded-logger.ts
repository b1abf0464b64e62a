/**
 * Writes events to a stream without ever waiting for it: each kind has a rate, the buffer a size. Lines of
 * a short time are written together: a small box pays for each write more than for the lines in it.
 */
import { Writable } from "node:stream";
import type { CancelTimer, Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import winston from "winston";
import { type EventLevel, type EventName, events } from "./events.js";
import type { EventDetail, Logger } from "./logger.js";

export interface LogLimits {
  readonly level: EventLevel;
  /** Lines a second of one kind of event. */
  readonly linesPerSecond: number;
  /** Bytes that may wait for the stream to take them. */
  readonly bufferBytes: number;
  /** How long a line may wait for others to be written with it; a warning or an error never waits. */
  readonly maxFlushDelayMs: Milliseconds;
}

/** A logger with counts of what it left out. */
export interface BoundedLogger extends Logger {
  /** Lines that were left out since the start. */
  droppedLines(): number;
  /** Writes what waits; to be called before the process ends. */
  flush(): void;
}

/** Takes lines, and writes those of a short time together. */
interface LineBatcher {
  add(line: string): void;
  flush(): void;
}

interface RateWindow {
  startedAt: number;
  lines: number;
  suppressed: number;
}

const levelRank: Record<EventLevel, number> = { error: 0, warn: 1, info: 2, debug: 3 };
const millisecondsPerSecond = 1000;
/** Lines of this many bytes together are written without waiting for more: one write of a pipe takes them. */
const flushThresholdBytes = 16_384;

/** Passes text on only while the stream beneath takes it. */
function createNonBlockingStream(
  out: Writable,
  bufferBytes: number,
  drop: (text: string) => void,
): Writable {
  return new Writable({
    decodeStrings: false,
    write(text: string, _encoding, done) {
      if (out.writableLength + text.length > bufferBytes) drop(text);
      else out.write(text);
      done();
    },
  });
}

/** Gathers lines for `write`, which gets them joined. */
function createLineBatcher(
  clock: Clock,
  maxDelayMs: Milliseconds,
  write: (text: string) => void,
): LineBatcher {
  let lines: string[] = [];
  let bytes = 0;
  let cancel: CancelTimer | undefined;
  const flush = () => {
    cancel?.();
    cancel = undefined;
    if (lines.length === 0) return;
    const text = lines.join("\n");
    lines = [];
    bytes = 0;
    write(text);
  };
  return {
    add(line) {
      lines.push(line);
      bytes += line.length;
      if (bytes >= flushThresholdBytes) return flush();
      cancel ??= clock.after(maxDelayMs, flush);
    },
    flush,
  };
}

/** Creates a logger of one box. Errors and warnings have no rate; the size of the buffer holds for all. */
export function createBoundedLogger(
  clock: Clock,
  box: string,
  out: Writable,
  limits: LogLimits,
): BoundedLogger {
  const windows = new Map<EventName, RateWindow>();
  let dropped = 0;
  out.on("error", () => undefined);
  const drop = (text: string) => void (dropped += text.trimEnd().split("\n").length);
  const stream = createNonBlockingStream(out, limits.bufferBytes, drop);
  // A line is made once, below; winston passes on those that were gathered.
  const sink = winston.createLogger({
    format: winston.format.printf(({ message }) => String(message)),
    transports: [new winston.transports.Stream({ stream })],
  });
  const batcher = createLineBatcher(clock, limits.maxFlushDelayMs, (text) => void sink.info(text));

  /** Lines that were left out before this one, or undefined where this one is left out. */
  const admit = (name: EventName): number | undefined => {
    const now = clock.now();
    const window = windows.get(name) ?? { startedAt: now, lines: 0, suppressed: 0 };
    windows.set(name, window);
    if (now - window.startedAt >= millisecondsPerSecond) {
      window.startedAt = now;
      window.lines = 0;
    }
    if (window.lines >= limits.linesPerSecond) {
      window.suppressed += 1;
      dropped += 1;
      return undefined;
    }
    window.lines += 1;
    const leftOut = window.suppressed;
    window.suppressed = 0;
    return leftOut;
  };

  return {
    droppedLines: () => dropped,
    flush: batcher.flush,
    event(name, detail: EventDetail = {}) {
      const kind = events[name];
      if (levelRank[kind.level] > levelRank[limits.level]) return;
      const unlimited = levelRank[kind.level] <= levelRank.warn;
      const leftOut = unlimited ? 0 : admit(name);
      if (leftOut === undefined) return;
      const line = {
        level: kind.level,
        message: kind.text,
        at: Math.round(clock.now()),
        time: clock.wallTime(),
        box,
        event: kind.number,
        name,
        ...detail,
        leftOut: leftOut > 0 ? leftOut : undefined,
      };
      batcher.add(JSON.stringify(line));
      if (unlimited) batcher.flush();
    },
  };
}
