/** Selects the boxes that read desired state from the store: all in a small deployment, a few in a large one. */
import { peersName } from "@linkfall/box-peers";
import type { FeedPeers } from "@linkfall/desired-feed";
import { orderLeaseName } from "@linkfall/order-lease";
import type { Milliseconds } from "@linkfall/types";
import { createReaderChoice } from "./box-ranking.js";
import type { BoxRuntime } from "./box-runtime.js";

const minDecisionIntervalMs: Milliseconds = 100;

export function createStoreReaders({
  kernel,
  settings,
  ports,
  incarnation,
}: BoxRuntime): FeedPeers {
  const chooseReaders = createReaderChoice();
  let decidedAt = -Infinity;
  let reads = true;

  const decide = (): boolean => {
    const peers = kernel.find(peersName);
    if (peers.isFullMesh()) return true;
    if (kernel.find(orderLeaseName).observedLease()?.holder === incarnation) return true;
    const readers = peers.statuses().filter((status) => status.reading);
    if (readers.length === 0) return true;
    // A reader that cannot reach the store is replaced by the next one in rank.
    const failing = new Set(readers.filter((reader) => !reader.reachesStore).map(({ box }) => box));
    const { name, domain, processor_share, processor_speed } = settings.box;
    const eligible = peers.alive().filter((peer) => !peer.leaving && !failing.has(peer.box));
    const self = { box: name, domain, capacity: processor_share * processor_speed };
    return chooseReaders([self, ...eligible], settings.store.readers).includes(name);
  };

  return {
    readsStore() {
      const now = ports.clock.now();
      if (now - decidedAt < minDecisionIntervalMs) return reads;
      decidedAt = now;
      reads = decide();
      return reads;
    },
    anyReaderReachesStore: () =>
      kernel
        .find(peersName)
        .statuses()
        .some((status) => status.reading && status.reachesStore),
  };
}
