/** Builds the heartbeats that this box sends. */
import {
  type BoxStatus,
  type ReportPosition,
  type Heartbeat,
  type HeartbeatSource,
  peersName,
  type TargetChanges,
} from "@linkfall/box-peers";
import { crashBlameName } from "@linkfall/crash-blame";
import { desiredFeedName } from "@linkfall/desired-feed";
import { engineSpeedsName, type IntervalObservation } from "@linkfall/engine-speed";
import { fleetName } from "@linkfall/fleet";
import { timeTask } from "@linkfall/long-task";
import { metricsName } from "@linkfall/metrics";
import { orderLeaseName } from "@linkfall/order-lease";
import {
  type BlameMessage,
  type DepartureMessage,
  isBehind,
  type LeavingMessage,
  type TargetLimitMessage,
} from "@linkfall/types";
import { createConfigurationCopies } from "./configuration-copies.js";
import type { BoxRuntime } from "./box-runtime.js";
import { ownLoads, recentDemand } from "./box-loads.js";
import { ownProfile } from "./own-profile.js";
import { fragileTargetsName } from "./provide-fragile-targets.js";
import { targetLimitsName } from "./provide-limits.js";
import { createReportBuilder } from "./holder-report.js";
import type { PlannedDemand } from "./planned-demand.js";

/** Target changes read by this box, for a peer that cannot read them from the store itself. */
function targetChangesFor({ kernel }: BoxRuntime, peer: BoxStatus): TargetChanges | undefined {
  const feed = kernel.find(desiredFeedName);
  if (peer.reading && peer.reachesStore) return undefined;
  if (!feed.ready() || !feed.readsStore()) return undefined;
  const own = feed.targetsPosition();
  const { targetsEnd: end, targetsGeneration: generation = own.generation } = peer;
  if (!isBehind({ end, generation }, own)) return undefined;
  return feed.targetChangesSince({ end, generation });
}

/** Records of requests that crash targets, as far as the recipient lacks them. */
function blameFor({ kernel }: BoxRuntime, recipient?: BoxStatus): BlameMessage | undefined {
  const followed = recipient?.blameFollowed ?? 0;
  const message = kernel.find(crashBlameName).changesSince(followed, recipient?.incarnation);
  // Without records it still advances the position, so that they need not be looked through again.
  return message.number > followed ? message : undefined;
}

/** Records of targets' rate limits, as far as the recipient lacks them. */
function limitsFor({ kernel }: BoxRuntime, recipient?: BoxStatus): TargetLimitMessage | undefined {
  const message = kernel.find(targetLimitsName).changesSince(recipient?.limitsFollowed ?? 0);
  return message.records.length > 0 ? message : undefined;
}

/** Records of fragile targets, as far as the recipient lacks them. */
function fragileFor({ kernel }: BoxRuntime, recipient?: BoxStatus): TargetLimitMessage | undefined {
  const message = kernel.find(fragileTargetsName).changesSince(recipient?.fragileFollowed ?? 0);
  return message.records.length > 0 ? message : undefined;
}

/** Notices of leaving targets, as far as the recipient lacks them. */
function leavingFor({ kernel }: BoxRuntime, recipient?: BoxStatus): LeavingMessage | undefined {
  const { leavingTargets } = kernel.find(fleetName);
  const message = leavingTargets.noticesSince(recipient?.leavingFollowed ?? 0);
  return message.notices.length > 0 ? message : undefined;
}

/** Departures of targets, as far as the recipient lacks them. */
function departuresFor(
  { kernel }: BoxRuntime,
  recipient?: BoxStatus,
): DepartureMessage | undefined {
  const { departedTargets } = kernel.find(fleetName);
  const message = departedTargets.departuresSince(recipient?.departuresFollowed ?? 0);
  return message.departures.length > 0 ? message : undefined;
}

