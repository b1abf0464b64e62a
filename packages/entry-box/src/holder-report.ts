/** Builds the lease holder's report for one other box: the changes since the last report that it processed. */
import {
  type BoxStatus,
  createChangeTracker,
  type EngineHoldings,
  type ReportPosition,
  type LeaseHolderReport,
  peersName,
  type Sighting,
} from "@linkfall/box-peers";
import { engineSpeedsName } from "@linkfall/engine-speed";
import { fleetName, type TargetLoad } from "@linkfall/fleet";
import type { CapacityMessage } from "@linkfall/target-capacity";
import type { Milliseconds } from "@linkfall/types";
import { orderDispatcherName } from "@linkfall/weight-orders";
import { type LoadByTarget, ownLoads, sumLoads, subtractLoads } from "./box-loads.js";
import type { BoxRuntime } from "./box-runtime.js";
import { reachesMajority } from "./connection-check.js";

/** Builds the report for one box; `recipient` is undefined for a box that has not sent a heartbeat yet. */
export type ReportBuilder = (recipient?: BoxStatus) => LeaseHolderReport;

/** Minimum interval between refreshes of members and loads, independent of the number of boxes. */
const minRefreshIntervalMs: Milliseconds = 50;

function isSameEngine(left: EngineHoldings, right: EngineHoldings): boolean {
  return left.holdings === right.holdings;
}

/** Fields of a sighting that may change; the others are constant for one incarnation. */
const mutableFields: readonly (keyof Sighting)[] = [
  "incarnation",
  "ready",
  "leaving",
  "strained",
  "takesRequests",
  "reading",
  "relays",
  "silent",
];

/** Whether two sightings differ at most in their age. */
function isSameMember(left: Sighting, right: Sighting): boolean {
  return mutableFields.every((field) => left[field] === right[field]);
}

const hasRecords = ({ targets, kinds }: CapacityMessage): boolean =>
  targets.length > 0 || kinds.length > 0;

/** Creates a builder of reports; it tracks changes across all recipients. */
export function createReportBuilder({
  kernel,
  ports,
  incarnation,
  settings,
}: BoxRuntime): ReportBuilder {
  const engines = createChangeTracker(isSameEngine);
  const members = createChangeTracker(isSameMember);
  const speeds = kernel.find(engineSpeedsName);
  const self = settings.box.name;
  /** Engines at the latest refresh; their holdings are replaced as a whole when they change. */
  let knownEngines: readonly EngineHoldings[] = [];
  let lastRefreshAt = -Infinity;
  let totalLoads: ReadonlyMap<string, TargetLoad> = new Map();

  const refreshEngines = () => {
    const polled = kernel
      .find(fleetName)
      .all()
      .filter(({ state }) => state !== undefined);
    const isUnchanged =
      polled.length === knownEngines.length &&
      polled.every(({ listed, holdings }, index) => {
        const known = knownEngines[index];
        return holdings === known.holdings && listed.id === known.id;
      });
    if (isUnchanged) return;
    knownEngines = polled.map(({ listed, holdings }) => ({ id: listed.id, holdings }));
    engines.update(new Map(knownEngines.map((engine) => [engine.id, engine])));
  };
  const refreshBoxes = () => {
    const now = ports.clock.now();
    if (now - lastRefreshAt < minRefreshIntervalMs) return;
    lastRefreshAt = now;
    const peers = kernel.find(peersName);
    members.update(new Map(peers.sightings().map((sighting) => [sighting.box, sighting])));
    const loads = peers.statuses().map((status) => status.loads);
    totalLoads = sumLoads([ownLoads(kernel.find(fleetName)), ...loads]);
  };

  /** Members and loads for a recipient that is not part of a full mesh. */
  const memberChangesFor = (
    known: ReportPosition | undefined,
    recipient?: BoxStatus,
  ): { members?: readonly Sighting[]; othersLoads?: LoadByTarget } => {
    if (kernel.find(peersName).isFullMesh()) return {};
    refreshBoxes();
    const changed = members.changedAfter(known?.members ?? 0);
    if (!recipient?.takesRequests) return { members: changed };
    return { members: changed, othersLoads: subtractLoads(totalLoads, recipient.loads) };
  };

  /** The recipient's newest heartbeat if loads have been planned since it arrived, else 0. */
  const plannedBeatOf = (recipient?: BoxStatus): number => {
    if (!recipient) return 0;
    const sinceHeartbeatMs = kernel.find(peersName).sinceHeartbeatMs(recipient.incarnation) ?? 0;
    const receivedAt = ports.clock.now() - sinceHeartbeatMs;
    return receivedAt <= kernel.find(orderDispatcherName).decidedAt() ? recipient.beat : 0;
  };

  return (recipient) => {
    const dispatcher = kernel.find(orderDispatcherName);
    const followed = recipient?.followed;
    const known = followed?.holder === incarnation ? followed : undefined;
    refreshEngines();
    speeds.merge(self, speeds.takeObservations());
    const speedChanges = speeds.recordsSince(known?.speeds ?? 0);
    const memberChanges = memberChangesFor(known, recipient);
    return {
      engines: engines.changedAfter(known?.engines ?? 0),
      ...memberChanges,
      followed: {
        holder: incarnation,
        engines: engines.latestNumber(),
        members: members.latestNumber(),
        speeds: speedChanges.sequence > 0 ? speedChanges.sequence : undefined,
      },
      speeds: hasRecords(speedChanges) ? speedChanges : undefined,
      hearsMost: reachesMajority(kernel.find(peersName)),
      withheld: Object.fromEntries(dispatcher.pendingEvictions()),
      expected: dispatcher.timesToReady(),
      plannedBeat: plannedBeatOf(recipient),
    };
  };
}
