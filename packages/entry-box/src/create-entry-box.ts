/** Wires the services of a box that forwards opaque requests. */
import { createPeerServer, peersName } from "@linkfall/box-peers";
import { crashBlameName } from "@linkfall/crash-blame";
import { type DesiredFeed, desiredFeedName } from "@linkfall/desired-feed";
import type { EntrySettings } from "@linkfall/entry-settings";
import { metricsName } from "@linkfall/metrics";
import { orderLeaseName } from "@linkfall/order-lease";
import type { HeldRequest, LimitedTarget, Milliseconds } from "@linkfall/types";
import { createAcceptQueueMonitor } from "./accept-watch.js";
import { type BoxRuntime, createBoxRuntime } from "./box-runtime.js";
import { createBoundedLabel } from "./bounded-label.js";
import type { EntryBoxPorts } from "./box-ports.js";
import { chooseEntries, type EntryCandidate } from "./entries.js";
import { createFleetWaiter, createForwardContext } from "./forward-context.js";
import { createFront, type Front } from "./front.js";
import { registerGauges } from "./gauges.js";
import { handleRequest } from "./handle-request.js";
import { heldStoreName, provideCrashBlame } from "./provide-blame.js";
import { provideTargetLimits, targetLimitsName } from "./provide-limits.js";
import { provideOrderDispatcher, provideOrderLease } from "./provide-orders.js";
import { accountQuotaName, provideAccountQuota } from "./provide-quota.js";
import { provideFeed, provideFleet, providePeers } from "./provide-state.js";
import { followRegistry } from "./box-registry.js";
import { createHeartbeatSource } from "./heartbeat-source.js";
import { type LeaseHolderView, receiveHeartbeats } from "./heartbeat-receiver.js";
import { ownProfile } from "./own-profile.js";
import { createSettingsUpdater, addSeeds } from "./settings-update.js";

/** Addresses that callers may use now. */
export interface EntryAddresses {
  readonly addresses: readonly string[];
  readonly lifetimeMs: Milliseconds;
}

export interface EntryBox {
  start(): Promise<void>;
  /** Planned stop; resolves when nothing depends on the process any more. */
  drain(): Promise<void>;
  /** Takes settings that were read while the box runs: new seeds at once, the rest from its next start on. */
  applySettings(read: EntrySettings): void;
  ready(): boolean;
  /** Addresses for a caller in the given failure domain. */
  entries(domain?: string): EntryAddresses;
  metricsText(): string;
  /** Requests that are held back since targets ended under them. */
  heldRequests(): readonly HeldRequest[];
  /** Targets whose limits hold, as this box knows them. */
  limitedTargets(): readonly LimitedTarget[];
  /** Lets a request through again, at every box; false where it is not held back. */
  releaseRequest(fingerprint: string): boolean;
}

/** Accounts that have a series of their own in metrics. */
const maxAccountLabels = 64;
const readyPollIntervalMs: Milliseconds = 100;

/** Services in the order in which they need each other; returns where callers connect. */
function provideServices(parts: BoxRuntime): Front {
  const { kernel, settings, ports, shutdown: stop } = parts;
  const knowledge: LeaseHolderView = { reachesMajority: false, weightsExpectedAt: new Map() };
  const fleet = provideFleet(parts);
  provideCrashBlame(parts);
  provideTargetLimits(parts, knowledge);
  const feed = provideFeed(parts, fleet);
  providePeers(
    parts,
    createHeartbeatSource(parts, () => knowledge.followed),
  );
  provideOrderLease(parts);
  provideOrderDispatcher(parts);
  const waiter = createFleetWaiter(parts);
  const forward = createForwardContext(parts, waiter, receiveHeartbeats(parts, knowledge, waiter));
  const metrics = kernel.find(metricsName);
  const quota = provideAccountQuota(parts, knowledge);
  const accountLabel = createBoundedLabel(maxAccountLabels);
  const ready = () => feed.ready() && kernel.find(heldStoreName).ready();
  const context = { ready, feed, codec: ports.requests, forward, quota, metrics, accountLabel };
  return createFront({
    address: settings.box.front_address,
    maxHeaderBytes: settings.callers.max_header_bytes,
    now: ports.clock.now,
    onConnection: createAcceptQueueMonitor({ ...ports, metrics }).connectionAccepted,
    limits: () => feed.activeConfiguration()?.configuration.limits,
    isClosing: stop.hasBegun,
    handle(request) {
      parts.activity.recordRequest();
      return handleRequest(context, request);
    },
  });
}

/** Boxes that take callers now, as this box hears them. */
function servingBoxes(parts: BoxRuntime): readonly EntryCandidate[] {
  const profiles = [ownProfile(parts), ...parts.kernel.find(peersName).alive()];
  return profiles
    .filter(({ ready, leaving }) => ready && !leaving)
    .map(({ frontAddress, ...profile }) => ({ ...profile, address: frontAddress }));
}

/** Logs when the box serves, and tells the others at once. */
function announceReady({ kernel, ports }: BoxRuntime, feed: DesiredFeed): void {
  const { clock, logger } = ports;
  const startedAt = clock.now();
  const check = () => {
    if (!feed.ready()) return void clock.after(readyPollIntervalMs, check);
    const version = feed.activeConfiguration()?.configuration.version;
    logger.event("boxReady", { afterMs: Math.round(clock.now() - startedAt), version });
    kernel.find(peersName).sendHeartbeats();
  };
  check();
}

/** Creates a box; it does nothing before it is started. */
export function createEntryBox(settings: EntrySettings, ports: EntryBoxPorts): EntryBox {
  const parts = createBoxRuntime(settings, ports);
  const { kernel, incarnation, shutdown: stop, peerClient } = parts;
  const { logger } = ports;
  const front = provideServices(parts);
  const feed = kernel.find(desiredFeedName);
  const peers = kernel.find(peersName);
  const lease = kernel.find(orderLeaseName);
  const peerServer = createPeerServer({
    exchange: peers.receive,
    configuration: feed.configurationCopy,
    quota: kernel.find(accountQuotaName).allocate,
    permit: kernel.find(targetLimitsName).allocate,
  });
  registerGauges(parts, front);
  const blame = kernel.find(crashBlameName);
  const heldStore = kernel.find(heldStoreName);
  const ready = () => feed.ready() && heldStore.ready() && !stop.hasBegun();

  return {
    async start() {
      logger.event("boxStarted", { incarnation });
      addSeeds(peers, settings.box.seeds);
      await peerServer.listen(settings.box.peer_listen_address ?? settings.box.peer_address);
      await front.listen();
      await kernel.start();
      const self = { box: settings.box.name, peerAddress: settings.box.peer_address };
      void followRegistry(ports, ports.boxStream, self, peers, stop.hasBegun);
      announceReady(parts, feed);
    },
    async drain() {
      logger.event("boxDraining", { inFlight: front.openRequests() });
      stop.begin();
      peers.sendHeartbeats();
      void lease.release();
      await stop.finish(front);
      logger.event("boxStopped", { inFlight: front.openRequests() });
      front.closeAll();
      await kernel.stop();
      peerClient.close();
      peerServer.close();
    },
    applySettings: createSettingsUpdater(settings, peers, logger),
    ready,
    entries: (domain) => ({
      addresses: chooseEntries(servingBoxes(parts), domain),
      lifetimeMs: settings.callers.entries_lifetime_ms,
    }),
    metricsText: kernel.find(metricsName).expose,
    heldRequests: blame.heldRequests,
    limitedTargets: kernel.find(targetLimitsName).limited,
    releaseRequest: blame.release,
  };
}