/** Event intervals for the lease holder. Those of a heartbeat that is lost are not sent again: newer ones follow. */
function takeIntervals({ kernel }: BoxRuntime): readonly IntervalObservation[] | undefined {
  const observations = kernel.find(engineSpeedsName).takeObservations();
  return observations.length > 0 ? observations : undefined;
}

/** Creates the source; it looks up its services when it builds the first heartbeat. */
export function createHeartbeatSource(
  runtime: BoxRuntime,
  followed: () => ReportPosition | undefined,
  plannedDemand: PlannedDemand,
): HeartbeatSource {
  const { kernel, demand, ports } = runtime;
  const report = createReportBuilder(runtime);
  let beat = 0;

  const status = (recipient?: BoxStatus): BoxStatus => {
    const feed = kernel.find(desiredFeedName);
    const lease = kernel.find(orderLeaseName);
    const known = lease.observedLease();
    // Demand and loads dominate the size of a status and are only used by the lease holder and in a full mesh.
    const toHolder = recipient !== undefined && recipient.incarnation === known?.holder;
    const toAll = kernel.find(peersName).isFullMesh();
    beat += 1;
    if (toHolder) plannedDemand.recordHeartbeat(beat);
    const position = feed.targetsPosition();
    const ordersForMs = lease.remainingLeaseTimeMs();
    const provenForMs = lease.remainingLeaseMs();
    // Spreading the profile into a literal of this size took ten times as long.
    return Object.assign(ownProfile(runtime), {
      beat,
      reachesStore: feed.reachesStore(),
      configurationVersion: feed.activeConfiguration()?.configuration.version ?? -1,
      targetsEnd: position.end,
      targetsGeneration: position.generation,
      loads: toAll || toHolder ? ownLoads(kernel.find(fleetName)) : {},
      demand: toHolder ? recentDemand(demand.read()) : [],
      intervals: toHolder ? takeIntervals(runtime) : undefined,
      lease: known,
      ordersForMs,
      provenForMs: provenForMs === ordersForMs ? undefined : provenForMs,
      followed: followed(),
      limitsFollowed:
        recipient && kernel.find(targetLimitsName).appliedSequence(recipient.incarnation),
      fragileFollowed:
        recipient && kernel.find(fragileTargetsName).appliedSequence(recipient.incarnation),
      leavingFollowed:
        recipient && kernel.find(fleetName).leavingTargets.appliedSequence(recipient.incarnation),
      departuresFollowed:
        recipient && kernel.find(fleetName).departedTargets.appliedSequence(recipient.incarnation),
      blameFollowed:
        recipient && kernel.find(crashBlameName).appliedSequence(recipient.incarnation),
    });
  };

  const copies = createConfigurationCopies(ports.clock, () =>
    kernel.find(desiredFeedName).configurationCopy(),
  );
  const createHeartbeat = (
    recipient: BoxStatus | undefined,
    sightings: Heartbeat["sightings"],
  ): Heartbeat => {
    const holdsLease = kernel.find(orderLeaseName).epoch() !== undefined;
    return {
      status: status(recipient),
      sightings,
      report: holdsLease ? report(recipient) : undefined,
      targets: recipient && targetChangesFor(runtime, recipient),
      configuration: copies.copyFor(recipient),
      blame: blameFor(runtime, recipient),
      limits: limitsFor(runtime, recipient),
      fragile: fragileFor(runtime, recipient),
      leaving: leavingFor(runtime, recipient),
      departures: departuresFor(runtime, recipient),
    };
  };
  const reporters = { ...ports, metrics: kernel.find(metricsName) };

  return {
    isIdle: () =>
      !runtime.activity.takesRequests() && kernel.find(orderLeaseName).epoch() === undefined,
    holder: () => kernel.find(orderLeaseName).observedLease()?.holder,
    createHeartbeat: (recipient, sightings) =>
      timeTask(reporters, "create heartbeat", () => createHeartbeat(recipient, sightings)),
  };
}
