/** Limits of client accounts: which boxes allocate for an account, and what this one may do alone. */
import { type AccountQuota, createAccountQuota } from "@linkfall/account-quota";
import { type BoxProfile, peersName } from "@linkfall/box-peers";
import { serviceName } from "@linkfall/kernel";
import { rankNodes } from "@linkfall/rendezvous";
import type { BoxParts } from "./box-parts.js";
import { createConnectionCheck } from "./connected.js";
import { strongFrom } from "./entries.js";
import type { HolderKnowledge } from "./heartbeat-receiver.js";
import { createLimitParts } from "./limit-parts.js";
import { ownProfile } from "./own-profile.js";

export const accountQuotaName = serviceName<AccountQuota>("account-quota");

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

const partDigits = 3;
const rounded = (part: number) => Number(part.toFixed(partDigits));

export function provideQuota(parts: BoxParts, knowledge: HolderKnowledge): AccountQuota {
  const { kernel, settings, ports, peerClient } = parts;
  const { accounts, box } = settings;
  const peers = kernel.find(peersName);
  const inSight = (): readonly BoxProfile[] => [ownProfile(parts), ...peers.alive()];

  const limitParts = createLimitParts(parts);

  const quota = createAccountQuota(
    ports.clock,
    {
      self: box.peer_address,
      allocators: (account) => rankAllocators(account, inSight()),
      ask: (address, ask) => peerClient.quota(address, ask),
      connected: createConnectionCheck(parts, knowledge),
      onAlone: (account, granted, part) =>
        ports.logger.event("quotaAlone", { account, granted, part: rounded(part) }),
      onShort: (allotted) =>
        ports.logger.event("quotaShort", { ...allotted, part: rounded(allotted.part) }),
      ownPart: () => limitParts().own,
      silentPart: () => limitParts().silent,
    },
    {
      windowSeconds: accounts.window_s,
      overage: accounts.overage,
      slack: accounts.slack,
    },
  );
  return kernel.provide(accountQuotaName, quota);
}
