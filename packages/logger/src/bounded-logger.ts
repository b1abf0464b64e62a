/** Writes events to a stream without ever waiting for it: each kind has a rate, the buffer a size. */
import { Writable } from "node:stream";
import type { Clock } from "@linkfall/kernel";
import winston from "winston";
import { type EventLevel, type EventName, events } from "./events.js";
import type { EventDetail, Logger } from "./logger.js";

export interface LogBounds {
  readonly level: EventLevel;
  /** Lines a second of one kind of event. */
  readonly linesPerSecond: number;
  /** Bytes that may wait for the stream to take them. */
  readonly bufferBytes: number;
}

/** A logger with counts of what it left out. */
export interface BoundedLogger extends Logger {
  /** Lines that were left out since the start. */
  dropped(): number;
}

interface Second {
  at: number;
  lines: number;
  leftOut: number;
}

const levelRank: Record<EventLevel, number> = { error: 0, warn: 1, info: 2, debug: 3 };
const millisecondsPerSecond = 1000;

/** Passes lines on only while the stream beneath takes them. */
function withoutWaiting(out: Writable, bounds: LogBounds, drop: () => void): Writable {
  return new Writable({
    decodeStrings: false,
    write(line, _encoding, done) {
      if (out.writableLength > bounds.bufferBytes) drop();
      else out.write(line);
      done();
    },
  });
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
  const stream = withoutWaiting(out, bounds, () => void (dropped += 1));
  const sink = winston.createLogger({
    level: bounds.level,
    format: winston.format.json(),
    transports: [new winston.transports.Stream({ stream })],
  });

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
    event(name, detail: EventDetail = {}) {
      const kind = events[name];
      if (levelRank[kind.level] > levelRank[bounds.level]) return;
      const always = levelRank[kind.level] <= levelRank.warn;
      const leftOut = always ? 0 : admit(name);
      if (leftOut === undefined) return;
      sink.log(kind.level, kind.text, {
        at: Math.round(clock.now()),
        time: clock.wallTime(),
        box,
        event: kind.number,
        name,
        ...detail,
        ...(leftOut > 0 ? { leftOut } : {}),
      });
    },
  };
}
