/** Assembles the services of a box that forwards opaque requests. */
import { createPeerServer, type PeerHandler, peersName } from "@linkfall/box-peers";
import { crashBlameName } from "@linkfall/crash-blame";
import { type DesiredFeed, desiredFeedName } from "@linkfall/desired-feed";
import type { EntrySettings } from "@linkfall/entry-settings";
import { reportDefect } from "@linkfall/request-defect";
import { metricsName } from "@linkfall/metrics";
import { orderLeaseName } from "@linkfall/order-lease";
import { connectToAddress } from "@linkfall/raw-exchange";
import { requestDispatchName } from "@linkfall/request-dispatch";
import { streamVersionsName } from "@linkfall/stream-versions";
import { targetReachName } from "@linkfall/target-reach";
import type { HeldRequest, LimitedTarget, Milliseconds } from "@linkfall/types";
import { createAcceptQueueMonitor } from "./accept-queue-monitor.js";
import { createRequestArrivals } from "./request-arrivals.js";
import { type BoxRuntime, createBoxRuntime } from "./box-runtime.js";
import { createBoundedLabel } from "./bounded-label.js";
import type { EntryBoxPorts } from "./box-ports.js";
import { chooseEntries, type EntryCandidate } from "./entries.js";
import { createFleetWaiter, createForwardContext } from "./forward-context.js";
import { createFront, type Front } from "./front.js";
import { registerGauges } from "./gauges.js";
import { findTimeLimitMs, handleRequest } from "./handle-request.js";
import { heldStoreName, provideCrashBlame } from "./provide-blame.js";
import { fragileTargetsName, provideFragileTargets } from "./provide-fragile-targets.js";
import { provideTargetLimits, targetLimitsName } from "./provide-limits.js";
import { provideRequestDispatch } from "./provide-request-dispatch.js";
import { provideStreamVersions } from "./provide-stream-versions.js";
import { provideOrderDispatcher, provideOrderLease } from "./provide-orders.js";
import { accountQuotaName, provideAccountQuota } from "./provide-quota.js";
import { followReachOfOthers, provideTargetReach } from "./provide-reach.js";
import { provideHeldBytes } from "./provide-held-bytes.js";
import { type PortBounds, providePortBounds } from "./provide-connection-bounds.js";
import { createOwnRelay, provideRelayDialler } from "./provide-relay.js";
import { provideEngineSpeeds, provideFeed, provideFleet, providePeers } from "./provide-state.js";
import { followRegistry } from "./box-registry.js";
import { passOnConfigurations } from "./configuration-copies.js";
import { createPlannedDemand } from "./planned-demand.js";
import { createHeartbeatSource } from "./heartbeat-source.js";
import { type LeaseHolderView, receiveHeartbeats } from "./heartbeat-receiver.js";
import { ownProfile } from "./own-profile.js";
import { addSeeds, createSettingsUpdater } from "./settings-update.js";

/** Box addresses for callers and the time for which they may be cached. */
export interface EntryAddresses {
  readonly addresses: readonly string[];
  readonly lifetimeMs: Milliseconds;
}

export interface EntryBox {
  start(): Promise<void>;
  /** Shuts down gracefully, also while the box starts; resolves when the process may exit. */
  drain(): Promise<void>;
  /** Applies settings read while the box runs: new seeds immediately, everything else at the next start. */
  applySettings(read: EntrySettings): void;
  ready(): boolean;
  /** Whether a graceful shutdown has begun. */
  isStopping(): boolean;
  /** Box addresses for a caller in the given failure domain. */
  entries(domain?: string): EntryAddresses;
  metricsText(): string;
  /** Bounds the connections of a server of this box; to be called before it listens. */
  readonly boundPort: PortBounds;
  /** Requests held back because targets crashed while processing them. */
  heldRequests(): readonly HeldRequest[];
  /** Targets with a rate limit in force, as known to this box. */
  limitedTargets(): readonly LimitedTarget[];
  /** Stops holding a request back, on all boxes; returns false if it was not held back. */
  releaseRequest(fingerprint: string): boolean;
}

