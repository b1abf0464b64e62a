/** The judgement whether this box has lost its links to all targets, and what follows from it. */
import { peersName } from "@linkfall/box-peers";
import { fleetName } from "@linkfall/fleet";
import { metricsName } from "@linkfall/metrics";
import { isListening } from "@linkfall/raw-exchange";
import {
  type CheckedTarget,
  createTargetReach,
  type TargetReach,
  targetReachName,
} from "@linkfall/target-reach";
import type { Milliseconds } from "@linkfall/types";
import { canRelay } from "./provide-relay.js";
import type { BoxRuntime } from "./box-runtime.js";
import { createPeerNotifier } from "./peer-notifier.js";

/** Callers' connections have a longer limit; a check only has to tell one link that works from none. */
const checkTimeoutMs: Milliseconds = 250;
/** Time after a connection was established for which no other sign makes this box check its links. */
export const verifiedForMs: Milliseconds = 1_000;
/** Maximum time by which the fleet may have recorded a failed connection before the judgement did. */
const recordingMarginMs: Milliseconds = 50;

function checkedTargets({ kernel }: BoxRuntime): readonly CheckedTarget[] {
  return kernel
    .find(fleetName)
    .all()
    .filter(({ unlistedAt, listed }) => unlistedAt === undefined && !listed.leaving)
    .map(({ listed }) => listed);
}

function relayingBoxes({ kernel }: BoxRuntime): readonly string[] {
  const alive = kernel.find(peersName).alive();
  return alive.filter(canRelay).map(({ box }) => box);
}

/** Registers the judgement, with its gauge; other boxes are told of each change at once. */
export function provideTargetReach(runtime: BoxRuntime): TargetReach {
  const { kernel, ports } = runtime;
  const reach = createTargetReach(kernel, {
    targets: () => checkedTargets(runtime),
    isListening: (address) =>
      isListening(ports.clock, address, checkTimeoutMs, ports.connectToTarget),
    relayingBoxes: () => relayingBoxes(runtime),
  });
  reach.onReachChange(createPeerNotifier(runtime));
  // The failures of a cut box's links say nothing about the targets, neither during the cut nor after it.
  reach.onChange((_, since) =>
    kernel.find(fleetName).forgetConnectFailures(since - recordingMarginMs),
  );
  kernel
    .find(metricsName)
    .gauge(
      "linkfall_cut_off_from_targets",
      "1 while this box reaches no target although another box does.",
      () => (reach.isCutOff() ? 1 : 0),
    );
  return kernel.provide(targetReachName, reach, { stop: reach.stop });
}

/** Judges again on news of other boxes; a box that reaches no target makes this one check its own links. */
export function followReachOfOthers({ kernel }: BoxRuntime): void {
  const reach = kernel.find(targetReachName);
  kernel.find(peersName).onHeartbeat(({ status }) => {
    reach.reassess();
    if (status.relays === false && status.ready && !status.leaving)
      void reach.verify(verifiedForMs);
  });
}
