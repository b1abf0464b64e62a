/** Whether a box belongs to the better part of all boxes, of which there can be only one. */
import { type Peers, peersName } from "@linkfall/box-peers";
import { orderLeaseName } from "@linkfall/order-lease";
import type { Milliseconds } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";
import type { LeaseHolderView } from "./heartbeat-receiver.js";

/**
 * Silence, as a share of the one that makes a box suspected, after which a box takes itself for cut off: longer than a
 * round of a box that has no callers yet.
 */
const isolationFraction = 0.65;

/** What a box goes by. */
interface PeerContact {
  /** Other boxes that it has heard lately. */
  readonly heard: number;
  /** Time since it heard the holder of the order lease; absent where it knows none, or never heard it. */
  readonly holderHeardMs?: Milliseconds;
}

/** Whether this box itself hears most of the boxes that it ever knew. */
export function reachesMajority(peers: Pick<Peers, "statuses" | "most">): boolean {
  return (peers.statuses().length + 1) * 2 > peers.maxKnownBoxes();
}

function peerContact({ kernel }: BoxRuntime): PeerContact {
  const peers = kernel.find(peersName);
  const lease = kernel.find(orderLeaseName);
  const holder = lease.observedLease()?.holder;
  return {
    heard: peers.statuses().length,
    holderHeardMs: holder === undefined ? undefined : peers.sinceHeartbeatMs(holder),
  };
}

/**
 * Whether this box is connected: it hears most boxes itself, or, where boxes do not all hear each other, the
 * holder of the order lease who does. That is known sooner than who is silent.
 */
function isConnected(peers: Peers, contact: PeerContact, holderHearsMost: boolean): boolean {
  const lateMs = peers.suspicionTimeoutMs() * isolationFraction;
  if (peers.maxKnownBoxes() === 1) return true;
  // Also the holder itself, and who was the holder until now.
  if (reachesMajority(peers) && peers.sinceAnyHeartbeatMs() < lateMs) return true;
  if (peers.isFullMesh()) return false;
  return (contact.holderHeardMs ?? Infinity) < lateMs && holderHearsMost;
}

/** Creates a look at the connection of this box, which logs each change. */
export function createConnectionCheck(
  parts: BoxRuntime,
  knowledge: LeaseHolderView,
): () => boolean {
  let before: boolean | undefined;
  return () => {
    const peers = parts.kernel.find(peersName);
    const contact = peerContact(parts);
    const connected = isConnected(peers, contact, knowledge.reachesMajority);
    if (connected !== before) {
      const { reachesMajority: holderHearsMost } = knowledge;
      const facts = { connected, most: peers.maxKnownBoxes(), ...contact, holderHearsMost };
      parts.ports.logger.event("connectionChanged", facts);
    }
    before = connected;
    return connected;
  };
}
