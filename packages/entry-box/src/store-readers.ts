/** Which boxes read desired state from the store: all of a small deployment, a few of a large one. */
import { peersName } from "@linkfall/box-peers";
import type { FeedPeers } from "@linkfall/desired-feed";
import { orderLeaseName } from "@linkfall/order-lease";
import type { Milliseconds } from "@linkfall/types";
import { chooseReaders } from "./box-ranking.js";
import type { BoxRuntime } from "./box-runtime.js";

/** The decision is taken at most this often. */
const minDecisionIntervalMs: Milliseconds = 100;

export function createStoreReaders({
  kernel,
  settings,
  ports,
  incarnation,
}: BoxRuntime): FeedPeers {
  let decidedAt = -Infinity;
  let reads = true;

  const decide = (): boolean => {
    const peers = kernel.find(peersName);
    if (peers.isFullMesh()) return true;
    if (kernel.find(orderLeaseName).observedLease()?.holder === incarnation) return true;
    const readers = peers.statuses().filter((status) => status.reading);
    if (readers.length === 0) return true;
    // A reader that the store refuses is no use to the others: the next one takes its place.
    const failing = new Set(readers.filter((one) => !one.reachesStore).map(({ box }) => box));
    const { name, domain, processor_share, processor_speed } = settings.box;
    const able = peers.alive().filter((one) => !one.leaving && !failing.has(one.box));
    const self = { box: name, domain, capacity: processor_share * processor_speed };
    return chooseReaders([self, ...able], settings.store.readers).includes(name);
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
