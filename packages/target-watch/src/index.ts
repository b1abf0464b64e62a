/** Follows the reports of engines: one poll at a time for each, so that answers cannot change places. */
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
import { stateStoreName } from "@linkfall/state-store";
import type { Engine, EngineReport, Milliseconds } from "@linkfall/types";

/** The newest report of an engine. */
export interface WatchedReport {
  readonly report: EngineReport;
  /** When it was asked for, by this box's clock. */
  readonly requestedAt: Milliseconds;
  readonly receivedAt: Milliseconds;
}

export interface TargetWatch {
  reportOf(engine: string): WatchedReport | undefined;
  /** Takes a report that came by another way, such as the answer to a raised fence. */
  ingest(report: EngineReport, requestedAt: Milliseconds): void;
  /** Whether a target is leaving, whatever the way it was learnt by. */
  isLeaving(target: { readonly name?: string; readonly address: string }): boolean;
  /** Engines that this box watches. */
  watched(): readonly Engine[];
  /** Called for each report that was taken. */
  onReport(listener: (report: WatchedReport) => void): void;
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
  const reports = new Map<string, WatchedReport>();
  const polling = new Set<string>();
  const listeners: ((report: WatchedReport) => void)[] = [];

  /** A report is of use unless a newer one of the same start is known, here or in the log. */
  const isOutdated = (report: EngineReport) => {
    const held = reports.get(report.engine)?.report;
    const settled = store.state().settledThrough.get(report.engine);
    return [held, settled].some(
      (known) =>
        known?.engineIncarnation === report.engineIncarnation && known.sequence > report.sequence,
    );
  };

  const noteChanges = (before: EngineReport | undefined, report: EngineReport) => {
    if (before && before.engineIncarnation !== report.engineIncarnation) {
      logger.event("engineRestarted", { engine: report.engine });
    }
    if (report.leaving && !before?.leaving)
      logger.event("targetLeaving", { target: report.engine });
  };

  const ingest = (report: EngineReport, requestedAt: Milliseconds) => {
    if (isOutdated(report)) return;
    noteChanges(reports.get(report.engine)?.report, report);
    const taken = { report, requestedAt, receivedAt: clock.now() };
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
      if (report.engine === engine.name) ingest(report, requestedAt);
    });
  };

  const watched = () => {
    const held = leases.heldPools().map((lease) => lease.pool);
    const pools = new Set([...leases.servedPools(), ...held]);
    return [...store.desired().engines.values()].filter((engine) => pools.has(engine.pool));
  };

  const forgetUndeclared = () => {
    for (const name of reports.keys()) {
      if (!store.desired().engines.has(name)) reports.delete(name);
    }
  };

  const loop = repeatEvery(clock, kernel.find(randomName), settings.report_poll_ms, () => {
    forgetUndeclared();
    for (const engine of watched()) void poll(engine);
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
    watched,
    onReport: (listener) => void listeners.push(listener),
    start: loop.start,
    stop: loop.stop,
  };
}