/** Accounts with a metric series of their own. */
const maxAccountLabels = 64;
const readyPollIntervalMs: Milliseconds = 100;

/** The server that callers connect to, and the bounds that it shares with the other ports. */
interface BoundedFront {
  readonly front: Front;
  readonly boundPort: PortBounds;
}

/** Registers the services in the order of their dependencies. */
function provideServices(runtime: BoxRuntime): BoundedFront {
  const { kernel, settings, ports, shutdown } = runtime;
  const holderView: LeaseHolderView = { reachesMajority: false, weightsExpectedAt: new Map() };
  const plannedDemand = createPlannedDemand(runtime.ports.clock);
  const fleet = provideFleet(runtime);
  provideEngineSpeeds(runtime);
  provideCrashBlame(runtime);
  provideTargetReach(runtime);
  provideTargetLimits(runtime, holderView);
  provideStreamVersions(runtime, holderView);
  provideFragileTargets(runtime, holderView);
  provideRequestDispatch(runtime, holderView);
  const feed = provideFeed(runtime, fleet);
  providePeers(
    runtime,
    createHeartbeatSource(runtime, () => holderView.followed, plannedDemand),
  );
  passOnConfigurations(runtime);
  followReachOfOthers(runtime);
  provideRelayDialler(runtime);
  provideOrderLease(runtime);
  provideOrderDispatcher(runtime);
  const waiter = createFleetWaiter(runtime);
  const forward = createForwardContext(
    runtime,
    waiter,
    receiveHeartbeats(runtime, holderView, waiter, plannedDemand),
  );
  const metrics = kernel.find(metricsName);
  const quota = provideAccountQuota(runtime, holderView);
  const accountLabel = createBoundedLabel(maxAccountLabels);
  const ready = () => feed.ready() && kernel.find(heldStoreName).ready();
  const context = {
    ready,
    feed,
    codec: ports.requests,
    forward,
    quota,
    metrics,
    accountLabel,
    ranksRoutesOfAccounts: settings.accounts.rank_routes,
  };
  const held = provideHeldBytes(runtime);
  const boundPort = providePortBounds(runtime, held);
  const { front_address: frontAddress } = settings.box;
  const unreadSince = ports.unreadSince ?? (() => undefined);
  const acceptQueue = createAcceptQueueMonitor({
    ...ports,
    metrics,
    unreadSince,
    connect: () => connectToAddress(ports.connectToTarget, frontAddress),
    onWait: runtime.activity.recordConnectionWait,
  });
  const arrivals = createRequestArrivals({
    ...ports,
    unreadSince,
    connectionWaitingSince: acceptQueue.waitingSince,
  });
  const front = createFront({
    address: frontAddress,
    maxHeaderBytes: settings.callers.max_header_bytes,
    boundConnections: (server, onMalformed) =>
      boundPort(server, "front", settings.callers.max_header_bytes, onMalformed),
    clock: ports.clock,
    onConnection(socket) {
      acceptQueue.connectionAccepted(socket);
      arrivals.connectionAccepted(socket);
    },
    arrivedAt: arrivals.arrivedAt,
    limits: () => feed.activeConfiguration()?.configuration.limits,
    isClosing: shutdown.hasBegun,
    held,
    timeLimitMs: (head) => findTimeLimitMs(context, head),
    handle(request) {
      runtime.activity.recordRequest();
      return handleRequest(context, request);
    },
    onBodyRejected: (path, status, why) =>
      ports.logger.event("requestRejected", { status, why, path }),
    onDefect: (path, defect) => reportDefect(ports.logger, { path }, defect),
  });
  return { front, boundPort };
}

/** This box and its live peers, as far as they accept requests. */
function servingBoxes(runtime: BoxRuntime): readonly EntryCandidate[] {
  const profiles = [ownProfile(runtime), ...runtime.kernel.find(peersName).alive()];
  return profiles
    .filter(({ ready, leaving }) => ready && !leaving)
    .map(({ frontAddress, ...profile }) => ({ ...profile, address: frontAddress }));
}

