/** Services that give orders to engines: the lease and what it allows. */
import { type Peers, peersName } from "@linkfall/box-peers";
import { desiredFeedName } from "@linkfall/desired-feed";
import { fleetName } from "@linkfall/fleet";
import { sumDemand } from "@linkfall/model-demand";
import {
  createOrderLease,
  type LeasePeers,
  type OrderLease,
  orderLeaseName,
} from "@linkfall/order-lease";
import { rankNodes } from "@linkfall/rendezvous";
import { createOrderGiver, type OrderGiver, orderGiverName } from "@linkfall/weight-orders";
import type { BoxParts } from "./box-parts.js";

const leaseKey = "orders";

/** What the lease has to know of the other boxes. */
function leasePeers({ kernel, settings }: BoxParts, peers: Peers): LeasePeers {
  const feed = kernel.find(desiredFeedName);
  return {
    heardMs: peers.heardMs,
    ordersForMs: (holder) => peers.find(holder)?.ordersForMs ?? 0,
    leaving: (holder) => peers.find(holder)?.leaving ?? false,
    rank() {
      const serving = peers.heard().filter(({ word }) => word.ready);
      const names = [settings.box.name, ...serving.map(({ word }) => word.box)];
      return rankNodes(leaseKey, names).indexOf(settings.box.name);
    },
    allWithoutStore() {
      const heard = peers.heard();
      if (feed.reachesStore() || heard.length * 2 < peers.most()) return false;
      return heard.every(({ word }) => !word.reachesStore);
    },
  };
}

export function provideLease(parts: BoxParts): OrderLease {
  const { kernel, settings, ports, incarnation } = parts;
  const peers = leasePeers(parts, kernel.find(peersName));
  const lease = createOrderLease(kernel, incarnation, ports.leaseStream, peers, {
    enginesFence: settings.lease.engines_fence,
    leaseMs: settings.lease.lease_ms,
    silentMs: settings.lease.silent_ms,
    rankStepMs: settings.lease.rank_step_ms,
    checkMs: settings.lease.check_ms,
  });
  return kernel.provide(orderLeaseName, lease, lease);
}

export function provideGiver({ kernel, settings, ports, demand }: BoxParts): OrderGiver {
  const { placement } = settings;
  const fleet = kernel.find(fleetName);
  const feed = kernel.find(desiredFeedName);
  const peers = kernel.find(peersName);
  const giver: OrderGiver = createOrderGiver(kernel, {
    self: settings.box.name,
    fleet,
    engines: ports.engines,
    lease: kernel.find(orderLeaseName),
    configuration: () => feed.inForce()?.configuration,
    demand: () => sumDemand([demand.read(), ...peers.heard().map(({ word }) => word.demand)]),
    announce() {
      fleet.withhold(giver.withheld());
      peers.tell();
    },
    rules: {
      plan: { inFlightOfReplica: placement.in_flight_of_replica, horizonMs: placement.horizon_ms },
      stateMs: placement.state_ms,
      busyStateMs: placement.busy_state_ms,
      resendMs: placement.resend_ms,
      giveUpMs: placement.give_up_ms,
    },
  });
  return kernel.provide(orderGiverName, giver, giver);
}
