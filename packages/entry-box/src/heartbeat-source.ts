/** Makes the heartbeats that this box sends. */
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
import { fleetName } from "@linkfall/fleet";
import { orderLeaseName } from "@linkfall/order-lease";
import type { BlameMessage, TargetLimitMessage } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";
import { ownLoads, recentDemand } from "./box-loads.js";
import { ownProfile } from "./own-profile.js";
import { targetLimitsName } from "./provide-limits.js";
import { createReportBuilder } from "./holder-report.js";

/** What this box has read of the list, for one that does not read it or cannot. */
function targetChangesFor({ kernel }: BoxRuntime, reader: BoxStatus): TargetChanges | undefined {
  const feed = kernel.find(desiredFeedName);
  if (reader.reading && reader.reachesStore) return undefined;
  if (!feed.ready() || !feed.readsStore() || reader.targetsEnd >= feed.targetsEnd())
    return undefined;
  return feed.targetChangesSince(reader.targetsEnd);
}

/** What this box knows of requests that end targets and the reader does not. */
function blameFor({ kernel }: BoxRuntime, reader?: BoxStatus): BlameMessage | undefined {
  const word = kernel.find(crashBlameName).changesSince(reader?.blameFollowed ?? 0);
  return word.records.length > 0 ? word : undefined;
}

/** What this box knows of targets' limits and the reader does not. */
function limitsFor({ kernel }: BoxRuntime, reader?: BoxStatus): TargetLimitMessage | undefined {
  const word = kernel.find(targetLimitsName).changesSince(reader?.limitsFollowed ?? 0);
  return word.records.length > 0 ? word : undefined;
}

/** Creates the source; it finds its services when the first heartbeat is made. */
export function createHeartbeatSource(
  parts: BoxRuntime,
  followed: () => ReportPosition | undefined,
): HeartbeatSource {
  const { kernel, demand } = parts;
  const report = createReportBuilder(parts);
  let beat = 0;

  const status = (reader?: BoxStatus): BoxStatus => {
    const feed = kernel.find(desiredFeedName);
    const lease = kernel.find(orderLeaseName);
    const known = lease.observedLease();
    // Demand and load are most of a status, and of use only to boxes that give orders or hear all.
    const toHolder = reader !== undefined && reader.incarnation === known?.holder;
    const toAll = kernel.find(peersName).isFullMesh();
    beat += 1;
    return {
      ...ownProfile(parts),
      beat,
      reachesStore: feed.reachesStore(),
      configurationVersion: feed.activeConfiguration()?.configuration.version ?? -1,
      targetsEnd: feed.targetsEnd(),
      loads: toAll || toHolder ? ownLoads(kernel.find(fleetName)) : {},
      demand: toHolder ? recentDemand(demand.read()) : [],
      lease: known,
      ordersForMs: lease.remainingLeaseMs(),
      followed: followed(),
      limitsFollowed: reader && kernel.find(targetLimitsName).appliedSequence(reader.incarnation),
      blameFollowed: reader && kernel.find(crashBlameName).appliedSequence(reader.incarnation),
    };
  };

  return {
    isIdle: () =>
      !parts.activity.takesRequests() && kernel.find(orderLeaseName).epoch() === undefined,
    holder: () => kernel.find(orderLeaseName).observedLease()?.holder,
    createHeartbeat(reader, sightings): Heartbeat {
      const gives = kernel.find(orderLeaseName).epoch() !== undefined;
      return {
        status: status(reader),
        sightings,
        report: gives ? report(reader) : undefined,
        targets: reader && targetChangesFor(parts, reader),
        blame: blameFor(parts, reader),
        limits: limitsFor(parts, reader),
      };
    },
  };
}
