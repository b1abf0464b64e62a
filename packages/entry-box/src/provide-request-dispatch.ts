/** Dispatch of requests: the boxes that grant places at targets, what they know of each other, logs and metrics. */
import { type BoxProfile, peersName } from "@linkfall/box-peers";
import {
  type AdoptedLoad,
  createDispatchQueue,
  type DispatchRequest,
} from "@linkfall/dispatch-queue";
import { fleetName } from "@linkfall/fleet";
import { serviceName } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import {
  createRequestDispatch,
  type DispatchObserver,
  type DispatchOutcome,
  type RequestDispatch,
  requestDispatchName,
} from "@linkfall/request-dispatch";
import type { Candidate, LoadData } from "@linkfall/target-choice";
import type { Milliseconds } from "@linkfall/types";
import { rankAllocators } from "./allocators.js";
import type { BoxRuntime } from "./box-runtime.js";
import type { TargetCapacities } from "@linkfall/target-capacity";
import { createLoggedCapacities } from "./logged-capacities.js";
import { createConnectionCheck } from "./connection-check.js";
import type { LeaseHolderView } from "./heartbeat-receiver.js";
import { ownProfile } from "./own-profile.js";

export const targetCapacitiesName = serviceName<TargetCapacities>("target-capacities");

/** Rejections are logged at most this often, with their counts. */
const rejectionLogIntervalMs: Milliseconds = 1_000;

/** Peer addresses of the boxes that may dispatch a service, in the same order at all boxes with the same members. */
function rankDispatchers(runtime: BoxRuntime, service: string): readonly string[] {
  const boxes: readonly BoxProfile[] = [
    ownProfile(runtime),
    ...runtime.kernel.find(peersName).alive(),
  ];
  return rankAllocators(
    `dispatch ${service}`,
    boxes.filter(({ dispatches, ready }) => dispatches && ready),
  );
}

/** Loads of the service's targets by all boxes, from heartbeats and of this box itself. */
function currentLoads({ kernel }: BoxRuntime, service: string): ReadonlyMap<string, AdoptedLoad> {
  const targets = kernel.find(fleetName).all();
  const loads = targets
    .filter(({ listed }) => listed.service === service)
    .map(({ listed, ownLoad: own, otherBoxesLoad: others }) => {
      const inFlight = own.inFlight + others.inFlight;
      return [
        listed.id,
        { inFlight, promptTokens: own.promptTokens + others.promptTokens },
      ] as const;
    });
  return new Map(loads.filter(([, { inFlight }]) => inFlight > 0));
}

/** Weights by account, from settings of the form `name:weight`. */
function accountWeights({ settings }: BoxRuntime): ReadonlyMap<string, number> {
  const entries = settings.dispatch.account_weights.map((entry) => entry.split(":"));
  return new Map(entries.map(([name, weight]) => [name, Number(weight)] as const));
}

/** Logs rejections with their counts by service and reason, at most once per interval. */
function createRejectionLog({ ports }: BoxRuntime): (service: string, reason: string) => void {
  const counts = new Map<string, number>();
  const write = () => {
    for (const [key, count] of counts) {
      const [service, reason] = key.split("\n");
      ports.logger.event("dispatchRejected", { service, reason, count });
    }
    counts.clear();
  };
  return (service, reason) => {
    const key = `${service}\n${reason}`;
    if (counts.size === 0) ports.clock.after(rejectionLogIntervalMs, write);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  };
}

function createObserver(runtime: BoxRuntime): DispatchObserver {
  const { kernel, ports } = runtime;
  const metrics = kernel.find(metricsName);
  const logRejection = createRejectionLog(runtime);
  return {
    onOutcome({ service }: DispatchRequest, outcome: DispatchOutcome, waitedMs) {
      const reason = outcome.kind === "rejected" ? outcome.reason : "";
      metrics.count(
        "linkfall_dispatch_asks_total",
        "Requests that asked a dispatcher for a place, by outcome; with `unavailable` the box chose a target alone.",
        { service, outcome: outcome.kind, reason },
      );
      metrics.observe(
        "linkfall_dispatch_wait_ms",
        "Time that requests waited for the decision of a dispatcher.",
        Math.round(waitedMs),
      );
      if (outcome.kind === "rejected") logRejection(service, outcome.reason);
    },
    onDispatcherLost: (peer, reason) => ports.logger.event("dispatcherLost", { peer, reason }),
    onDispatcherFound: (peer) => ports.logger.event("dispatcherFound", { peer }),
    onTookOver: (service) => ports.logger.event("dispatchTookOver", { service }),
  };
}

/**
 * Age and capacities for a box that chooses targets alone. In a full mesh, the loads of the other boxes are half a round old on
 * average; else they come by way of the lease holder, with two rounds.
 */
export function createSampledLoadData({ kernel, settings }: BoxRuntime): () => LoadData {
  const capacities = kernel.find(targetCapacitiesName);
  const { round_ms: roundMs, round_per_box_ms: perBoxMs } = settings.peers;
  const usefulConcurrency = ({ id, slots }: Candidate) => capacities.usefulConcurrency(id, slots);
  return () => {
    const peers = kernel.find(peersName);
    const intervalMs = Math.max(roundMs, perBoxMs * peers.maxKnownBoxes());
    const meanAgeMs = peers.isFullMesh() ? intervalMs / 2 : intervalMs;
    return { ageMs: meanAgeMs + peers.sinceAnyHeartbeatMs(), usefulConcurrency };
  };
}

/** Registers the dispatch of requests; with its settings off, it sends nothing and is asked nothing. */
export function provideRequestDispatch(
  runtime: BoxRuntime,
  holderView: LeaseHolderView,
): RequestDispatch {
  const { kernel, settings, ports, peerClient, incarnation } = runtime;
  const { plain_services: plainServices, engines, hold_ms, ask_ms } = settings.dispatch;
  const rules = { accountWeights: accountWeights(runtime) };
  const capacities = kernel.provide(targetCapacitiesName, createLoggedCapacities(runtime));
  const dispatch = createRequestDispatch(
    ports.clock,
    {
      self: incarnation,
      selfAddress: settings.box.peer_address,
      dispatchers: (service) => rankDispatchers(runtime, service),
      send: (address, message) => peerClient.dispatch(address, message),
      connected: createConnectionCheck(runtime, holderView),
      isAlive: (box) =>
        kernel
          .find(peersName)
          .alive()
          .some((peer) => peer.incarnation === box),
      heldUpMs: ports.heldUpMs ?? (() => 0),
      loads: (service) => currentLoads(runtime, service),
    },
    {
      holdMs: hold_ms,
      askMs: ask_ms,
      isActive: ({ engine }) => (engine ? engines : plainServices),
      capacities,
      createQueue: () => createDispatchQueue(ports.clock, ports.random, capacities, rules),
    },
    createObserver(runtime),
  );
  const metrics = kernel.find(metricsName);
  const total = (read: "waiting" | "inFlight") =>
    [...dispatch.summaries().values()].reduce((sum, summary) => sum + summary[read], 0);
  metrics.gauge(
    "linkfall_dispatch_waiting",
    "Requests of all boxes that wait for a place that this box grants.",
    () => total("waiting"),
  );
  metrics.gauge(
    "linkfall_dispatch_places_granted",
    "Places that this box has granted and whose requests have not ended.",
    () => total("inFlight"),
  );
  return kernel.provide(requestDispatchName, dispatch);
}
