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

export interface LogBounds {
  readonly level: EventLevel;
  /** Lines a second of one kind of event. */
  readonly linesPerSecond: number;
  /** Bytes that may wait for the stream to take them. */
  readonly bufferBytes: number;
  /** How long a line may wait for others to be written with it; a warning or an error never waits. */
  readonly gatherMs: Milliseconds;
}

/** A logger with counts of what it left out. */
export interface BoundedLogger extends Logger {
  /** Lines that were left out since the start. */
  dropped(): number;
  /** Writes what waits; to be called before the process ends. */
  flush(): void;
}

/** Takes lines, and writes those of a short time together. */
interface LineGatherer {
  add(line: string): void;
  flush(): void;
}

interface Second {
  at: number;
  lines: number;
  leftOut: number;
}

const levelRank: Record<EventLevel, number> = { error: 0, warn: 1, info: 2, debug: 3 };
const millisecondsPerSecond = 1000;
/** Lines of this many bytes together are written without waiting for more: one write of a pipe takes them. */
const fullBytes = 16_384;

/** Passes text on only while the stream beneath takes it. */
function withoutWaiting(
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
function gatherLines(
  clock: Clock,
  gatherMs: Milliseconds,
  write: (text: string) => void,
): LineGatherer {
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
      if (bytes >= fullBytes) return flush();
      cancel ??= clock.after(gatherMs, flush);
    },
    flush,
  };
}

/** Creates a logger of one box. Errors and warnings have no rate; the size of the buffer holds for all. */
export function createBoundedLogger(
  clock: Clock,
  box: string,
  out: Writable,
  bounds: LogBounds,
): BoundedLogger {
  const seconds = new Map<EventName, Second>();
  let dropped = 0;
  out.on("error", () => undefined);
  const drop = (text: string) => void (dropped += text.trimEnd().split("\n").length);
  const stream = withoutWaiting(out, bounds.bufferBytes, drop);
  // A line is made once, below; winston passes on those that were gathered.
  const sink = winston.createLogger({
    format: winston.format.printf(({ message }) => String(message)),
    transports: [new winston.transports.Stream({ stream })],
  });
  const gatherer = gatherLines(clock, bounds.gatherMs, (text) => void sink.info(text));

  /** Lines that were left out before this one, or undefined where this one is left out. */
  const admit = (name: EventName): number | undefined => {
    const now = clock.now();
    const second = seconds.get(name) ?? { at: now, lines: 0, leftOut: 0 };
    seconds.set(name, second);
    if (now - second.at >= millisecondsPerSecond) {
      second.at = now;
      second.lines = 0;
    }
    if (second.lines >= bounds.linesPerSecond) {
      second.leftOut += 1;
      dropped += 1;
      return undefined;
    }
    second.lines += 1;
    const leftOut = second.leftOut;
    second.leftOut = 0;
    return leftOut;
  };

  return {
    dropped: () => dropped,
    flush: gatherer.flush,
    event(name, detail: EventDetail = {}) {
      const kind = events[name];
      if (levelRank[kind.level] > levelRank[bounds.level]) return;
      const always = levelRank[kind.level] <= levelRank.warn;
      const leftOut = always ? 0 : admit(name);
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
      gatherer.add(JSON.stringify(line));
      if (always) gatherer.flush();
    },
  };
}
