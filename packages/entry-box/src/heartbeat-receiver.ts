/** Applies the heartbeats of other boxes: their loads, desired state and the lease holder's reports. */
import {
  type BoxStatus,
  type ReportPosition,
  type Heartbeat,
  type LeaseHolderReport,
  peersName,
} from "@linkfall/box-peers";
import { crashBlameName } from "@linkfall/crash-blame";
import { desiredFeedName } from "@linkfall/desired-feed";
import { engineSpeedsName } from "@linkfall/engine-speed";
import { fleetName } from "@linkfall/fleet";
import type { ChangeWaiter } from "@linkfall/forwarding";
import { timeTask } from "@linkfall/long-task";
import { metricsName } from "@linkfall/metrics";
import type { RequestedWeights } from "@linkfall/model-demand";
import { orderLeaseName } from "@linkfall/order-lease";
import type { Milliseconds } from "@linkfall/types";
import { orderDispatcherName } from "@linkfall/weight-orders";
import type { BoxRuntime } from "./box-runtime.js";
import { fragileTargetsName } from "./provide-fragile-targets.js";
import { targetLimitsName } from "./provide-limits.js";
import { hasWaitingRequests, sumLoads } from "./box-loads.js";
import type { PlannedDemand } from "./planned-demand.js";

export interface HeartbeatReceiver {
  /** Time until the weights are expected to be loaded, as reported by the lease holder. */
  expectedWeightsMs(wanted: RequestedWeights): Milliseconds | undefined;
  /** Time up to which the lease holder has planned loads for this box's demand. */
  loadsDecidedAt(): Milliseconds;
}

/** State received in the lease holder's reports. */
export interface LeaseHolderView {
  /** Position in the lease holder's reports. */
  followed?: ReportPosition;
  /** Whether the lease holder receives heartbeats from a majority of boxes. */
  reachesMajority: boolean;
  /** When models are expected to be loaded, by `service model`, on this box's clock. */
  weightsExpectedAt: ReadonlyMap<string, Milliseconds>;
}

/** Minimum interval between two sums over the loads of all peers. */
const minSumIntervalMs: Milliseconds = 20;

/** Whether the lease holder's report is recent enough to take precedence over the registered state of targets. */
function hasCurrentHolderReport({ kernel, settings }: BoxRuntime): boolean {
  const lease = kernel.find(orderLeaseName);
  if (lease.epoch() !== undefined) return true;
  const holder = lease.observedLease()?.holder;
  const silentMs =
    holder === undefined ? undefined : kernel.find(peersName).sinceHeartbeatMs(holder);
  return silentMs !== undefined && silentMs < settings.peers.suspect_ms;
}

/** Fetches the configuration from a box that has a newer version, one fetch at a time. */
function createConfigurationFetcher({
  kernel,
  peerClient,
}: BoxRuntime): (other: BoxStatus) => Promise<void> {
  let fetching = false;
  return async ({ configurationVersion, peerAddress }) => {
    const feed = kernel.find(desiredFeedName);
    const version = feed.activeConfiguration()?.configuration.version ?? -1;
    if (fetching || configurationVersion <= version) return;
    fetching = true;
    (await peerClient.configuration(peerAddress)).ifRight(feed.applyConfigurationCopy);
    fetching = false;
  };
}

/** Sums the loads reported by peers, at most once per `minSumIntervalMs`. */
function createPeerLoadAggregator({ kernel, ports }: BoxRuntime): () => void {
  let lastSummedAt = -Infinity;
  return () => {
    const now = ports.clock.now();
    if (now - lastSummedAt < minSumIntervalMs) return;
    lastSummedAt = now;
    const statuses = kernel.find(peersName).statuses();
    kernel.find(fleetName).setOtherBoxesLoads(sumLoads(statuses.map((status) => status.loads)));
  };
}

/** Applies target changes read by another box, unless this box reads them from the store. */
function applyTargets({ kernel }: BoxRuntime, { targets }: Heartbeat): void {
  const feed = kernel.find(desiredFeedName);
  if (targets && !(feed.readsStore() && feed.reachesStore())) feed.applyTargetChanges(targets);
}

