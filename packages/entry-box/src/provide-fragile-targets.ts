/** Targets that crash beyond so many rejections a second, and the allocation of their places among boxes. */
import { fleetName } from "@linkfall/fleet";
import { createFragileTargets, type FragileTargets } from "@linkfall/fragile-targets";
import { serviceName } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import type { LimitChange } from "@linkfall/target-limits";
import { currentAllocators } from "./allocators.js";
import type { BoxRuntime } from "./box-runtime.js";
import { createConnectionCheck } from "./connection-check.js";
import type { LeaseHolderView } from "./heartbeat-receiver.js";
import { createLimitShares } from "./limit-shares.js";
import { createPeerNotifier } from "./peer-notifier.js";

export const fragileTargetsName = serviceName<FragileTargets>("fragile-targets");

function logChange(
  { kernel, ports }: BoxRuntime,
  { target, perSecond, source }: LimitChange,
): void {
  const born = kernel.find(fleetName).find(target)?.born;
  if (perSecond === undefined) ports.logger.event("targetFragileEnded", { target, born, source });
  else ports.logger.event("targetFragile", { target, born, perSecond, source });
}

/** Registers the fragile targets, with logging of changes and a metric. */
export function provideFragileTargets(
  runtime: BoxRuntime,
  holderView: LeaseHolderView,
): FragileTargets {
  const { kernel, settings, ports, peerClient } = runtime;
  const limitShares = createLimitShares(runtime);
  const fragileTargets = createFragileTargets(ports.clock, ports.random, {
    self: settings.box.peer_address,
    allocators: (target) => currentAllocators(runtime, target),
    sendRequest: (address, ask) => peerClient.place(address, ask),
    connected: createConnectionCheck(runtime, holderView),
    ownShare: () => limitShares().own,
  });
  kernel.find(fleetName).onIncarnationEnded(fragileTargets.restart);
  const notifyPeers = createPeerNotifier(runtime);
  fragileTargets.onChange((change) => {
    logChange(runtime, change);
    notifyPeers();
  });
  kernel
    .find(metricsName)
    .gauge(
      "linkfall_fragile_targets",
      "Targets that have said that they crash beyond so many rejections per second.",
      () => fragileTargets.limited().length,
    );
  return kernel.provide(fragileTargetsName, fragileTargets);
}
