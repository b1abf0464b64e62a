/** Services that hold what a box believes: targets, configuration, other boxes. */
import { createPeers, type Peers, peersName } from "@linkfall/box-peers";
import { createDesiredFeed, type DesiredFeed, desiredFeedName } from "@linkfall/desired-feed";
import { createFleet, type Fleet, fleetName } from "@linkfall/fleet";
import { repeatEvery } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { BoxParts } from "./box-parts.js";
import type { WordMaker } from "./word-maker.js";

const lapseCheckMs: Milliseconds = 250;

export function provideFleet({ kernel, settings }: BoxParts): Fleet {
  const { targets } = settings;
  const fleet = createFleet(kernel, {
    lapse: { graceMs: targets.lapse_grace_ms, share: targets.lapse_share },
    ejection: {
      failuresInARow: targets.failures_in_a_row,
      firstMs: targets.first_ejection_ms,
      longestMs: targets.longest_ejection_ms,
    },
  });
  return kernel.provide(fleetName, fleet);
}

export function provideFeed({ kernel, settings, ports }: BoxParts, fleet: Fleet): DesiredFeed {
  const { store } = settings;
  const feed = createDesiredFeed(kernel, {
    configurationStream: ports.configurationStream,
    targetStream: ports.targetStream,
    codec: ports.records,
    fleet,
    times: {
      waitMs: store.wait_ms,
      gatherMs: 0,
      firstPauseMs: store.first_pause_ms,
      longestPauseMs: store.longest_pause_ms,
    },
    gatherTargetsMs: store.gather_targets_ms,
    configurationKey: ports.configurationKey,
    settleMs: store.settle_ms,
  });
  const lapses = repeatEvery(ports.clock, ports.random, lapseCheckMs, () =>
    fleet.expireLapsed(feed.storeDisturbed()),
  );
  kernel.provide({ name: "lapses" }, undefined, lapses);
  return kernel.provide(desiredFeedName, feed, feed);
}

export function providePeers({ kernel, settings, wordClient }: BoxParts, word: WordMaker): Peers {
  const peers = createPeers(kernel, wordClient, word, {
    selfAddress: settings.box.peer_address,
    roundMs: settings.peers.round_ms,
    suspectMs: settings.peers.suspect_ms,
    forgetMs: settings.peers.forget_ms,
    fanout: settings.peers.fanout,
  });
  return kernel.provide(peersName, peers, peers);
}