/** Logs when the box becomes ready and notifies its peers immediately. */
function announceReady({ kernel, ports }: BoxRuntime, feed: DesiredFeed): void {
  const { clock, logger } = ports;
  const startedAt = clock.now();
  const check = () => {
    if (!feed.ready()) return void clock.after(readyPollIntervalMs, check);
    const version = feed.activeConfiguration()?.configuration.version;
    logger.event("boxReady", { afterMs: Math.round(clock.now() - startedAt), version });
    kernel.find(peersName).sendHeartbeats();
    void kernel.find(targetReachName).verify();
  };
  check();
}

/** Logs the requests that are cut since the box has to exit. */
function logOpenRequests({ ports: { clock, logger } }: BoxRuntime, front: Front): void {
  for (const { path, arrivedAt, progress, sink } of front.openRequests()) {
    const { id: request, mayHaveRun = false, sends = 0 } = progress?.() ?? {};
    const ms = Math.round(clock.now() - arrivedAt);
    logger.event("requestCutByStop", {
      request,
      path,
      ms,
      mayHaveRun,
      sends,
      begun: sink.headersSent(),
    });
  }
}

/** Creates a box that does nothing until it is started. */
export function createEntryBox(settings: EntrySettings, ports: EntryBoxPorts): EntryBox {
  const runtime = createBoxRuntime(settings, ports);
  const { kernel, incarnation, shutdown, peerClient } = runtime;
  const { logger } = ports;
  const { front, boundPort } = provideServices(runtime);
  const feed = kernel.find(desiredFeedName);
  const peers = kernel.find(peersName);
  const lease = kernel.find(orderLeaseName);
  const relay = createOwnRelay(runtime);
  const streamVersions = kernel.find(streamVersionsName);
  const dispatch = kernel.find(requestDispatchName);
  const handler: PeerHandler = {
    exchange: peers.receive,
    configuration: feed.configurationCopy,
    quota: kernel.find(accountQuotaName).allocate,
    permit: kernel.find(targetLimitsName).allocate,
    relay: relay.accept,
    place: kernel.find(fragileTargetsName).allocate,
    streams: streamVersions.receive,
    dispatch: dispatch.receive,
  };
  const peerServer = createPeerServer(handler, (problem) =>
    logger.event("badPeerMessage", { problem }),
  );
  registerGauges(runtime, front);
  const blame = kernel.find(crashBlameName);
  const heldStore = kernel.find(heldStoreName);
  const ready = () => feed.ready() && heldStore.ready() && !shutdown.hasBegun();
  const start = async () => {
    logger.event("boxStarted", { incarnation });
    addSeeds(peers, settings.box.seeds);
    await peerServer.listen(settings.box.peer_listen_address ?? settings.box.peer_address);
    await front.listen();
    await kernel.start();
    const self = { box: settings.box.name, peerAddress: settings.box.peer_address };
    void followRegistry(ports, ports.boxStream, self, peers, shutdown.hasBegun);
    announceReady(runtime, feed);
  };
  let started = Promise.resolve();

  return {
    start: () => (started = start()),
    async drain() {
      logger.event("boxDraining", { inFlight: front.openRequests().size });
      shutdown.begin();
      await shutdown.within(started);
      peers.sendHeartbeats();
      dispatch.stop();
      void streamVersions.handOver();
      void lease.release();
      await shutdown.finish({
        front,
        openRequests: () => front.openRequests().size + relay.openExchanges(),
        handOver: streamVersions.handOver,
        onCut: () => logOpenRequests(runtime, front),
      });
      logger.event("boxStopped", { inFlight: front.openRequests().size });
      front.closeAll();
      await kernel.stop();
      peerClient.close();
      peerServer.close();
    },
    applySettings: createSettingsUpdater(settings, peers, logger),
    ready,
    isStopping: shutdown.hasBegun,
    entries: (domain) => ({
      addresses: chooseEntries(servingBoxes(runtime), domain),
      lifetimeMs: settings.callers.entries_lifetime_ms,
    }),
    metricsText: kernel.find(metricsName).expose,
    boundPort,
    heldRequests: blame.heldRequests,
    limitedTargets: kernel.find(targetLimitsName).limited,
    releaseRequest: blame.release,
  };
}
