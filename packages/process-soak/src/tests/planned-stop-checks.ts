/** What a planned stop of a box may do to its callers' requests, as pure functions of what was recorded. */
import type { Finding, TargetRun } from "./invariant-checks.js";
import type { ProcessEvent } from "./supervised-process.js";

/** A request on a connection of its caller. Times are in milliseconds, by one clock. */
export interface ConnectionRequest {
  readonly id: string;
  readonly box: string;
  /** Life of the box in which its connection was opened. */
  readonly incarnation: number;
  /** Route, framing and other properties, for findings. */
  readonly kind: string;
  /** When its first byte was sent. */
  readonly sentAt: number;
  /** When its last byte was sent; absent if it was not sent whole. */
  readonly wholeAt?: number;
  /** When its answer was complete, or its connection ended. */
  readonly endedAt: number;
  /** Status of the complete answer; absent if there was none. */
  readonly status?: number;
  /** The shorter one of its deadline and its route's time limit. */
  readonly timeLimitMs: number;
}

/** A SIGTERM to a running box, and the end of the process. */
export interface PlannedStop {
  readonly box: string;
  readonly incarnation: number;
  readonly at: number;
  /** Absent while the process runs. */
  readonly endedAt?: number;
  /** Time for which the process was paused after the signal. */
  readonly pausedMs: number;
  readonly wasKilled: boolean;
}

/** A period in which a box or a target was disturbed in a way that no release plans. */
export interface Disruption {
  readonly subject: string;
  readonly from: number;
  readonly until: number;
}

/** What the checks of planned stops are given. */
export interface StopRecord {
  readonly requests: readonly ConnectionRequest[];
  readonly runs: readonly TargetRun[];
  readonly stops: readonly PlannedStop[];
  readonly disruptions: readonly Disruption[];
  /** Time from SIGTERM until the process has to have ended. */
  readonly graceMs: number;
}

/** Requests are judged until this long after the grace period. */
const afterGraceMs = 1_000;
/** A disruption that ended this long before a request may still show in it. */
const disruptionEchoMs = 3_000;
/** A connection that ends sooner after the last byte of a request may have ended before the process read it. */
const unreadMs = 200;

/** The planned stops of a box: the first SIGTERM of each life. */
export function plannedStops(
  box: string,
  history: readonly ProcessEvent[],
): readonly PlannedStop[] {
  const seen = new Set<number>();
  return history.flatMap(({ kind, incarnation, at }) => {
    if (kind !== "SIGTERM" || seen.has(incarnation)) return [];
    seen.add(incarnation);
    const life = history.filter((event) => event.incarnation === incarnation);
    const endedAt = life.find((event) => event.kind === "ended")?.at;
    const wasKilled = life.some((event) => event.kind === "SIGKILL");
    const pausedMs = processDisruptions(box, life)
      .map(({ from, until }) => Math.min(until, endedAt ?? until) - Math.max(from, at))
      .reduce((sum, ms) => sum + Math.max(0, ms), 0);
    return [{ box, incarnation, at, endedAt, pausedMs, wasKilled }];
  });
}

/** Kills and pauses of a box. */
export function processDisruptions(
  subject: string,
  history: readonly ProcessEvent[],
): readonly Disruption[] {
  return history.flatMap(({ kind, at, incarnation }, index): Disruption[] => {
    if (kind === "SIGKILL") return [{ subject, from: at, until: at }];
    if (kind !== "SIGSTOP") return [];
    const end = history
      .slice(index + 1)
      .find((event) => event.kind === "SIGCONT" || event.incarnation !== incarnation);
    return [{ subject, from: at, until: end?.at ?? Infinity }];
  });
}

/** The latest planned stop of the request's box that had begun when the request ended. */
function stopAround(
  { box, sentAt, endedAt }: ConnectionRequest,
  { stops, graceMs }: Pick<StopRecord, "stops" | "graceMs">,
): PlannedStop | undefined {
  return stops.findLast(
    (stop) => stop.box === box && stop.at <= endedAt && sentAt <= stop.at + graceMs + afterGraceMs,
  );
}

const overlaps = ({ from, until }: Disruption, start: number, end: number): boolean =>
  from <= end && until >= start;

/** Whether a box that is disturbed, a target that broke off, or a time limit explains the end of the request. */
function isExcused(request: ConnectionRequest, { runs, disruptions }: StopRecord): boolean {
  const { id, box, sentAt, endedAt, timeLimitMs } = request;
  if (endedAt - sentAt >= timeLimitMs) return true;
  const targets = new Set(runs.filter((run) => run.id === id).map(({ target }) => target));
  return disruptions.some(
    (disruption) =>
      (disruption.subject === box && overlaps(disruption, sentAt - disruptionEchoMs, endedAt)) ||
      (targets.has(disruption.subject) && overlaps(disruption, sentAt, endedAt)),
  );
}

