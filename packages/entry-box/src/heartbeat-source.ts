/** Makes the heartbeats that this box sends. */
import {
  type BoxStatus,
  type FollowedReport,
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
import type { BoxParts } from "./box-parts.js";
import { ownLoads, recentDemand } from "./box-loads.js";
import { ownProfile } from "./own-profile.js";
import { targetLimitsName } from "./provide-limits.js";
import { createReportMaker } from "./holder-report.js";

/** What this box has read of the list, for one that does not read it or cannot. */
function targetsFor({ kernel }: BoxParts, reader: BoxStatus): TargetChanges | undefined {
  const feed = kernel.find(desiredFeedName);
  if (reader.reading && reader.reachesStore) return undefined;
  if (!feed.ready() || !feed.reading() || reader.targetsEnd >= feed.targetsEnd()) return undefined;
  return feed.targetsSince(reader.targetsEnd);
}

/** What this box knows of requests that end targets and the reader does not. */
function blameFor({ kernel }: BoxParts, reader?: BoxStatus): BlameMessage | undefined {
  const word = kernel.find(crashBlameName).tell(reader?.blameFollowed ?? 0);
  return word.records.length > 0 ? word : undefined;
}

/** What this box knows of targets' limits and the reader does not. */
function limitsFor({ kernel }: BoxParts, reader?: BoxStatus): TargetLimitMessage | undefined {
  const word = kernel.find(targetLimitsName).tell(reader?.limitsFollowed ?? 0);
  return word.records.length > 0 ? word : undefined;
}

/** Creates the source; it finds its services when the first heartbeat is made. */
export function createHeartbeatSource(
  parts: BoxParts,
  followed: () => FollowedReport | undefined,
): HeartbeatSource {
  const { kernel, demand } = parts;
  const report = createReportMaker(parts);
  let beat = 0;

  const status = (reader?: BoxStatus): BoxStatus => {
    const feed = kernel.find(desiredFeedName);
    const lease = kernel.find(orderLeaseName);
    const known = lease.known();
    // Demand and load are most of a status, and of use only to boxes that give orders or hear all.
    const toHolder = reader !== undefined && reader.incarnation === known?.holder;
    const toAll = kernel.find(peersName).mesh();
    beat += 1;
    return {
      ...ownProfile(parts),
      beat,
      reachesStore: feed.reachesStore(),
      configurationVersion: feed.inForce()?.configuration.version ?? -1,
      targetsEnd: feed.targetsEnd(),
      loads: toAll || toHolder ? ownLoads(kernel.find(fleetName)) : {},
      demand: toHolder ? recentDemand(demand.read()) : [],
      lease: known,
      ordersForMs: lease.ordersForMs(),
      followed: followed(),
      limitsFollowed: reader && kernel.find(targetLimitsName).followed(reader.incarnation),
      blameFollowed: reader && kernel.find(crashBlameName).followed(reader.incarnation),
    };
  };

  return {
    resting: () =>
      !parts.activity.takesRequests() && kernel.find(orderLeaseName).epoch() === undefined,
    holder: () => kernel.find(orderLeaseName).known()?.holder,
    message(reader, sightings): Heartbeat {
      const gives = kernel.find(orderLeaseName).epoch() !== undefined;
      return {
        status: status(reader),
        sightings,
        report: gives ? report(reader) : undefined,
        targets: reader && targetsFor(parts, reader),
        blame: blameFor(parts, reader),
        limits: limitsFor(parts, reader),
      };
    },
  };
}
