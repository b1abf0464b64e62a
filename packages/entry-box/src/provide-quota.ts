/** Limits of client accounts: which boxes allocate for an account, and what this one may do alone. */
import { type AccountQuota, createAccountQuota } from "@linkfall/account-quota";
import { type BoxProfile, peersName } from "@linkfall/box-peers";
import { serviceName } from "@linkfall/kernel";
import { rankNodes } from "@linkfall/rendezvous";
import type { BoxParts } from "./box-parts.js";
import { strongFrom } from "./entries.js";
import { ownProfile } from "./own-profile.js";

export const accountQuotaName = serviceName<AccountQuota>("account-quota");

type Carrier = Pick<BoxProfile, "capacity">;

function capacityOf(boxes: readonly Carrier[]): number {
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
 * This box's part of what all boxes that were ever known can carry. Boxes of which nothing is known but their
 * address count like the others in the mean.
 *
 * @param others boxes of which more is known
 * @param most boxes that were known at once, this one included
 */
export function partOf(own: Carrier, others: readonly Carrier[], most: number): number {
  const known = [own, ...others];
  const whole = capacityOf(known) * (Math.max(most, known.length) / known.length);
  return own.capacity / whole;
}

export function provideQuota(parts: BoxParts): AccountQuota {
  const { kernel, settings, ports, peerClient } = parts;
  const { accounts, box } = settings;
  const peers = kernel.find(peersName);
  const inSight = (): readonly BoxProfile[] => [ownProfile(parts), ...peers.alive()];

  const quota = createAccountQuota(
    ports.clock,
    {
      self: box.peer_address,
      allocators: (account) => rankAllocators(account, inSight()),
      ask: (address, ask) => peerClient.quota(address, ask),
      silentMs: peers.silentMs,
      onAlone: (account) => ports.logger.event("quotaAlone", { account }),
      ownPart: () => partOf(ownProfile(parts), peers.sightings(), peers.most()),
    },
    {
      windowSeconds: accounts.window_s,
      overage: accounts.overage,
      slack: accounts.slack,
    },
  );
  return kernel.provide(accountQuotaName, quota);
}
