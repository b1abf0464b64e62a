/** Limits that targets name: what this box has heard of them, and who hands out their permits. */
import { fleetName } from "@linkfall/fleet";
import { serviceName } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import { createTargetLimits, type LimitChange, type TargetLimits } from "@linkfall/target-limits";
import { currentAllocators } from "./allocators.js";
import type { BoxRuntime } from "./box-runtime.js";
import { countBoxesWithCallers } from "./boxes-with-callers.js";
import { createConnectionCheck } from "./connected.js";
import type { LeaseHolderView } from "./heartbeat-receiver.js";
import { createLimitShares } from "./limit-parts.js";
import { createPeerNotifier } from "./tell-others.js";

export const targetLimitsName = serviceName<TargetLimits>("target-limits");

function logChange({ ports }: BoxRuntime, { target, perSecond, source }: LimitChange): void {
  if (perSecond === undefined) ports.logger.event("targetLimitEnded", { target, source });
  else ports.logger.event("targetLimited", { target, perSecond, source });
}

export function provideTargetLimits(parts: BoxRuntime, knowledge: LeaseHolderView): TargetLimits {
  const { kernel, settings, ports, peerClient } = parts;
  const fleet = kernel.find(fleetName);
  const limitParts = createLimitShares(parts);
  const limits = createTargetLimits(
    ports.clock,
    {
      self: settings.box.peer_address,
      allocators: (target) => currentAllocators(parts, target),
      sendRequest: (address, ask) => peerClient.permit(address, ask),
      connected: createConnectionCheck(parts, knowledge),
      ownShare: () => limitParts().own,
      silentShare: () => limitParts().silent,
      boxCount: () => countBoxesWithCallers(parts),
    },
    (target) => fleet.find(target)?.born,
  );
  fleet.onIncarnationEnded(limits.forget);
  const tell = createPeerNotifier(parts);
  limits.onChange((change) => {
    logChange(parts, change);
    tell();
  });
  kernel
    .find(metricsName)
    .gauge(
      "linkfall_limited_targets",
      "Targets that have named the requests a second that they take.",
      () => limits.limited().length,
    );
  return kernel.provide(targetLimitsName, limits);
}