/** Checks that no request that a box may have read ends without a complete answer around a planned stop of that box. */
export function checkAnsweredAroundStops(record: StopRecord): readonly Finding[] {
  const ran = new Set(record.runs.map(({ id }) => id));
  return record.requests.flatMap((request) => {
    const { id, box, kind, wholeAt, endedAt, status } = request;
    if (status !== undefined || wholeAt === undefined) return [];
    const stop = stopAround(request, record);
    if (!stop) return [];
    const wasRead = ran.has(id) || endedAt - wholeAt > unreadMs;
    if (!wasRead || isExcused(request, record)) return [];
    const after = (at: number) => Math.round(at - stop.at);
    const detail = `${id} (${kind}) sent to ${box} ${after(request.sentAt)} to ${after(wholeAt)} ms after its SIGTERM, ended without an answer after ${after(endedAt)} ms, ${ran.has(id) ? "ran" : "did not run"}`;
    return [{ promise: "a planned stop loses no request", detail }];
  });
}

/** Time from SIGTERM to the end of the process, without its pauses; undefined if it was killed or still runs. */
function stopMs({ at, endedAt, pausedMs, wasKilled }: PlannedStop): number | undefined {
  return wasKilled || endedAt === undefined ? undefined : Math.round(endedAt - at - pausedMs);
}

/** Checks that each box that was stopped as planned had ended within the grace period. */
export function checkEndsWithinGrace({
  stops,
  graceMs,
}: Pick<StopRecord, "stops" | "graceMs">): readonly Finding[] {
  return stops.flatMap((stop) => {
    const takenMs = stopMs(stop) ?? 0;
    if (takenMs <= graceMs) return [];
    const detail = `${stop.box} ended ${takenMs} ms after SIGTERM`;
    return [{ promise: "a planned stop ends within the grace period", detail }];
  });
}

/** A box takes requests that may not finish within the grace period in this first fraction of it only. */
const openEndedFraction = 0.3;
/** Time in which a busy process handles its signal. */
const maxSignalMs = 300;
/** Status of a request that may have run. */
const lostStatus = 502;

/** The requests that are open in this last part of the grace period are cut, in milliseconds. */
const exitReserveMs = 700;

/** The planned stop of the life of the box that got the request; undefined if the request ended before, or none came. */
function ownStop(
  { box, incarnation, endedAt }: ConnectionRequest,
  { stops }: Pick<StopRecord, "stops">,
): PlannedStop | undefined {
  const stop = stops.find((other) => other.box === box && other.incarnation === incarnation);
  return stop && endedAt >= stop.at ? stop : undefined;
}

/** Checks that a stopping box takes no request that comes late and that it can't finish. */
export function checkTakesOnlyWhatFits(record: StopRecord): readonly Finding[] {
  const mayBeCutMs = record.graceMs * openEndedFraction + maxSignalMs;
  return record.requests.flatMap((request) => {
    const { id, box, kind, status, sentAt, endedAt } = request;
    const stop = ownStop(request, record);
    if (status !== lostStatus || !stop) return [];
    const wasCut = endedAt >= stop.at + record.graceMs - exitReserveMs;
    const afterMs = sentAt - stop.at;
    if (!wasCut || afterMs <= mayBeCutMs || isExcused(request, record)) return [];
    const detail = `${id} (${kind}) sent to ${box} ${Math.round(afterMs)} ms after its SIGTERM, got ${status} at its end`;
    return [{ promise: "a stopping box takes only requests that it can finish", detail }];
  });
}

const okStatus = 200;
/** Statuses that guarantee that the request has not run and will not run. */
const refusedStatuses: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);
const lostStatuses: ReadonlySet<number | undefined> = new Set([lostStatus, 504]);
/** A request is late if it is sent after this fraction of the grace period. */
const lateFraction = 0.5;

/** How the requests ended that boxes had open, or got, after their SIGTERM. */
export function describeRequestsAroundStops(record: StopRecord): string {
  const delays = record.requests.flatMap((request) => {
    const stop = ownStop(request, record);
    if (!stop || request.wholeAt === undefined) return [];
    return [{ request, afterMs: request.sentAt - stop.at }];
  });
  const late = delays.filter(({ afterMs }) => afterMs >= record.graceMs * lateFraction);
  const count = (matches: (status?: number) => boolean) =>
    delays.filter(({ request: { status } }) => matches(status)).length;
  const longestMs = Math.max(0, ...record.stops.map((stop) => stopMs(stop) ?? 0));
  return [
    `${record.stops.length} stops of up to ${longestMs} ms, ${record.requests.length} requests, ${delays.length} of them open after SIGTERM`,
    `${late.length} came late`,
    `${count((status) => status === okStatus)} served`,
    `${count((status) => refusedStatuses.has(status))} refused`,
    `${count((status) => lostStatuses.has(status))} with 502 or 504`,
    `${count((status) => status === undefined)} without an answer`,
    `${checkAnsweredAroundStops(record).length} lost`,
  ].join(", ");
}
