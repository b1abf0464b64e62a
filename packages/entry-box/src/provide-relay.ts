/** The way to targets by other boxes while this box is cut off, and this box as a relay for others. */
import {
  type BoxProfile,
  type RelayDialler,
  createRelayDialler,
  peersName,
} from "@linkfall/box-peers";
import { fleetName } from "@linkfall/fleet";
import { type Random, serviceName } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import { createExchangeOpener, isListening } from "@linkfall/raw-exchange";
import {
  createRelay,
  createTargetPaths,
  type Relay,
  type RelayBox,
  type TargetLookup,
  type TargetPaths,
} from "@linkfall/relayed-exchange";
import { targetReachName } from "@linkfall/target-reach";
import type { BoxRuntime } from "./box-runtime.js";
import { listenProbeTimeoutMs } from "./listen-probe.js";

export const relayDiallerName = serviceName<RelayDialler>("relay-dialler");

/** Whether the box sends requests to targets for boxes that do not reach them. */
export const canRelay = ({ relays, ready, leaving }: BoxProfile) =>
  relays === true && ready && !leaving;

/** Orders boxes at random: strained ones last, and those of this box's failure domain before others. */
function spread(boxes: readonly BoxProfile[], domain: string, random: Random): readonly RelayBox[] {
  const keyed = boxes.map((box) => ({
    box,
    rank: 2 * Number(box.strained) + Number(box.domain !== domain),
    key: random.nextFloat(),
  }));
  keyed.sort((a, b) => a.rank - b.rank || a.key - b.key);
  return keyed.map(({ box }) => box);
}

/** Registers the connections to relays. */
export function provideRelayDialler({ kernel, ports }: BoxRuntime): void {
  const dialler = createRelayDialler(ports.clock);
  kernel.provide(relayDiallerName, dialler, {
    stop() {
      dialler.close();
      return Promise.resolve();
    },
  });
}

/** Creates the paths of this box's requests to targets. */
export function createPaths({ kernel, ports, settings }: BoxRuntime): TargetPaths {
  const { clock, random, logger } = ports;
  const metrics = kernel.find(metricsName);
  return createTargetPaths({
    clock,
    reach: kernel.find(targetReachName),
    openDirect: createExchangeOpener(clock, ports.connectToTarget),
    relays() {
      const candidates = kernel.find(peersName).alive().filter(canRelay);
      return spread(candidates, settings.box.domain, random);
    },
    dial: ({ peerAddress }) => kernel.find(relayDiallerName).dial(peerAddress),
    onRelayedEnd({ box }, target, failure) {
      const end = failure === undefined ? "complete" : (failure.cause ?? "target");
      const help = "Sends by way of another box, by result.";
      metrics.count("linkfall_relayed_sends_total", help, { end });
      if (failure === undefined) return;
      const { reason, mayHaveArrived } = failure;
      logger.event("relayedSendFailed", { via: box, target, end, reason, mayHaveArrived });
    },
  });
}

function lookUp({ kernel }: BoxRuntime, id: string, born?: number): TargetLookup {
  const fleet = kernel.find(fleetName);
  const target = fleet.find(id);
  const declined = (reason: string) => ({ kind: "declined", reason }) as const;
  if (target === undefined || target.unlistedAt !== undefined)
    return declined("the relay does not know the target");
  if ((target.born ?? 0) > (born ?? Infinity)) return declined("the target has restarted");
  if (target.listed.leaving) return declined("the target is leaving");
  if (fleet.restRemainingMs(target) > 0) return declined("the target rests");
  return { kind: "address", address: target.listed.address };
}

/** Creates the relay for other boxes. */
export function createOwnRelay(runtime: BoxRuntime): Relay {
  const { kernel, ports, shutdown } = runtime;
  const { clock } = ports;
  const reach = kernel.find(targetReachName);
  const metrics = kernel.find(metricsName);
  return createRelay({
    clock,
    reach,
    openDirect: createExchangeOpener(clock, ports.connectToTarget),
    relays: () => reach.reachesTargets() && !shutdown.hasBegun(),
    find: (target, born) => lookUp(runtime, target, born),
    refusesConnections: async (address) =>
      (await isListening(clock, address, listenProbeTimeoutMs, ports.connectToTarget)) ===
      "refuses",
    onEnd: (end) =>
      metrics.count(
        "linkfall_relayed_exchanges_total",
        "Exchanges with targets that this box opened for other boxes, by result.",
        { end },
      ),
  });
}
