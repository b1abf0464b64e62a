/** Reconstructs the timeline of a request from the logs of several boxes. */

/** A parsed log line. */
export interface LogLine {
  /** Wall-clock time, ISO 8601. */
  readonly time: string;
  readonly box: string;
  readonly name: string;
  readonly detail: Readonly<Record<string, unknown>>;
}

/** Fields common to all log lines; the others are the line's detail. */
const commonFields = new Set(["time", "box", "name", "at", "event", "level", "message"]);

/** Events that change the state of a box; the latest of each kind before a request applies to it. */
const boxStateEvents: ReadonlySet<string> = new Set([
  "configurationInForce",
  "leaseTaken",
  "leaseLost",
  "logUnreachable",
  "logReachable",
  "boxReady",
  "boxDraining",
  "connectionChanged",
]);

/** Events of targets and of their models. */
const targetEvents: ReadonlySet<string> = new Set([
  "targetLeaving",
  "targetMissing",
  "targetGone",
  "targetEjected",
  "moveBegun",
  "moveEnded",
  "orderAnswered",
  "orderWithheld",
]);

/** Event of a box that enforces a fallback limit because no box that grants the quota responds. */
const quotaEvent = "quotaAlone";

/** Time before the request from which on related events are included, in milliseconds. */
const leadTimeMs = 5_000;

/** Parses a line from its first brace on, ignoring any prefix; undefined if it is not a log line. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    const fields = JSON.parse(text.slice(start)) as Record<string, unknown>;
    if (typeof fields.name !== "string" || typeof fields.time !== "string") return undefined;
    const detail = Object.entries(fields).filter(([field]) => !commonFields.has(field));
    return {
      time: fields.time,
      box: String(fields.box),
      name: fields.name,
      detail: Object.fromEntries(detail),
    };
  } catch {
    return undefined;
  }
}

const timeMs = (line: LogLine) => Date.parse(line.time);

/** Models named in the request's own log lines. */
function requestedModels(ownLines: readonly LogLine[]): ReadonlySet<unknown> {
  return new Set<unknown>(
    ownLines.map((line) => line.detail.model).filter((model) => model !== undefined),
  );
}

/** Whether a line names the same account as one of the request's own log lines. */
function sameAccount(line: LogLine, ownLines: readonly LogLine[]): boolean {
  return ownLines.some(({ detail }) => detail.account === line.detail.account);
}

/** The state of the request's box when the request arrived: the latest event of each kind. */
function boxStateBefore(lines: readonly LogLine[], first: LogLine): readonly LogLine[] {
  const latestByName = new Map<string, LogLine>();
  for (const line of lines) {
    if (line.box !== first.box || !boxStateEvents.has(line.name)) continue;
    if (timeMs(line) > timeMs(first)) break;
    latestByName.set(line.name, line);
  }
  return [...latestByName.values()];
}

/**
 * Returns the log lines that explain a request, in chronological order: its own lines, the state of
 * its box, and events of its targets, models and account. Empty if no line mentions the request.
 */
export function explainRequest(logLines: readonly LogLine[], request: string): readonly LogLine[] {
  const lines = [...logLines].sort((left, right) => timeMs(left) - timeMs(right));
  const ownLines = lines.filter((line) => line.detail.request === request);
  if (ownLines.length === 0) return [];
  const fromMs = timeMs(ownLines[0]) - leadTimeMs;
  const untilMs = timeMs(ownLines[ownLines.length - 1]);
  const targets = new Set<unknown>(
    ownLines.map((line) => line.detail.target).filter((id) => id !== undefined),
  );
  const models = requestedModels(ownLines);
  const relatedLines = lines.filter((line) => {
    if (timeMs(line) < fromMs || timeMs(line) > untilMs || ownLines.includes(line)) return false;
    if (boxStateEvents.has(line.name)) return line.box === ownLines[0].box;
    if (line.name === quotaEvent)
      return line.box === ownLines[0].box && sameAccount(line, ownLines);
    if (!targetEvents.has(line.name)) return false;
    return targets.has(line.detail.target) || models.has(line.detail.model);
  });
  const timeline = new Set([...boxStateBefore(lines, ownLines[0]), ...relatedLines, ...ownLines]);
  return [...timeline].sort((left, right) => timeMs(left) - timeMs(right));
}

/** Formats a log line for display. */
export function formatLogLine({ time, box, name, detail }: LogLine): string {
  const fields = Object.entries(detail).map(([field, value]) => `${field}=${String(value)}`);
  return `${time} ${box} ${name} ${fields.join(" ")}`;
}
