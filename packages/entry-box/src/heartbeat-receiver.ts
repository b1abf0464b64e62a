/** Takes the heartbeats of other boxes: their load, desired state, what the order giver knows. */
import {
  type BoxStatus,
  type ReportPosition,
  type Heartbeat,
  type LeaseHolderReport,
  peersName,
} from "@linkfall/box-peers";
import { crashBlameName } from "@linkfall/crash-blame";
import { desiredFeedName } from "@linkfall/desired-feed";
import { fleetName } from "@linkfall/fleet";
import type { ChangeWaiter } from "@linkfall/forwarding";
import type { RequestedWeights } from "@linkfall/model-demand";
import { orderLeaseName } from "@linkfall/order-lease";
import type { Milliseconds } from "@linkfall/types";
import { orderDispatcherName } from "@linkfall/weight-orders";
import type { BoxRuntime } from "./box-runtime.js";
import { targetLimitsName } from "./provide-limits.js";
import { hasWaitingRequests, sumLoads } from "./box-loads.js";

export interface HeartbeatReceiver {
  /** Time until weights are expected to be there, as the order giver told. */
  expectedWeightsMs(wanted: RequestedWeights): Milliseconds | undefined;
}

/** What was taken of the order giver's reports. */
export interface LeaseHolderView {
  followed?: ReportPosition;
  /** The order giver hears most boxes. */
  reachesMajority: boolean;
  /** When models are expected, by `service model`, on this box's clock. */
  weightsExpectedAt: ReadonlyMap<string, Milliseconds>;
}

/** The loads of boxes that are heard are summed at most this often. */
const minSumIntervalMs: Milliseconds = 20;

/** Whether the order giver was heard lately enough for its report to count more than the list. */
function hasCurrentHolderReport({ kernel, settings }: BoxRuntime): boolean {
  const lease = kernel.find(orderLeaseName);
  if (lease.epoch() !== undefined) return true;
  const holder = lease.observedLease()?.holder;
  const heardMs =
    holder === undefined ? undefined : kernel.find(peersName).sinceHeartbeatMs(holder);
  return heardMs !== undefined && heardMs < settings.peers.suspect_ms;
}

/** Asks boxes that are ahead for their configuration, one at a time. */
function createConfigurationFetcher({
  kernel,
  peerClient,
}: BoxRuntime): (other: BoxStatus) => Promise<void> {
  let asking = false;
  return async ({ configurationVersion, peerAddress }) => {
    const feed = kernel.find(desiredFeedName);
    const version = feed.activeConfiguration()?.configuration.version ?? -1;
    if (asking || configurationVersion <= version) return;
    asking = true;
    (await peerClient.configuration(peerAddress)).ifRight(feed.applyConfigurationCopy);
    asking = false;
  };
}

/** Sums the loads of the boxes that this one hears, at most every so often. */
function createPeerLoadAggregator({ kernel, ports }: BoxRuntime): () => void {
  let summedAt = -Infinity;
  return () => {
    const now = ports.clock.now();
    if (now - summedAt < minSumIntervalMs) return;
    summedAt = now;
    const statuses = kernel.find(peersName).statuses();
    kernel.find(fleetName).setOtherBoxesLoads(sumLoads(statuses.map((status) => status.loads)));
  };
}

/** Takes targets that another box has read, unless this one reads them itself. */
function applyTargets({ kernel }: BoxRuntime, { targets }: Heartbeat): void {
  const feed = kernel.find(desiredFeedName);
  if (targets && !(feed.readsStore() && feed.reachesStore())) feed.applyTargetChanges(targets);
}

function applyReport(
  { kernel, ports }: BoxRuntime,
  knowledge: LeaseHolderView,
  report: LeaseHolderReport,
) {
  const fleet = kernel.find(fleetName);
  fleet.setWithheldModels(new Map(Object.entries(report.withheld)));
  for (const { id, holdings } of report.engines) fleet.applyRelayedHoldings(id, holdings);
  if (report.othersLoads) fleet.setOtherBoxesLoads(new Map(Object.entries(report.othersLoads)));
  knowledge.followed = report.followed;
  knowledge.reachesMajority = report.hearsMost;
  const now = ports.clock.now();
  const expected = Object.entries(report.expected);
  knowledge.weightsExpectedAt = new Map(expected.map(([key, ms]) => [key, now + ms]));
}

/** Begins to take heartbeats. */
export function receiveHeartbeats(
  parts: BoxRuntime,
  knowledge: LeaseHolderView,
  waiter: ChangeWaiter,
): HeartbeatReceiver {
  const { kernel, ports } = parts;
  const peers = kernel.find(peersName);
  const lease = kernel.find(orderLeaseName);
  const giver = kernel.find(orderDispatcherName);
  const blame = kernel.find(crashBlameName);
  const targetLimits = kernel.find(targetLimitsName);
  const catchUp = createConfigurationFetcher(parts);
  const sumHeardLoads = createPeerLoadAggregator(parts);
  kernel.find(fleetName).preferDirectReportsWhile(() => hasCurrentHolderReport(parts));

  peers.onHeartbeat((heartbeat) => {
    const { status, report } = heartbeat;
    if (status.lease) lease.observe(status.lease);
    const givesOrders = lease.epoch() !== undefined;
    if (peers.isFullMesh() || givesOrders) sumHeardLoads();
    applyTargets(parts, heartbeat);
    if (heartbeat.blame) blame.applyChanges(status.incarnation, heartbeat.blame);
    if (heartbeat.limits) targetLimits.applyChanges(status.incarnation, heartbeat.limits);
    void catchUp(status);
    if (report && lease.observedLease()?.holder === status.incarnation) {
      applyReport(parts, knowledge, report);
      waiter.wakeAll();
    }
    if (givesOrders && hasWaitingRequests(status)) giver.triggerCycle();
  });

  return {
    expectedWeightsMs({ service, model }) {
      const key = `${service} ${model}`;
      if (lease.epoch() !== undefined) return giver.timesToReady()[key];
      const at = knowledge.weightsExpectedAt.get(key);
      return at === undefined ? undefined : Math.max(0, at - ports.clock.now());
    },
  };
}
