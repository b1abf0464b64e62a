/** Discovers other boxes through a stream of the store in which each box registers its address. */
import type { BoxAddress, Peers } from "@linkfall/box-peers";
import { type Clock, sleep } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { KeyedStreamPort } from "@linkfall/ports";
import { isEndpoint, type Milliseconds } from "@linkfall/types";

/** Delay after a failed read or write of the registry. */
const retryDelayMs: Milliseconds = 500;
/** Interval between reads of the registry in a full mesh. */
const meshPollIntervalMs: Milliseconds = 15_000;
/** Interval between reads while the lease holder reports all boxes. */
const slowPollIntervalMs: Milliseconds = 60_000;

/** Keys come from other writers; log lines show at most this many characters. */
const maxKeyLength = 64;

/** Returns undefined if the value is not an address. */
function parseAddress(box: string, value: string): BoxAddress | undefined {
  return isEndpoint(value) ? { box, peerAddress: value } : undefined;
}

/** Registers this box and adds the other registered boxes to the peers until `stopped` returns true. */
export async function followRegistry(
  { clock, logger }: { readonly clock: Clock; readonly logger: Logger },
  stream: KeyedStreamPort,
  self: BoxAddress,
  peers: Peers,
  stopped: () => boolean,
): Promise<void> {
  let registered = false;
  let wake = () => undefined as void;
  // The store has come back from an older copy, which may lack this box.
  stream.onNewGeneration(() => {
    registered = false;
    wake();
  });
  const sleepUnlessWoken = (ms: Milliseconds) => {
    const woken = new Promise<void>((resolve) => (wake = resolve));
    return Promise.race([sleep(clock, ms), woken]);
  };
  while (!stopped()) {
    if (!registered) registered = (await stream.put(self.box, self.peerAddress)).isRight();
    const read = await stream.readNewest();
    read.ifRight(({ records }) => {
      for (const { key, value } of records) {
        if (value === undefined) continue;
        const address = parseAddress(key, value);
        if (address) peers.addPeer(address);
        else
          logger.event("badRecord", {
            key: key.slice(0, maxKeyLength),
            problem: "no address",
          });
      }
    });
    const pollIntervalMs = peers.isFullMesh() ? meshPollIntervalMs : slowPollIntervalMs;
    await sleepUnlessWoken(registered && read.isRight() ? pollIntervalMs : retryDelayMs);
  }
}
