/** Whether a box belongs to the better part of all boxes, of which there can be only one. */
import { orderLeaseName } from "@linkfall/order-lease";
import { type Peers, peersName } from "@linkfall/box-peers";
import type { BoxParts } from "./box-parts.js";
import type { HolderKnowledge } from "./heartbeat-receiver.js";

/** Silence, as a share of the one that makes a box suspected, after which a box takes itself for cut off. */
const cutOffShare = 0.5;

/** Whether this box itself hears most of the boxes that it ever knew. */
export function hearsMost(peers: Pick<Peers, "statuses" | "most">): boolean {
  return (peers.statuses().length + 1) * 2 > peers.most();
}

/**
 * Whether this box is connected: it hears most boxes itself, or, where boxes do not all hear each other, the
 * holder of the order lease who does. That is known sooner than who is silent.
 */
export function isConnected({ kernel }: BoxParts, knowledge: HolderKnowledge): boolean {
  const peers = kernel.find(peersName);
  const lease = kernel.find(orderLeaseName);
  const lateMs = peers.suspectMs() * cutOffShare;
  if (peers.most() === 1) return true;
  if (peers.mesh()) return hearsMost(peers) && peers.silentMs() < lateMs;
  if (lease.epoch() !== undefined) return hearsMost(peers);
  const holder = lease.known()?.holder;
  const heardMs = holder === undefined ? undefined : peers.heardMs(holder);
  return heardMs !== undefined && heardMs < lateMs && knowledge.hearsMost;
}
