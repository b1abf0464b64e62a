/** Takes the words of other boxes: their load, their copies of desired state, what the order giver knows. */
import { type BoxWord, type Peers, peersName, type TakenWord } from "@linkfall/box-peers";
import { desiredFeedName } from "@linkfall/desired-feed";
import { fleetName } from "@linkfall/fleet";
import type { ChangeWaiter } from "@linkfall/forwarding";
import type { Wanted } from "@linkfall/model-demand";
import { orderLeaseName } from "@linkfall/order-lease";
import type { Milliseconds } from "@linkfall/types";
import { orderGiverName } from "@linkfall/weight-orders";
import type { BoxParts } from "./box-parts.js";
import { hasWaiting, othersLoads, takeHolderWord } from "./box-word.js";

export interface WordTaker {
  /** Time until weights are expected to be there, as the order giver told. */
  expectedWeightsMs(wanted: Wanted): Milliseconds | undefined;
}

/** What was taken of the order giver's words. */
export interface HolderKnowledge {
  taken?: TakenWord;
  /** When models are expected, by `service model`, on this box's clock. */
  expectedAt: ReadonlyMap<string, Milliseconds>;
}

/** Whether the order giver was heard lately enough for its word to count more than the list. */
function trustsHolder({ kernel, settings }: BoxParts, peers: Peers): boolean {
  const lease = kernel.find(orderLeaseName);
  if (lease.epoch() !== undefined) return true;
  const holder = lease.known()?.holder;
  const heardMs = holder === undefined ? undefined : peers.heardMs(holder);
  return heardMs !== undefined && heardMs < settings.peers.suspect_ms;
}

/** Begins to take words. */
export function takeWords(
  parts: BoxParts,
  knowledge: HolderKnowledge,
  waiter: ChangeWaiter,
): WordTaker {
  const { kernel, ports, wordClient } = parts;
  const { clock } = ports;
  const fleet = kernel.find(fleetName);
  const feed = kernel.find(desiredFeedName);
  const peers = kernel.find(peersName);
  const lease = kernel.find(orderLeaseName);
  const giver = kernel.find(orderGiverName);
  fleet.trustOwnWord(() => trustsHolder(parts, peers));

  /** Asks a box that is ahead for its copy of desired state. */
  const catchUp = async (other: BoxWord) => {
    const version = feed.inForce()?.configuration.version ?? -1;
    const behind = other.configurationVersion > version || other.targetsEnd > feed.targetsEnd();
    if (behind) (await wordClient.desired(other.peerAddress)).ifRight(feed.takeCopy);
  };

  const takeHolder = (other: BoxWord) => {
    if (!other.holder || lease.known()?.holder !== other.incarnation) return;
    takeHolderWord(fleet, other.holder);
    knowledge.taken = { holder: other.incarnation, version: other.holder.version };
    const pairs = Object.entries(other.holder.expected);
    knowledge.expectedAt = new Map(pairs.map(([key, ms]) => [key, clock.now() + ms]));
    waiter.wake();
  };

  peers.onWord((other) => {
    if (other.lease) lease.hear(other.lease);
    fleet.takeOthers(othersLoads(peers.heard()));
    void catchUp(other);
    takeHolder(other);
    if (hasWaiting(other) && lease.epoch() !== undefined) giver.hurry();
  });

  return {
    expectedWeightsMs({ service, model }) {
      const key = `${service} ${model}`;
      if (lease.epoch() !== undefined) return giver.expected()[key];
      const at = knowledge.expectedAt.get(key);
      return at === undefined ? undefined : Math.max(0, at - clock.now());
    },
  };
}