function applyReport(
  { kernel, ports }: BoxRuntime,
  holderView: LeaseHolderView,
  report: LeaseHolderReport,
) {
  const fleet = kernel.find(fleetName);
  fleet.setWithheldModels(new Map(Object.entries(report.withheld)));
  for (const { id, holdings } of report.engines) fleet.applyRelayedHoldings(id, holdings);
  if (report.speeds)
    kernel.find(engineSpeedsName).applyRecords(report.followed.holder, report.speeds);
  if (report.othersLoads) fleet.setOtherBoxesLoads(new Map(Object.entries(report.othersLoads)));
  holderView.followed = report.followed;
  holderView.reachesMajority = report.hearsMost;
  const now = ports.clock.now();
  const expected = Object.entries(report.expected);
  holderView.weightsExpectedAt = new Map(expected.map(([key, ms]) => [key, now + ms]));
}

/** Subscribes to the heartbeats of other boxes. */
export function receiveHeartbeats(
  runtime: BoxRuntime,
  holderView: LeaseHolderView,
  waiter: ChangeWaiter,
  plannedDemand: PlannedDemand,
): HeartbeatReceiver {
  const { kernel, ports } = runtime;
  const peers = kernel.find(peersName);
  const lease = kernel.find(orderLeaseName);
  const dispatcher = kernel.find(orderDispatcherName);
  const blame = kernel.find(crashBlameName);
  const targetLimits = kernel.find(targetLimitsName);
  const fragileTargets = kernel.find(fragileTargetsName);
  const speeds = kernel.find(engineSpeedsName);
  const feed = kernel.find(desiredFeedName);
  const fetchConfiguration = createConfigurationFetcher(runtime);
  const sumPeerLoads = createPeerLoadAggregator(runtime);
  const fleet = kernel.find(fleetName);
  fleet.preferDirectReportsWhile(() => hasCurrentHolderReport(runtime));

  const applyHeartbeat = (heartbeat: Heartbeat) => {
    const { status, report } = heartbeat;
    if (status.lease) lease.observe(status.lease);
    const holdsLease = lease.epoch() !== undefined;
    if (peers.isFullMesh() || holdsLease) sumPeerLoads();
    if (holdsLease && status.intervals) speeds.merge(status.box, status.intervals);
    applyTargets(runtime, heartbeat);
    if (heartbeat.configuration) feed.applyConfigurationCopy(heartbeat.configuration);
    if (heartbeat.blame) blame.applyChanges(status.incarnation, heartbeat.blame);
    if (heartbeat.leaving) fleet.leavingTargets.applyNotices(status.incarnation, heartbeat.leaving);
    if (heartbeat.departures) fleet.applyDepartures(status.incarnation, heartbeat.departures);
    if (heartbeat.limits) targetLimits.applyChanges(status.incarnation, heartbeat.limits);
    if (heartbeat.fragile) fragileTargets.applyChanges(status.incarnation, heartbeat.fragile);
    void fetchConfiguration(status);
    if (report && lease.observedLease()?.holder === status.incarnation) {
      applyReport(runtime, holderView, report);
      plannedDemand.recordPlanned(report.plannedBeat);
      waiter.wakeAll();
    }
    if (holdsLease && hasWaitingRequests(status)) dispatcher.triggerCycle();
  };
  const reporters = { ...ports, metrics: kernel.find(metricsName) };
  peers.onHeartbeat((heartbeat) =>
    timeTask(reporters, "apply heartbeat", () => applyHeartbeat(heartbeat)),
  );

  return {
    expectedWeightsMs({ service, model, softwareVersion }) {
      const name = `${service} ${model}`;
      const key = softwareVersion === undefined ? name : `${name} ${softwareVersion}`;
      if (lease.epoch() !== undefined) return dispatcher.timesToReady()[key];
      const at = holderView.weightsExpectedAt.get(key);
      return at === undefined ? undefined : Math.max(0, at - ports.clock.now());
    },
    loadsDecidedAt: () => Math.max(dispatcher.decidedAt(), plannedDemand.decidedAt()),
  };
}
