/** Detects whether this box is partitioned from the majority of boxes. */
import { type Peers, peersName } from "@linkfall/box-peers";
import { orderLeaseName } from "@linkfall/order-lease";
import type { Milliseconds } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";
import type { LeaseHolderView } from "./heartbeat-receiver.js";

/**
 * Fraction of the suspicion timeout without heartbeats after which a box considers itself isolated. Exceeds the heartbeat
 * interval of boxes without callers.
 */
const isolationFraction = 0.65;

/** Recent contact with other boxes; logged under these names. */
interface PeerContact {
  /** Number of other boxes with a recent heartbeat. */
  readonly heard: number;
  /** Time since the last heartbeat of the lease holder; absent if there is none. */
  readonly holderHeardMs?: Milliseconds;
}

/** Whether this box receives heartbeats from a majority of the boxes it has ever known at once. */
export function reachesMajority(peers: Pick<Peers, "statuses" | "maxKnownBoxes">): boolean {
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
 * Whether this box is connected to the majority: directly, or, outside a full mesh, through a lease holder that
 * is. Detects isolation earlier than the suspicion of single members.
 */
function isConnected(peers: Peers, contact: PeerContact, holderReachesMajority: boolean): boolean {
  const isolationMs = peers.suspicionTimeoutMs() * isolationFraction;
  if (peers.maxKnownBoxes() === 1) return true;
  // Covers the lease holder itself, also one that has just lost the lease.
  if (reachesMajority(peers) && peers.sinceAnyHeartbeatMs() < isolationMs) return true;
  if (peers.isFullMesh()) return false;
  return (contact.holderHeardMs ?? Infinity) < isolationMs && holderReachesMajority;
}

/** Creates a check of this box's connection that logs each change of its result. */
export function createConnectionCheck(
  runtime: BoxRuntime,
  holderView: LeaseHolderView,
): () => boolean {
  let wasConnected: boolean | undefined;
  return () => {
    const peers = runtime.kernel.find(peersName);
    const contact = peerContact(runtime);
    const connected = isConnected(peers, contact, holderView.reachesMajority);
    if (connected !== wasConnected) {
      const { reachesMajority: holderHearsMost } = holderView;
      const facts = { connected, most: peers.maxKnownBoxes(), ...contact, holderHearsMost };
      runtime.ports.logger.event("connectionChanged", facts);
    }
    wasConnected = connected;
    return connected;
  };
}
