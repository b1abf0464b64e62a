/** What the holder of the order lease tells one other box: what changed since that box's last report. */
import {
  type BoxStatus,
  createChangeTracker,
  type EngineHoldings,
  type ReportPosition,
  type LeaseHolderReport,
  peersName,
  type Sighting,
} from "@linkfall/box-peers";
import { fleetName, type TargetLoad } from "@linkfall/fleet";
import type { Milliseconds } from "@linkfall/types";
import { orderDispatcherName } from "@linkfall/weight-orders";
import { type LoadByTarget, ownLoads, sumLoads, subtractLoads } from "./box-loads.js";
import type { BoxRuntime } from "./box-runtime.js";
import { reachesMajority } from "./connected.js";

export type ReportBuilder = (reader?: BoxStatus) => LeaseHolderReport;

/** Members and loads are brought up to date at most this often, however many boxes ask. */
const minRefreshIntervalMs: Milliseconds = 50;

function isSameEngine(left: EngineHoldings, right: EngineHoldings): boolean {
  return left.holdings === right.holdings;
}

/** What may change of a box under one incarnation. */
const mutableFields: readonly (keyof Sighting)[] = [
  "incarnation",
  "ready",
  "leaving",
  "strained",
  "takesRequests",
  "reading",
  "silent",
];

/** Whether a box looks as before, but for the age of what is known. */
function isSameMember(left: Sighting, right: Sighting): boolean {
  return mutableFields.every((field) => left[field] === right[field]);
}

export function createReportBuilder({ kernel, ports, incarnation }: BoxRuntime): ReportBuilder {
  const engines = createChangeTracker(isSameEngine);
  const members = createChangeTracker(isSameMember);
  let refreshedAt = -Infinity;
  let sums: ReadonlyMap<string, TargetLoad> = new Map();

  const refreshEngines = () => {
    const fleet = kernel.find(fleetName);
    const asked = fleet.all().filter(({ state }) => state !== undefined);
    const pairs = asked.map(({ listed, holdings }) => [listed.id, { id: listed.id, holdings }]);
    engines.update(new Map(pairs as [string, EngineHoldings][]));
  };
  const refreshBoxes = () => {
    const now = ports.clock.now();
    if (now - refreshedAt < minRefreshIntervalMs) return;
    refreshedAt = now;
    const peers = kernel.find(peersName);
    members.update(new Map(peers.sightings().map((sighting) => [sighting.box, sighting])));
    const loads = peers.statuses().map((status) => status.loads);
    sums = sumLoads([ownLoads(kernel.find(fleetName)), ...loads]);
  };

  /** What a box that does not hear all others is told beside. */
  const ofBoxes = (
    known: ReportPosition | undefined,
    reader?: BoxStatus,
  ): { members?: readonly Sighting[]; othersLoads?: LoadByTarget } => {
    if (kernel.find(peersName).isFullMesh()) return {};
    refreshBoxes();
    const changed = members.changedAfter(known?.members ?? 0);
    if (!reader?.takesRequests) return { members: changed };
    return { members: changed, othersLoads: subtractLoads(sums, reader.loads) };
  };

  return (reader) => {
    const giver = kernel.find(orderDispatcherName);
    const followed = reader?.followed;
    const known = followed?.holder === incarnation ? followed : undefined;
    refreshEngines();
    const boxes = ofBoxes(known, reader);
    return {
      engines: engines.changedAfter(known?.engines ?? 0),
      ...boxes,
      followed: {
        holder: incarnation,
        engines: engines.latestNumber(),
        members: members.latestNumber(),
      },
      hearsMost: reachesMajority(kernel.find(peersName)),
      withheld: Object.fromEntries(giver.pendingEvictions()),
      expected: giver.timesToReady(),
    };
  };
}
