/** Services that send load and unload orders to engines, under the order lease. */
import { type BoxProfile, type Peers, peersName } from "@linkfall/box-peers";
import { desiredFeedName } from "@linkfall/desired-feed";
import { engineSpeedsName } from "@linkfall/engine-speed";
import { fleetName } from "@linkfall/fleet";
import { sumDemand } from "@linkfall/model-demand";
import {
  createOrderLease,
  type LeasePeers,
  type OrderLease,
  orderLeaseName,
} from "@linkfall/order-lease";
import { targetReachName } from "@linkfall/target-reach";
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
import { verifiedForMs } from "./provide-reach.js";
import { ownProfile } from "./own-profile.js";

/** A box of an earlier version does not say whether it reaches targets. */
const reachesTargets = ({ relays }: BoxProfile) => relays !== false;

function partition<T>(list: readonly T[], matches: (item: T) => boolean): readonly [T[], T[]] {
  return [list.filter(matches), list.filter((item) => !matches(item))];
}

/** The view of other boxes that the order lease depends on. */
function leasePeers(runtime: BoxRuntime, peers: Peers): LeasePeers {
  const { kernel, settings, incarnation } = runtime;
  const feed = kernel.find(desiredFeedName);
  return {
    sinceLastMessageMs: peers.sinceHeartbeatMs,
    countHeardWithin: peers.countHeardWithin,
    maxKnownBoxes: peers.maxKnownBoxes,
    isOwnEarlierIncarnation: (holder) =>
      holder !== incarnation && boxOf(holder) === settings.box.name,
    remainingLeaseMs: (holder) => peers.findStatus(holder)?.ordersForMs ?? 0,
    reachesStore: (holder) => peers.findStatus(holder)?.reachesStore ?? true,
    announceClaim: () => peers.sendHeartbeats(() => true),
    isLeaving: (holder) => peers.findStatus(holder)?.leaving ?? false,
    rank() {
      const serving = peers.alive().filter((box) => box.ready);
      const [relaying, others] = partition([ownProfile(runtime), ...serving], reachesTargets);
      return [...rankBoxes(relaying), ...rankBoxes(others)].indexOf(settings.box.name);
    },
    isCutOffFromEngines: kernel.find(targetReachName).isCutOff,
    isStoreDownForAll() {
      const statuses = peers.statuses();
      if (feed.reachesStore() || statuses.length * 2 < peers.maxKnownBoxes()) return false;
      return statuses.every((status) => !status.reachesStore);
    },
  };
}

/** Registers the lease that permits one box at a time to send orders. */
export function provideOrderLease(runtime: BoxRuntime): OrderLease {
  const { kernel, settings, ports, incarnation } = runtime;
  const peers = leasePeers(runtime, kernel.find(peersName));
  const lease = createOrderLease(kernel, incarnation, ports.leaseStream, peers, {
    enginesFence: settings.lease.engines_fence,
    leaseMs: settings.lease.lease_ms,
    holderTimeoutMs: settings.lease.silent_ms,
    rankStepMs: settings.lease.rank_step_ms,
    checkMs: settings.lease.check_ms,
  });
  return kernel.provide(orderLeaseName, lease, lease);
}

/** Registers the service that sends orders to engines while this box holds the lease. */
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
  const reach = kernel.find(targetReachName);
  const dispatcher: OrderDispatcher = createOrderDispatcher(kernel, {
    self: settings.box.name,
    fleet,
    engines: ports.engines,
    lease: kernel.find(orderLeaseName),
    configuration: () => feed.activeConfiguration()?.configuration,
    demand: () => sumDemand([demand.read(), ...peers.statuses().map((status) => status.demand)]),
    maxRequestsPerSecond: targetLimits.limitOf,
    relativeSpeed: kernel.find(engineSpeedsName).relativeSpeed,
    onLimitReported: (target, notice) =>
      targetLimits.recordAnswer({ target, notice, sentMsAgo: 0, served: false }),
    onEngineUnreachable(target, { reason, mayHaveArrived }) {
      if (!mayHaveArrived) reach.recordConnectFailure(target, reason);
      // An open connection that is lost or silent says nothing about new ones.
      else void reach.verify(verifiedForMs);
    },
    notifyPeers() {
      fleet.setWithheldModels(dispatcher.pendingEvictions());
      // In a large deployment the other boxes receive it in their next heartbeat round.
      if (peers.isFullMesh()) peers.sendHeartbeats();
      else peers.sendHeartbeats((member) => hasWaitingRequests(member.status));
    },
    rules: {
      plan: {
        targetReplicaLoad: placement.load_of_replica,
        horizonMs: placement.horizon_ms,
        refusalWeight: placement.refusal_weight,
        initialReplicaCostMs: placement.initial_replica_ms,
      },
      pollIntervalMs: placement.state_ms,
      activePollIntervalMs: placement.busy_state_ms,
      resendAfterMs: placement.resend_ms,
      moveTimeoutMs: placement.give_up_ms,
    },
  });
  return kernel.provide(orderDispatcherName, dispatcher, dispatcher);
}
