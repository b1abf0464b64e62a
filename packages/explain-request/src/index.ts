/** The story of one request, from the log lines of several boxes. */

/** One log line that was understood. */
export interface LogLine {
  /** Wall-clock time, ISO 8601. */
  readonly time: string;
  readonly box: string;
  readonly name: string;
  readonly detail: Readonly<Record<string, unknown>>;
}

/** Fields that every line has; the rest is its detail. */
const commonFields = new Set(["time", "box", "name", "at", "event", "level", "message"]);

/** Beliefs that a request rests on: the newest of each before it is what its box went by. */
const beliefs: ReadonlySet<string> = new Set([
  "configurationInForce",
  "leaseTaken",
  "leaseLost",
  "logUnreachable",
  "logReachable",
  "boxReady",
  "boxDraining",
  "connectionChanged",
]);

/** Changes of a target that a request was sent to. */
const targetEvents: ReadonlySet<string> = new Set([
  "targetLeaving",
  "targetMissing",
  "targetGone",
  "targetEjected",
  "moveBegun",
  "moveEnded",
  "orderAnswered",
]);

/** A limit of which the box let through a part of its own. */
const quotaEvent = "quotaAlone";

/** How long before a request changes of its targets are shown, in milliseconds. */
const beforeMs = 5_000;

/** Reads one line; lines of other programs, or with a prefix, are read from their first brace on. */
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

const timeOf = (line: LogLine) => Date.parse(line.time);

/** Models that the request asked for, by its own lines. */
function modelsOf(own: readonly LogLine[]): ReadonlySet<unknown> {
  return new Set<unknown>(
    own.map((line) => line.detail.model).filter((model) => model !== undefined),
  );
}

/** Whether a line concerns the account of the request, by the request's own lines. */
function isOfAccount(line: LogLine, own: readonly LogLine[]): boolean {
  return own.some(({ detail }) => detail.account === line.detail.account);
}

/** What the box of the request believed when it came: the newest line of each kind before it. */
function beliefsBefore(lines: readonly LogLine[], first: LogLine): readonly LogLine[] {
  const newest = new Map<string, LogLine>();
  for (const line of lines) {
    if (line.box !== first.box || !beliefs.has(line.name)) continue;
    if (timeOf(line) > timeOf(first)) break;
    newest.set(line.name, line);
  }
  return [...newest.values()];
}

/** Lines that tell the story of a request, in the order of time; empty where no line names it. */
export function explainRequest(all: readonly LogLine[], request: string): readonly LogLine[] {
  const lines = [...all].sort((left, right) => timeOf(left) - timeOf(right));
  const own = lines.filter((line) => line.detail.request === request);
  if (own.length === 0) return [];
  const from = timeOf(own[0]) - beforeMs;
  const until = timeOf(own[own.length - 1]);
  const targets = new Set<unknown>(
    own.map((line) => line.detail.target).filter((id) => id !== undefined),
  );
  const models = modelsOf(own);
  const around = lines.filter((line) => {
    if (timeOf(line) < from || timeOf(line) > until || own.includes(line)) return false;
    if (beliefs.has(line.name)) return line.box === own[0].box;
    if (line.name === quotaEvent) return line.box === own[0].box && isOfAccount(line, own);
    if (!targetEvents.has(line.name)) return false;
    return targets.has(line.detail.target) || models.has(line.detail.model);
  });
  const story = new Set([...beliefsBefore(lines, own[0]), ...around, ...own]);
  return [...story].sort((left, right) => timeOf(left) - timeOf(right));
}

/** One line of the story for people. */
export function formatLogLine({ time, box, name, detail }: LogLine): string {
  const facts = Object.entries(detail).map(([field, value]) => `${field}=${String(value)}`);
  return `${time} ${box} ${name} ${facts.join(" ")}`;
}
