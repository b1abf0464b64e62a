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
]);

/** Event of a box that enforces a fallback limit because no box that grants the quota responds. */
const quotaEventName = "quotaAlone";

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

const timestampMs = (line: LogLine) => Date.parse(line.time);

/** Models named in the request's own log lines. */
function requestedModels(requestLines: readonly LogLine[]): ReadonlySet<unknown> {
  return new Set<unknown>(
    requestLines.map((line) => line.detail.model).filter((model) => model !== undefined),
  );
}

/** Whether a line names the same account as one of the request's own log lines. */
function isSameAccount(line: LogLine, requestLines: readonly LogLine[]): boolean {
  return requestLines.some(({ detail }) => detail.account === line.detail.account);
}

/** The state of the request's box when the request arrived: the latest event of each kind. */
function boxStateBefore(lines: readonly LogLine[], first: LogLine): readonly LogLine[] {
  const latestByName = new Map<string, LogLine>();
  for (const line of lines) {
    if (line.box !== first.box || !boxStateEvents.has(line.name)) continue;
    if (timestampMs(line) > timestampMs(first)) break;
    latestByName.set(line.name, line);
  }
  return [...latestByName.values()];
}

/**
 * Returns the log lines that explain a request, in chronological order: its own lines, the state of
 * its box, and events of its targets, models and account. Empty if no line mentions the request.
 */
export function explainRequest(logLines: readonly LogLine[], request: string): readonly LogLine[] {
  const lines = [...logLines].sort((left, right) => timestampMs(left) - timestampMs(right));
  const requestLines = lines.filter((line) => line.detail.request === request);
  if (requestLines.length === 0) return [];
  const fromMs = timestampMs(requestLines[0]) - leadTimeMs;
  const untilMs = timestampMs(requestLines[requestLines.length - 1]);
  const targets = new Set<unknown>(
    requestLines.map((line) => line.detail.target).filter((id) => id !== undefined),
  );
  const models = requestedModels(requestLines);
  const relatedLines = lines.filter((line) => {
    if (timestampMs(line) < fromMs || timestampMs(line) > untilMs || requestLines.includes(line))
      return false;
    if (boxStateEvents.has(line.name)) return line.box === requestLines[0].box;
    if (line.name === quotaEventName)
      return line.box === requestLines[0].box && isSameAccount(line, requestLines);
    if (!targetEvents.has(line.name)) return false;
    return targets.has(line.detail.target) || models.has(line.detail.model);
  });
  const timeline = new Set([
    ...boxStateBefore(lines, requestLines[0]),
    ...relatedLines,
    ...requestLines,
  ]);
  return [...timeline].sort((left, right) => timestampMs(left) - timestampMs(right));
}

/** Formats a log line for display. */
export function formatLogLine({ time, box, name, detail }: LogLine): string {
  const fields = Object.entries(detail).map(([field, value]) => `${field}=${String(value)}`);
  return `${time} ${box} ${name} ${fields.join(" ")}`;
}
