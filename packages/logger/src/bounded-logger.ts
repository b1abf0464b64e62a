/**
 * Writes log events to a stream without blocking: the rate of each kind of event and the buffer size are
 * limited, and lines are batched to save system calls.
 */
import { Writable } from "node:stream";
import type { CancelTimer, Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import winston from "winston";
import { type EventLevel, type EventName, events } from "./events.js";
import type { EventDetail, Logger } from "./logger.js";

export interface LogLimits {
  readonly level: EventLevel;
  /** Maximum number of lines per second for each kind of event. */
  readonly linesPerSecond: number;
  /** Maximum number of bytes buffered in the stream. */
  readonly bufferBytes: number;
  /** Maximum delay of a line for batching; warnings and errors are written immediately. */
  readonly maxFlushDelayMs: Milliseconds;
}

/** A logger that counts the lines that it drops. */
export interface BoundedLogger extends Logger {
  /** Number of lines dropped since the start. */
  droppedLines(): number;
  /** Writes buffered lines; must be called before the process exits. */
  flush(): void;
}

/** Buffers lines and writes them in batches. */
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
/** A batch is written once it reaches this size, which fits into a pipe's buffer. */
const flushThresholdBytes = 16_384;

/** Creates a stream that drops text while the buffer of `out` is full. */
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

/** Creates a batcher that passes joined lines to `write`. */
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

/** Creates the logger of a box. Errors and warnings are not rate limited, but may be dropped while the buffer is full. */
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
  // Lines are formatted in `event` below; winston only writes the batches.
  const sink = winston.createLogger({
    format: winston.format.printf(({ message }) => String(message)),
    transports: [new winston.transports.Stream({ stream })],
  });
  const batcher = createLineBatcher(clock, limits.maxFlushDelayMs, (text) => void sink.info(text));

  /** Returns the number of lines suppressed before this one, or undefined if this one is suppressed too. */
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
    const suppressed = window.suppressed;
    window.suppressed = 0;
    return suppressed;
  };

  return {
    droppedLines: () => dropped,
    flush: batcher.flush,
    event(name, detail: EventDetail = {}) {
      const kind = events[name];
      if (levelRank[kind.level] > levelRank[limits.level]) return;
      const unlimited = levelRank[kind.level] <= levelRank.warn;
      const suppressed = unlimited ? 0 : admit(name);
      if (suppressed === undefined) return;
      const line = {
        level: kind.level,
        message: kind.text,
        at: Math.round(clock.now()),
        time: clock.wallTime(),
        box,
        event: kind.number,
        name,
        ...detail,
        leftOut: suppressed > 0 ? suppressed : undefined,
      };
      batcher.add(JSON.stringify(line));
      if (unlimited) batcher.flush();
    },
  };
}
