/** Finds the other boxes through a stream of the store in which each box leaves its address. */
import type { BoxAddress, Peers } from "@linkfall/box-peers";
import { type Clock, sleep } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { KeyedStreamPort } from "@linkfall/ports";
import { isEndpoint, type Milliseconds } from "@linkfall/types";

/** Pause after the registry could not be read or written. */
const retryDelayMs: Milliseconds = 500;
/** How often the registry is read again, for boxes that nobody has told of. */
const meshPollIntervalMs: Milliseconds = 15_000;
/** The same where one box hears all others and tells of them. */
const hubPollIntervalMs: Milliseconds = 60_000;

/** Other writers may leave records under any key; log lines show no more of it. */
const maxLoggedKeyLength = 64;

/** What another writer left in place of an address is passed over: it names no box to ask. */
function parseAddress(box: string, text: string): BoxAddress | undefined {
  return isEndpoint(text) ? { box, peerAddress: text } : undefined;
}

/** Registers this box, and learns of others until `stopped` tells to end. */
export async function followRegistry(
  { clock, logger }: { readonly clock: Clock; readonly logger: Logger },
  stream: KeyedStreamPort,
  self: BoxAddress,
  peers: Peers,
  stopped: () => boolean,
): Promise<void> {
  let registered = false;
  while (!stopped()) {
    if (!registered) registered = (await stream.put(self.box, self.peerAddress)).isRight();
    const read = await stream.readNewest();
    read.ifRight(({ records }) => {
      for (const { key, value } of records) {
        if (value === undefined) continue;
        const address = parseAddress(key, value);
        if (address) peers.addPeer(address);
        else logger.event("badRecord", { key: key.slice(0, maxLoggedKeyLength), problem: "no address" });
      }
    });
    const againMs = peers.isFullMesh() ? meshPollIntervalMs : hubPollIntervalMs;
    await sleep(clock, registered && read.isRight() ? againMs : retryDelayMs);
  }
}
