/** Software versions of targets: those that each service has had, and those that began streams. */
import { peersName } from "@linkfall/box-peers";
import { desiredFeedName } from "@linkfall/desired-feed";
import { fleetName } from "@linkfall/fleet";
import { rankNodes } from "@linkfall/rendezvous";
import type { Milliseconds } from "@linkfall/types";
import {
  createSoftwareVersions,
  type SoftwareVersions,
  softwareVersionsName,
} from "@linkfall/software-versions";
import {
  createStreamVersions,
  defaultKeeperCounts,
  streamLifeMs,
  type StreamKey,
  streamVersionsName,
} from "@linkfall/stream-versions";
import { currentAllocators } from "./allocators.js";
import type { BoxRuntime } from "./box-runtime.js";
import { createConnectionCheck, reachesMajority } from "./connection-check.js";
import type { LeaseHolderView } from "./heartbeat-receiver.js";
import { ownProfile } from "./own-profile.js";

/** Peer addresses of the boxes that keep the version of a stream, in the same order at all boxes with the same members. */
function rankKeepers(runtime: BoxRuntime, key: StreamKey): readonly string[] {
  const boxes = [ownProfile(runtime), ...runtime.kernel.find(peersName).alive()];
  const keepers = boxes.filter(({ keepsStreams, leaving }) => keepsStreams && !leaving);
  return rankNodes(
    key,
    keepers.map(({ peerAddress }) => peerAddress),
  );
}

/** Key by which the boxes that record streams in the store are ranked. */
const recordersKey = "stream recorders";
/** Number of boxes that record, whatever the size of the deployment: each writes a few times a second. */
const recorderCount = 3;

/** Peer addresses of the boxes that may record the stream. */
function rankRecorders(runtime: BoxRuntime, key: StreamKey): readonly string[] {
  return rankNodes(key, rankKeepers(runtime, recordersKey).slice(0, recorderCount));
}

/** Maximum time after its start in which a box waits for the first heartbeat of another one. */
const maxMeetingMs: Milliseconds = 600;

/** Returns a promise that resolves with the first heartbeat of another box, or when there is none in time. */
function meetOthers({ kernel, ports }: BoxRuntime): Promise<void> {
  return new Promise((resolve) => {
    kernel.find(peersName).onHeartbeat(() => resolve());
    ports.clock.after(maxMeetingMs, resolve);
  });
}

/** Reads the list of targets, and the versions of those that have gone from it; resolves with whether both succeeded. */
async function readVersions(
  { kernel }: BoxRuntime,
  softwareVersions: SoftwareVersions,
): Promise<boolean> {
  const reads = [kernel.find(desiredFeedName).catchUpTargets(), softwareVersions.readRecords()];
  return (await Promise.all(reads)).every((isRead) => isRead);
}

/** Registers what this box knows of software versions. */
export function provideStreamVersions(runtime: BoxRuntime, holderView: LeaseHolderView): void {
  const { kernel, settings, ports, peerClient } = runtime;
  const self = settings.box.peer_address;
  const fleet = kernel.find(fleetName);
  const isConnected = createConnectionCheck(runtime, holderView);
  const readsList = () => {
    const feed = kernel.find(desiredFeedName);
    return feed.readsStore() && feed.reachesStore();
  };
  const softwareVersions = createSoftwareVersions({
    clock: ports.clock,
    logger: ports.logger,
    stream: ports.softwareVersionStream,
    lifeMs: streamLifeMs,
    isWriter: (service) => currentAllocators(runtime, `versions of ${service}`)[0] === self,
    hasCurrentList: () => readsList() || isConnected(),
  });
  let metOthers: Promise<void> | undefined;
  const streamVersions = createStreamVersions({
    clock: ports.clock,
    logger: ports.logger,
    log: ports.streamVersionLog,
    boxCount: () => kernel.find(peersName).alive().length + 1,
    keeperCounts: defaultKeeperCounts,
    self,
    hasMetOthers: () => metOthers ?? Promise.resolve(),
    rankKeepers: (key) => rankKeepers(runtime, key),
    rankRecorders: (key) => rankRecorders(runtime, key),
    send: async (address, message) =>
      (await peerClient.streams(address, message)).toMaybe().extract(),
    versionsOf: softwareVersions.versionsOf,
    soleVersion: softwareVersions.soleVersion,
    reachesMajority: () => reachesMajority(kernel.find(peersName)),
    readVersions: () => readVersions(runtime, softwareVersions),
  });
  fleet.onListed((listed) => {
    const hasChanged = softwareVersions.recordListed(listed);
    if (hasChanged) streamVersions.doubtLatest(listed.id, listed.softwareVersion);
  });
  fleet.onIncarnationEnded((id) => {
    if (fleet.find(id) === undefined) softwareVersions.recordGone(id);
  });
  softwareVersions.onFurtherVersion(streamVersions.tellAll);
  kernel.provide(softwareVersionsName, softwareVersions, softwareVersions);
  kernel.provide(streamVersionsName, streamVersions, {
    start: async () => void (metOthers = meetOthers(runtime)),
    stop: async () => undefined,
  });
}
