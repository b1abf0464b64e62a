/** Rate limits announced by targets, and the allocation of their permits among boxes. */
import { fleetName } from "@linkfall/fleet";
import { serviceName } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import { createTargetLimits, type LimitChange, type TargetLimits } from "@linkfall/target-limits";
import { currentAllocators } from "./allocators.js";
import type { BoxRuntime } from "./box-runtime.js";
import { countBoxesWithCallers } from "./boxes-with-callers.js";
import { createConnectionCheck } from "./connection-check.js";
import type { LeaseHolderView } from "./heartbeat-receiver.js";
import { createLimitShares } from "./limit-shares.js";
import { createPeerNotifier } from "./peer-notifier.js";

export const targetLimitsName = serviceName<TargetLimits>("target-limits");

function logChange({ ports }: BoxRuntime, { target, perSecond, source }: LimitChange): void {
  if (perSecond === undefined) ports.logger.event("targetLimitEnded", { target, source });
  else ports.logger.event("targetLimited", { target, perSecond, source });
}

/** Registers the rate limits of targets, with logging of changes and a metric. */
export function provideTargetLimits(
  runtime: BoxRuntime,
  holderView: LeaseHolderView,
): TargetLimits {
  const { kernel, settings, ports, peerClient } = runtime;
  const fleet = kernel.find(fleetName);
  const limitShares = createLimitShares(runtime);
  const limits = createTargetLimits(
    ports.clock,
    {
      self: settings.box.peer_address,
      allocators: (target) => currentAllocators(runtime, target),
      sendRequest: (address, ask) => peerClient.permit(address, ask),
      connected: createConnectionCheck(runtime, holderView),
      ownShare: () => limitShares().own,
      silentShare: () => limitShares().silent,
      boxCount: () => countBoxesWithCallers(runtime),
    },
    (target) => fleet.find(target)?.born,
  );
  fleet.onIncarnationEnded(limits.forget);
  const notifyPeers = createPeerNotifier(runtime);
  limits.onChange((change) => {
    logChange(runtime, change);
    notifyPeers();
  });
  kernel
    .find(metricsName)
    .gauge(
      "linkfall_limited_targets",
      "Targets that have announced a limit of requests per second.",
      () => limits.limited().length,
    );
  return kernel.provide(targetLimitsName, limits);
}
