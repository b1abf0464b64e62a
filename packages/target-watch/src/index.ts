/**
 * Follows the reports of engines. A box reads some engines itself, one poll at a time for each; reports
 * of the others come from the boxes that read those (see report-relay), or by a poll of its own when
 * none has come for a while.
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

/** Share of the time for which a report may be used, after which a box looks for itself. */
const maxRelayedAgeShare = 0.5;

/** The newest report of an engine. */
export interface EngineReportRecord {
  readonly report: EngineReport;
  /** When it was asked for, by this box's clock. */
  readonly requestedAt: Milliseconds;
  readonly receivedAt: Milliseconds;
  readonly source: ReportSource;
}

/** How a report came: read from the engine by this box, or passed on by the box that read it. */
export type ReportSource = "read" | "relayed";

/** A report that this box has read itself. */
export interface PolledReport {
  readonly pool: string;
  readonly record: EngineReportRecord;
}

export interface TargetWatch {
  reportOf(engine: string): EngineReportRecord | undefined;
  /**
   * Takes a report that came by another way, such as the answer to a raised fence.
   *
   * @param requestedAt a time by this box's clock before which it was not asked for
   */
  ingest(report: EngineReport, requestedAt: Milliseconds, way: ReportSource): void;
  /** Names of the boxes that read an engine for its pool; none where every box reads every engine. */
  readersOf(engine: Engine): readonly string[];
  /** What this box may pass on: fresh reports that it has read itself. */
  polledReports(): readonly PolledReport[];
  /** Whether a target is leaving, whatever the way it was learnt by. */
  isLeaving(target: { readonly name?: string; readonly address: string }): boolean;
  /** Engines that this box watches. */
  watchedEngines(): readonly Engine[];
  /** Called for each report that was taken. */
  onReport(listener: (report: EngineReportRecord) => void): void;
}

export const targetWatchName = serviceName<TargetWatch>("target-watch");

/** Creates the watch; its life cycle is the polling. */
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

  /** Whether the log says that a later report of the same start has been acted upon. */
  const isSuperseded = (report: EngineReport) => {
    const settled = store.state().settledThrough.get(report.engine);
    return (
      settled?.engineIncarnation === report.engineIncarnation && settled.sequence > report.sequence
    );
  };

  /** Reports come by several ways and may overtake each other; only a later one takes the place. */
  const isNewer = (report: EngineReport, requestedAt: Milliseconds) => {
    const held = reports.get(report.engine);
    if (!held) return true;
    // Of another start of the engine: later for certain only when it was asked for after this one came.
    if (held.report.engineIncarnation !== report.engineIncarnation)
      return requestedAt >= held.receivedAt;
    if (held.report.sequence !== report.sequence) return held.report.sequence < report.sequence;
    return requestedAt >= held.requestedAt;
  };

  const logChanges = (before: EngineReport | undefined, report: EngineReport) => {
    if (before && before.engineIncarnation !== report.engineIncarnation) {
      logger.event("engineRestarted", { engine: report.engine });
    }
    if (report.leaving && !before?.leaving)
      logger.event("targetLeaving", { target: report.engine });
  };

  const ingest = (report: EngineReport, requestedAt: Milliseconds, way: ReportSource) => {
    if (isSuperseded(report) || !isNewer(report, requestedAt)) return;
    logChanges(reports.get(report.engine)?.report, report);
    const taken = { report, requestedAt, receivedAt: clock.now(), way };
    reports.set(report.engine, taken);
    for (const listener of listeners) listener(taken);
  };

  const poll = async (engine: Engine) => {
    if (polling.has(engine.name)) return;
    polling.add(engine.name);
    const requestedAt = clock.now();
    const answer = await port.report(engine.address);
    polling.delete(engine.name);
    answer.ifRight((report) => {
      // Another engine at this address is not the one that was declared.
      if (report.engine === engine.name) ingest(report, requestedAt, "read");
    });
  };

  const watched = () => {
    const held = leases.heldLeases().map((lease) => lease.pool);
    const pools = new Set([...leases.servedPools(), ...held]);
    return [...pools].flatMap((pool) => store.desired().enginesByPool.get(pool) ?? []);
  };

  const readersOf = ({ name, pool }: Engine): readonly string[] => {
    if (settings.report_readers === 0) return [];
    return topNodes(name, leases.boxesServing(pool), settings.report_readers);
  };

  const isFresh = (watched: EngineReportRecord | undefined, limit: Milliseconds) =>
    watched !== undefined && clock.now() - watched.requestedAt <= limit;

  /** Whether this box must read the engine: as one of its readers, or because no word of it comes. */
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
    for (const engine of watched()) if (mustPoll(engine)) void poll(engine);
  });
  return {
    reportOf: (engine) => reports.get(engine),
    ingest,
    isLeaving(target) {
      const shown = membership.leavingTargets();
      if (shown.has(target.address)) return true;
      if (target.name === undefined) return false;
      const declared = store.desired().engines.get(target.name)?.leaving ?? false;
      const reported = reports.get(target.name)?.report.leaving ?? false;
      return declared || reported || shown.has(target.name);
    },
    watchedEngines: watched,
    readersOf,
    polledReports: () =>
      watched().flatMap(({ name, pool }) => {
        const known = reports.get(name);
        const usable = known?.source === "read" && isFresh(known, settings.report_stale_ms);
        return usable ? [{ pool, watched: known }] : [];
      }),
    onReport: (listener) => void listeners.push(listener),
    start: loop.start,
    stop: loop.stop,
  };
}
