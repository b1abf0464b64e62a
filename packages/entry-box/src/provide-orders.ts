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
import { boxOf } from "@linkfall/types";
import {
  createOrderDispatcher,
  type OrderDispatcher,
  orderDispatcherName,
} from "@linkfall/weight-orders";
import { hasWaitingRequests } from "./box-loads.js";
import type { BoxRuntime } from "./box-runtime.js";
import { targetLimitsName } from "./provide-limits.js";
import { rankBoxes } from "./box-ranking.js";
import { ownProfile } from "./own-profile.js";

/** What the lease has to know of the other boxes. */
function leasePeers(parts: BoxRuntime, peers: Peers): LeasePeers {
  const { kernel, settings, incarnation } = parts;
  const feed = kernel.find(desiredFeedName);
  return {
    sinceLastMessageMs: peers.sinceHeartbeatMs,
    isOwnEarlierIncarnation: (holder) =>
      holder !== incarnation && boxOf(holder) === settings.box.name,
    remainingLeaseMs: (holder) => peers.findStatus(holder)?.ordersForMs ?? 0,
    announceClaim: () => peers.sendHeartbeats(() => true),
    isLeaving: (holder) => peers.findStatus(holder)?.leaving ?? false,
    rank() {
      const serving = peers.alive().filter((box) => box.ready);
      return rankBoxes([ownProfile(parts), ...serving]).indexOf(settings.box.name);
    },
    isStoreDownForAll() {
      const heard = peers.statuses();
      if (feed.reachesStore() || heard.length * 2 < peers.maxKnownBoxes()) return false;
      return heard.every((status) => !status.reachesStore);
    },
  };
}

export function provideOrderLease(parts: BoxRuntime): OrderLease {
  const { kernel, settings, ports, incarnation } = parts;
  const peers = leasePeers(parts, kernel.find(peersName));
  const lease = createOrderLease(kernel, incarnation, ports.leaseStream, peers, {
    enginesFence: settings.lease.engines_fence,
    leaseMs: settings.lease.lease_ms,
    holderTimeoutMs: settings.lease.silent_ms,
    rankStepMs: settings.lease.rank_step_ms,
    checkMs: settings.lease.check_ms,
  });
  return kernel.provide(orderLeaseName, lease, lease);
}

export function provideOrderDispatcher({
  kernel,
  settings,
  ports,
  demand,
}: BoxRuntime): OrderDispatcher {
  const { placement } = settings;
  const fleet = kernel.find(fleetName);
  const feed = kernel.find(desiredFeedName);
  const peers = kernel.find(peersName);
  const targetLimits = kernel.find(targetLimitsName);
  const giver: OrderDispatcher = createOrderDispatcher(kernel, {
    self: settings.box.name,
    fleet,
    engines: ports.engines,
    lease: kernel.find(orderLeaseName),
    configuration: () => feed.activeConfiguration()?.configuration,
    demand: () => sumDemand([demand.read(), ...peers.statuses().map((status) => status.demand)]),
    maxRequestsPerSecond: targetLimits.limitOf,
    onLimitReported: (target, notice) =>
      targetLimits.recordAnswer({ target, notice, sentMsAgo: 0, served: false }),
    notifyPeers() {
      fleet.setWithheldModels(giver.pendingEvictions());
      // In a large deployment all others hear of it in their next round.
      if (peers.isFullMesh()) peers.sendHeartbeats();
      else peers.sendHeartbeats((member) => hasWaitingRequests(member.status));
    },
    rules: {
      plan: { targetReplicaLoad: placement.load_of_replica, horizonMs: placement.horizon_ms },
      pollIntervalMs: placement.state_ms,
      activePollIntervalMs: placement.busy_state_ms,
      resendAfterMs: placement.resend_ms,
      moveTimeoutMs: placement.give_up_ms,
    },
  });
  return kernel.provide(orderDispatcherName, giver, giver);
}
