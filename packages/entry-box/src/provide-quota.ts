/** Limits of client accounts: which boxes allocate for an account, and what this one may do alone. */
import { type AccountQuota, createAccountQuota } from "@linkfall/account-quota";
import { type BoxProfile, peersName } from "@linkfall/box-peers";
import { serviceName } from "@linkfall/kernel";
import { rankNodes } from "@linkfall/rendezvous";
import type { Milliseconds } from "@linkfall/types";
import type { BoxParts } from "./box-parts.js";
import { createConnectionCheck } from "./connected.js";
import { strongFrom } from "./entries.js";
import type { HolderKnowledge } from "./heartbeat-receiver.js";
import { ownProfile } from "./own-profile.js";

export const accountQuotaName = serviceName<AccountQuota>("account-quota");

/** Part of a limit that strong boxes share while they are cut off; the others have the rest. */
const strongPart = 0.75;
/** Part of a box that does not know most others yet: what is one of several strong ones. */
const unknownPart = 0.1;
/** Who is silent changes within seconds; parts are worked out at most this often. */
const partsMs: Milliseconds = 100;

type PartOwner = Pick<BoxProfile, "capacity" | "peerAddress">;

function capacityOf(boxes: readonly PartOwner[]): number {
  return boxes.reduce((sum, { capacity }) => sum + capacity, 0);
}

/**
 * Peer addresses of the boxes that may allocate for an account, the first to be asked first: strong boxes that
 * are not leaving, ranked by hash, so that boxes that know the same others ask the same one.
 */
export function rankAllocators(account: string, boxes: readonly BoxProfile[]): readonly string[] {
  const from = strongFrom(boxes);
  const able = boxes.filter((box) => box.capacity >= from && !box.leaving);
  return rankNodes(
    account,
    able.map((box) => box.peerAddress),
  );
}

/**
 * Parts of each limit that are the boxes' own while they are cut off, by peer address; they add up to one. Callers
 * are sent to strong boxes first, so that these have most of it.
 */
export function partsOf(boxes: readonly PartOwner[]): ReadonlyMap<string, number> {
  const from = strongFrom(boxes);
  const strong = boxes.filter((box) => box.capacity >= from);
  const weak = boxes.filter((box) => box.capacity < from);
  const ofStrong = weak.length === 0 ? 1 : strongPart;
  const partIn = (box: PartOwner): number => {
    if (strong.includes(box)) return (ofStrong * box.capacity) / capacityOf(strong);
    return ((1 - ofStrong) * box.capacity) / capacityOf(weak);
  };
  return new Map(boxes.map((box) => [box.peerAddress, partIn(box)]));
}

interface Parts {
  readonly own: number;
  /** Of boxes that are taken for silent, without those that leave by plan. */
  readonly silent: number;
}

function partsNow(parts: BoxParts): Parts {
  const peers = parts.kernel.find(peersName);
  const own = ownProfile(parts);
  const known = peers.sightings();
  const all = partsOf([own, ...known]);
  const partIn = (box: PartOwner) => all.get(box.peerAddress) ?? 0;
  const silent = known.filter((box) => box.silent && !box.leaving);
  return {
    own: (known.length + 1) * 2 > peers.most() ? partIn(own) : unknownPart,
    silent: silent.reduce((sum, box) => sum + partIn(box), 0),
  };
}

export function provideQuota(parts: BoxParts, knowledge: HolderKnowledge): AccountQuota {
  const { kernel, settings, ports, peerClient } = parts;
  const { accounts, box } = settings;
  const peers = kernel.find(peersName);
  const inSight = (): readonly BoxProfile[] => [ownProfile(parts), ...peers.alive()];

  let worked: Parts = { own: unknownPart, silent: 0 };
  let workedAt = -Infinity;
  const current = (): Parts => {
    const now = ports.clock.now();
    if (now - workedAt < partsMs) return worked;
    workedAt = now;
    worked = partsNow(parts);
    return worked;
  };

  const quota = createAccountQuota(
    ports.clock,
    {
      self: box.peer_address,
      allocators: (account) => rankAllocators(account, inSight()),
      ask: (address, ask) => peerClient.quota(address, ask),
      connected: createConnectionCheck(parts, knowledge),
      onAlone: (account) => ports.logger.event("quotaAlone", { account }),
      ownPart: () => current().own,
      silentPart: () => current().silent,
    },
    {
      windowSeconds: accounts.window_s,
      overage: accounts.overage,
      slack: accounts.slack,
    },
  );
  return kernel.provide(accountQuotaName, quota);
}
