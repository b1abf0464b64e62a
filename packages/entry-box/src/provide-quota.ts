/** Limits of client accounts: which boxes allocate for an account, and what this one may do alone. */
import { type AccountQuota, createAccountQuota } from "@linkfall/account-quota";
import { serviceName } from "@linkfall/kernel";
import { currentAllocators } from "./allocators.js";
import type { BoxRuntime } from "./box-runtime.js";
import { createConnectionCheck } from "./connected.js";
import type { LeaseHolderView } from "./heartbeat-receiver.js";
import { createLimitShares } from "./limit-parts.js";

export const accountQuotaName = serviceName<AccountQuota>("account-quota");

const partDigits = 3;
const rounded = (part: number) => Number(part.toFixed(partDigits));

export function provideAccountQuota(parts: BoxRuntime, knowledge: LeaseHolderView): AccountQuota {
  const { kernel, settings, ports, peerClient } = parts;
  const { accounts, box } = settings;
  const limitParts = createLimitShares(parts);

  const quota = createAccountQuota(
    ports.clock,
    {
      self: box.peer_address,
      allocators: (account) => currentAllocators(parts, account),
      sendRequest: (address, ask) => peerClient.quota(address, ask),
      connected: createConnectionCheck(parts, knowledge),
      onIsolatedDecision: (account, granted, part) =>
        ports.logger.event("quotaAlone", { account, granted, part: rounded(part) }),
      onExhausted: (allotted) =>
        ports.logger.event("quotaShort", { ...allotted, part: rounded(allotted.part) }),
      ownShare: () => limitParts().own,
      silentShare: () => limitParts().silent,
    },
    {
      windowSeconds: accounts.window_s,
      overage: accounts.overage,
      slack: accounts.slack,
    },
  );
  return kernel.provide(accountQuotaName, quota);
}
