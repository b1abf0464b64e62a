/** Services that hold a box's view of targets, configuration and other boxes. */
import { createPeers, type HeartbeatSource, type Peers, peersName } from "@linkfall/box-peers";
import { createDesiredFeed, type DesiredFeed, desiredFeedName } from "@linkfall/desired-feed";
import { createEngineSpeeds, engineSpeedsName } from "@linkfall/engine-speed";
import { createFleet, type Fleet, fleetName } from "@linkfall/fleet";
import { repeatEvery } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";
import { createLoggedCapacities } from "./logged-capacities.js";
import { createPeerNotifier } from "./peer-notifier.js";
import { createStoreReaders } from "./store-readers.js";
import { fragileTargetsName } from "./provide-fragile-targets.js";

/**
 * Fraction of the time by which all boxes must have received a target change that is spent on batching reads of the
 * store; the rest is left for propagation. Targets change several times per second, so this determines the read rate.
 */
const batchingFraction = 0.3;
const lapseCheckIntervalMs: Milliseconds = 250;

/** Registers this box's view of the targets. */
export function provideFleet(runtime: BoxRuntime): Fleet {
  const { kernel, settings } = runtime;
  const { store, targets } = settings;
  const fleet = createFleet(kernel, {
    lapse: {
      graceMs: targets.lapse_grace_ms,
      minShare: targets.lapse_share,
      returnMs: store.settle_ms,
    },
    ejection: {
      consecutiveFailures: targets.failures_in_a_row,
      initialMs: targets.first_ejection_ms,
      maxMs: targets.longest_ejection_ms,
    },
  });
  const notifyPeers = createPeerNotifier(runtime);
  fleet.leavingTargets.onNotice((_, source) => {
    if (source === "target") notifyPeers();
  });
  return kernel.provide(fleetName, fleet);
}

/** Registers the speeds of engines; without `targets.learn_engine_speeds` nothing is recorded, so that all are alike. */
export function provideEngineSpeeds(runtime: BoxRuntime): void {
  runtime.kernel.provide(engineSpeedsName, createEngineSpeeds(createLoggedCapacities(runtime)));
}

/** Registers the feed of configuration and targets, and the periodic expiry of lapsed targets. */
export function provideFeed(runtime: BoxRuntime, fleet: Fleet): DesiredFeed {
  const { kernel, settings, ports } = runtime;
  const { store, targets } = settings;
  ports.targetStream.onNewGeneration((generation) => {
    ports.logger.event("storeWentBack", { generation });
    kernel
      .find(metricsName)
      .count("linkfall_store_went_back_total", "Returns of the store from an older copy.");
  });
  const feed = createDesiredFeed(kernel, {
    configurationStream: ports.configurationStream,
    targetStream: ports.targetStream,
    codec: ports.records,
    fleet,
    peers: createStoreReaders(runtime),
    times: {
      maxWaitMs: store.wait_ms,
      coalesceMs: 0,
      initialRetryPauseMs: store.first_pause_ms,
      maxRetryPauseMs: store.longest_pause_ms,
    },
    coalesceTargetsMs: store.gather_targets_ms ?? targets.leaving_ms * batchingFraction,
    configurationKey: ports.configurationKey,
    settleMs: store.settle_ms,
  });
  const fragileTargets = kernel.find(fragileTargetsName);
  const lapses = repeatEvery(ports.clock, ports.random, lapseCheckIntervalMs, () => {
    fleet.expireMissing(feed.isListSettled());
    if (feed.ready()) fragileTargets.expire((id) => fleet.find(id) === undefined);
  });
  kernel.provide({ name: "lapses" }, undefined, lapses);
  return kernel.provide(desiredFeedName, feed, feed);
}

/** Registers the membership of other boxes. */
export function providePeers(
  { kernel, settings, peerClient }: BoxRuntime,
  source: HeartbeatSource,
): Peers {
  const peers = createPeers(kernel, peerClient, source, {
    selfAddress: settings.box.peer_address,
    minRoundIntervalMs: settings.peers.round_ms,
    roundIntervalPerBoxMs: settings.peers.round_per_box_ms,
    baseSuspicionTimeoutMs: settings.peers.suspect_ms,
    removeAfterMs: settings.peers.forget_ms,
    holderReportTtlMs: settings.peers.vouched_ms,
    maxFullMeshPeers: settings.peers.fanout,
    searchFanout: settings.peers.search_fanout,
    randomPartnerPeriod: settings.peers.random_every,
    maxSightings: settings.peers.sightings,
  });
  return kernel.provide(peersName, peers, peers);
}
