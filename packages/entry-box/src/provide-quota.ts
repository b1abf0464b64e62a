/** Rate limits of client accounts: the boxes that allocate them, and the share of this box while it is isolated. */
import { type AccountQuota, createAccountQuota } from "@linkfall/account-quota";
import { serviceName } from "@linkfall/kernel";
import { currentAllocators } from "./allocators.js";
import type { BoxRuntime } from "./box-runtime.js";
import { createConnectionCheck } from "./connection-check.js";
import type { LeaseHolderView } from "./heartbeat-receiver.js";
import { createLimitShares } from "./limit-shares.js";

export const accountQuotaName = serviceName<AccountQuota>("account-quota");

const shareDigits = 3;
const rounded = (share: number) => Number(share.toFixed(shareDigits));

/** Registers the rate limits of client accounts. */
export function provideAccountQuota(
  runtime: BoxRuntime,
  holderView: LeaseHolderView,
): AccountQuota {
  const { kernel, settings, ports, peerClient } = runtime;
  const { accounts, box } = settings;
  const limitShares = createLimitShares(runtime);

  const quota = createAccountQuota(
    ports.clock,
    {
      self: box.peer_address,
      allocators: (account) => currentAllocators(runtime, account),
      sendRequest: (address, ask) => peerClient.quota(address, ask),
      connected: createConnectionCheck(runtime, holderView),
      onIsolatedDecision: (account, granted, part) =>
        ports.logger.event("quotaAlone", { account, granted, part: rounded(part) }),
      onExhausted: (allotted) =>
        ports.logger.event("quotaShort", { ...allotted, part: rounded(allotted.part) }),
      ownShare: () => limitShares().own,
      silentShare: () => limitShares().silent,
    },
    {
      windowSeconds: accounts.window_s,
      overage: accounts.overage,
      slack: accounts.slack,
    },
  );
  return kernel.provide(accountQuotaName, quota);
}
