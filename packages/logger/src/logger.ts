import { serviceName } from "@linkfall/kernel";
import winston from "winston";
import { type EventLevel, type EventName, events } from "./events.js";

/** Fields of an event. They must not contain tokens, prompts or responses. */
export type EventDetail = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logs events of the catalogue. */
export interface Logger {
  event(name: EventName, detail?: EventDetail): void;
}

export const loggerName = serviceName<Logger>("logger");

/** Creates a logger that writes JSON lines to standard error. */
export function createLogger(box: string, level: EventLevel): Logger {
  const sink = winston.createLogger({
    level,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      new winston.transports.Console({ stderrLevels: Object.keys(winston.config.npm.levels) }),
    ],
  });
  return {
    event(name, detail = {}) {
      const kind = events[name];
      sink.log(kind.level, kind.text, { box, event: kind.number, name, ...detail });
    },
  };
}

/** Creates a logger that passes events to `record`, for tests. */
export function recordingLogger(record: (name: EventName, detail: EventDetail) => void): Logger {
  return { event: (name, detail = {}) => record(name, detail) };
}
