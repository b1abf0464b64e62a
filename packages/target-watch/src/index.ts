/**
 * Keeps the newest report of each engine. A box polls some of the engines itself; reports of the others are relayed by
 * the boxes that poll them (see report-relay), and polled directly when relayed ones become too old.
 */
import { settingsName } from "@linkfall/config";
import {
  clockName,
  type Kernel,
  randomName,
  repeatEvery,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { leaseHolderName } from "@linkfall/lease-holder";
import { loggerName } from "@linkfall/logger";
import { membershipName } from "@linkfall/membership";
import { enginePortName } from "@linkfall/ports";
import { topNodes } from "@linkfall/rendezvous";
import { stateStoreName } from "@linkfall/state-store";
import type { Engine, EngineReport, Milliseconds } from "@linkfall/types";

/** Age at which a relayed report is replaced by a poll, as a fraction of the maximum report age. */
const maxRelayedAgeShare = 0.5;

/** A report of an engine with its time and source. */
export interface EngineReportRecord {
  readonly report: EngineReport;
  /** Clock reading of this box when the report was requested; a lower bound if it was relayed. */
  readonly requestedAt: Milliseconds;
  readonly receivedAt: Milliseconds;
  readonly source: ReportSource;
}

/** Source of a report: polled from the engine by this box, or relayed by the box that polled it. */
export type ReportSource = "read" | "relayed";

/** A report that this box has polled itself. */
export interface PolledReport {
  readonly pool: string;
  readonly record: EngineReportRecord;
}

export interface TargetWatch {
  reportOf(engine: string): EngineReportRecord | undefined;
  /**
   * Accepts a report that was not polled here, such as a relayed one or the response to a raised fence.
   *
   * @param requestedAt clock reading of this box before which the report was not requested
   */
  ingest(report: EngineReport, requestedAt: Milliseconds, source: ReportSource): void;
  /** Names of the boxes that poll an engine for its pool; empty if every box polls every engine. */
  readersOf(engine: Engine): readonly string[];
  /** Fresh reports that this box has polled itself and may relay. */
  polledReports(): readonly PolledReport[];
  /** Whether a target is leaving, according to any source. */
  isLeaving(target: { readonly name?: string; readonly address: string }): boolean;
  /** Engines of the pools that this box serves or holds the lease of. */
  watchedEngines(): readonly Engine[];
  /** Calls the listener for each accepted report. */
  onReport(listener: (report: EngineReportRecord) => void): void;
}

export const targetWatchName = serviceName<TargetWatch>("target-watch");

/** Creates the watch; it polls between `start` and `stop`. */
export function createTargetWatch(kernel: Kernel): TargetWatch & Service {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const leases = kernel.find(leaseHolderName);
  const logger = kernel.find(loggerName);
  const membership = kernel.find(membershipName);
  const port = kernel.find(enginePortName);
  const settings = kernel.find(settingsName).targets;
  const self = kernel.find(settingsName).box.name;
  const reports = new Map<string, EngineReportRecord>();
  const polling = new Set<string>();
  const listeners: ((report: EngineReportRecord) => void)[] = [];

  /** Whether a later report of the same engine incarnation is already settled in the log. */
  const isSuperseded = (report: EngineReport) => {
    const settled = store.state().settledThrough.get(report.engine);
    return (
      settled?.engineIncarnation === report.engineIncarnation && settled.sequence > report.sequence
    );
  };

  /** Reports arrive from several sources and out of order; an older one must not replace a newer one. */
  const isNewer = (report: EngineReport, requestedAt: Milliseconds) => {
    const current = reports.get(report.engine);
    if (!current) return true;
    // Incarnations have no order: the report is newer for certain only if it was requested after the current one arrived.
    if (current.report.engineIncarnation !== report.engineIncarnation)
      return requestedAt >= current.receivedAt;
    if (current.report.sequence !== report.sequence)
      return current.report.sequence < report.sequence;
    return requestedAt >= current.requestedAt;
  };

  const logChanges = (previous: EngineReport | undefined, report: EngineReport) => {
    if (previous && previous.engineIncarnation !== report.engineIncarnation) {
      logger.event("engineRestarted", { engine: report.engine });
    }
    if (report.leaving && !previous?.leaving)
      logger.event("targetLeaving", { target: report.engine });
  };

  const ingest = (report: EngineReport, requestedAt: Milliseconds, source: ReportSource) => {
    if (isSuperseded(report) || !isNewer(report, requestedAt)) return;
    logChanges(reports.get(report.engine)?.report, report);
    const record = { report, requestedAt, receivedAt: clock.now(), source };
    reports.set(report.engine, record);
    for (const listener of listeners) listener(record);
  };

  const poll = async (engine: Engine) => {
    if (polling.has(engine.name)) return;
    polling.add(engine.name);
    const requestedAt = clock.now();
    const response = await port.report(engine.address);
    polling.delete(engine.name);
    response.ifRight((report) => {
      // Ignores an engine other than the one declared at this address.
      if (report.engine === engine.name) ingest(report, requestedAt, "read");
    });
  };

  const watchedEngines = () => {
    const leasedPools = leases.heldLeases().map((lease) => lease.pool);
    const pools = new Set([...leases.servedPools(), ...leasedPools]);
    return [...pools].flatMap((pool) => store.desired().enginesByPool.get(pool) ?? []);
  };

  const readersOf = ({ name, pool }: Engine): readonly string[] => {
    if (settings.report_readers === 0) return [];
    return topNodes(name, leases.boxesServing(pool), settings.report_readers);
  };

  const isFresh = (record: EngineReportRecord | undefined, maxAgeMs: Milliseconds) =>
    record !== undefined && clock.now() - record.requestedAt <= maxAgeMs;

  /** Whether this box polls the engine: as one of its readers, or because relayed reports are too old. */
  const mustPoll = (engine: Engine) => {
    const readers = readersOf(engine);
    if (readers.length === 0 || readers.includes(self)) return true;
    return !isFresh(reports.get(engine.name), settings.report_stale_ms * maxRelayedAgeShare);
  };

  const dropUndeclared = () => {
    for (const name of reports.keys()) {
      if (!store.desired().engines.has(name)) reports.delete(name);
    }
  };

  const loop = repeatEvery(clock, kernel.find(randomName), settings.report_poll_ms, () => {
    dropUndeclared();
    for (const engine of watchedEngines()) if (mustPoll(engine)) void poll(engine);
  });
  return {
    reportOf: (engine) => reports.get(engine),
    ingest,
    isLeaving(target) {
      const announced = membership.leavingTargets();
      if (announced.has(target.address)) return true;
      if (target.name === undefined) return false;
      const declared = store.desired().engines.get(target.name)?.leaving ?? false;
      const reported = reports.get(target.name)?.report.leaving ?? false;
      return declared || reported || announced.has(target.name);
    },
    watchedEngines,
    readersOf,
    polledReports: () =>
      watchedEngines().flatMap(({ name, pool }) => {
        const record = reports.get(name);
        const isRelayable = record?.source === "read" && isFresh(record, settings.report_stale_ms);
        return isRelayable ? [{ pool, record }] : [];
      }),
    onReport: (listener) => void listeners.push(listener),
    start: loop.start,
    stop: loop.stop,
  };
}
