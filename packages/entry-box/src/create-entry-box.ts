/** Wires the services of a box that forwards opaque requests. */
import {
  type BoxWord,
  createPeers,
  createWordClient,
  createWordServer,
  type HolderWord,
  peersName,
  type TakenWord,
} from "@linkfall/box-peers";
import { createDesiredFeed, desiredFeedName } from "@linkfall/desired-feed";
import type { EntrySettings } from "@linkfall/entry-settings";
import { createFleet, fleetName } from "@linkfall/fleet";
import { createChangeWaiter, createWorkCostMeter, type ForwardContext } from "@linkfall/forwarding";
import {
  type Clock,
  clockName,
  createKernel,
  type Kernel,
  type Random,
  randomName,
  repeatEvery,
} from "@linkfall/kernel";
import { type Logger, loggerName } from "@linkfall/logger";
import { createMetrics, metricsName } from "@linkfall/metrics";
import { createDemandMeter, sumDemand, type Wanted } from "@linkfall/model-demand";
import { createOrderLease, orderLeaseName } from "@linkfall/order-lease";
import type { KeyedStreamPort, RecordCodec, RequestCodec, RoutedEnginePort } from "@linkfall/ports";
import { rankNodes } from "@linkfall/rendezvous";
import { createRetryBudget } from "@linkfall/retry-budget";
import type { Milliseconds } from "@linkfall/types";
import { createOrderGiver, orderGiverName } from "@linkfall/weight-orders";
import {
  createEngineVersions,
  hasWaiting,
  othersLoads,
  ownLoads,
  recentDemand,
  takeHolderWord,
} from "./box-word.js";
import { chooseEntries, type EntryOfBox } from "./entries.js";
import { createFront } from "./front.js";
import { handleRequest } from "./handle-request.js";
import { createPlannedStop } from "./planned-stop.js";
import { followRegistry } from "./registry.js";

/** What a box needs of its surroundings. */
export interface EntryBoxPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly configurationStream: KeyedStreamPort;
  readonly targetStream: KeyedStreamPort;
  readonly boxStream: KeyedStreamPort;
  readonly leaseStream: KeyedStreamPort;
  readonly configurationKey: string;
  readonly records: RecordCodec;
  readonly requests: RequestCodec;
  readonly engines: RoutedEnginePort;
}

/** Addresses that callers may use now. */
export interface Entries {
  readonly addresses: readonly string[];
  readonly lifetimeMs: Milliseconds;
}

export interface EntryBox {
  start(): Promise<void>;
  /** Planned stop; resolves when nothing depends on the process any more. */
  drain(): Promise<void>;
  /** Notes that the settings file is said to have changed; what a box runs with stays until its next start. */
  noteSettings(): void;
  ready(): boolean;
  /** Addresses for a caller in the given failure domain. */
  entries(domain?: string): Entries;
  metricsText(): string;
}

const lapseCheckMs: Milliseconds = 200;
/** Words that begin to wait within this time are told together. */
const gatherMs: Milliseconds = 2;

function provideBasics(ports: EntryBoxPorts): Kernel {
  const kernel = createKernel();
  kernel.provide(clockName, ports.clock);
  kernel.provide(randomName, ports.random);
  kernel.provide(loggerName, ports.logger);
  kernel.provide(metricsName, createMetrics());
  return kernel;
}

/** Creates a box; it does nothing before it is started. */
export function createEntryBox(settings: EntrySettings, ports: EntryBoxPorts): EntryBox {
  const { clock, random, logger } = ports;
  const kernel = provideBasics(ports);
  const metrics = kernel.find(metricsName);
  const incarnation = `${settings.box.name}@${random.identifier()}`;
  const stop = createPlannedStop(clock, settings);
  const startedAt = clock.now();
  let beat = 0;
  let expectedAt: ReadonlyMap<string, Milliseconds> = new Map();

  const fleet = createFleet(kernel, {
    lapse: { graceMs: settings.targets.lapse_grace_ms, share: settings.targets.lapse_share },
    ejection: {
      failuresInARow: settings.targets.failures_in_a_row,
      firstMs: settings.targets.first_ejection_ms,
      longestMs: settings.targets.longest_ejection_ms,
    },
  });
  kernel.provide(fleetName, fleet);
  const feed = createDesiredFeed(kernel, {
    configurationStream: ports.configurationStream,
    targetStream: ports.targetStream,
    codec: ports.records,
    fleet,
    times: {
      waitMs: settings.store.wait_ms,
      gatherMs: 0,
      firstPauseMs: settings.store.first_pause_ms,
      longestPauseMs: settings.store.longest_pause_ms,
    },
    gatherTargetsMs: settings.store.gather_targets_ms,
    configurationKey: ports.configurationKey,
    settleMs: settings.store.settle_ms,
  });
  kernel.provide(desiredFeedName, feed, feed);
  const demand = createDemandMeter(clock);
  const wordClient = createWordClient(clock, settings.peers.call_ms);

  const ready = () => feed.ready() && !stop.begun();
  const versions = createEngineVersions(fleet);
  let taken: TakenWord | undefined;
  const holderWord = (reader?: BoxWord): HolderWord => {
    const known = reader?.taken?.holder === incarnation ? reader.taken.version : 0;
    return {
      ...versions.changesAfter(known),
      withheld: Object.fromEntries(giver.withheld()),
      expected: giver.expected(),
    };
  };
  /** Demand is told only to the box that may give orders: it is most of a word. */
  const givesOrders = (reader?: BoxWord) =>
    reader !== undefined && reader.incarnation === lease.known()?.holder;
  const word = (reader?: BoxWord): BoxWord => ({
    box: settings.box.name,
    incarnation,
    beat: (beat += 1),
    frontAddress: settings.box.front_address,
    peerAddress: settings.box.peer_address,
    domain: settings.box.domain,
    ready: ready(),
    leaving: stop.begun(),
    reachesStore: feed.reachesStore(),
    configurationVersion: feed.inForce()?.configuration.version ?? -1,
    targetsEnd: feed.targetsEnd(),
    loads: ownLoads(fleet),
    demand: givesOrders(reader) ? recentDemand(demand.read()) : [],
    lease: lease.known(),
    ordersForMs: lease.ordersForMs(),
    taken,
    holder: lease.epoch() === undefined ? undefined : holderWord(reader),
  });
  const peers = createPeers(kernel, wordClient, word, {
    selfAddress: settings.box.peer_address,
    roundMs: settings.peers.round_ms,
    suspectMs: settings.peers.suspect_ms,
    forgetMs: settings.peers.forget_ms,
    fanout: settings.peers.fanout,
  });
  kernel.provide(peersName, peers, peers);

  const heardBoxes = () => peers.heard();
  const lease = createOrderLease(
    kernel,
    incarnation,
    ports.leaseStream,
    {
      heardMs: peers.heardMs,
      ordersForMs: (holder) => peers.find(holder)?.ordersForMs ?? 0,
      leaving: (holder) => peers.find(holder)?.leaving ?? false,
      rank() {
        const serving = heardBoxes().filter(({ word: heard }) => heard.ready);
        const names = [settings.box.name, ...serving.map(({ word: heard }) => heard.box)];
        return rankNodes("orders", names).indexOf(settings.box.name);
      },
      allWithoutStore() {
        const heard = heardBoxes();
        if (feed.reachesStore() || heard.length * 2 < peers.most()) return false;
        return heard.every(({ word: other }) => !other.reachesStore);
      },
    },
    {
      leaseMs: settings.lease.lease_ms,
      silentMs: settings.lease.silent_ms,
      rankStepMs: settings.lease.rank_step_ms,
      checkMs: settings.lease.check_ms,
    },
  );
  kernel.provide(orderLeaseName, lease, lease);

  fleet.trustOwnWord(() => {
    if (lease.epoch() !== undefined) return true;
    const holder = lease.known()?.holder;
    const heardMs = holder === undefined ? undefined : peers.heardMs(holder);
    return heardMs !== undefined && heardMs < settings.peers.suspect_ms;
  });

  const announce = () => {
    fleet.withhold(giver.withheld());
    peers.tell();
  };
  const giver = createOrderGiver(kernel, {
    self: settings.box.name,
    fleet,
    engines: ports.engines,
    lease,
    configuration: () => feed.inForce()?.configuration,
    demand: () =>
      sumDemand([demand.read(), ...heardBoxes().map(({ word: heard }) => heard.demand)]),
    announce,
    rules: {
      plan: {
        inFlightOfReplica: settings.placement.in_flight_of_replica,
        horizonMs: settings.placement.horizon_ms,
      },
      stateMs: settings.placement.state_ms,
      busyStateMs: settings.placement.busy_state_ms,
      resendMs: settings.placement.resend_ms,
      giveUpMs: settings.placement.give_up_ms,
    },
  });
  kernel.provide(orderGiverName, giver, giver);

  /** Tells the holder of the order lease that requests wait. */
  let telling = false;
  const tellHolder = () => {
    if (telling) return;
    telling = true;
    clock.after(gatherMs, () => {
      telling = false;
      if (lease.epoch() !== undefined) giver.hurry();
      else peers.tell(lease.known()?.holder);
    });
  };
  const waiter = createChangeWaiter(clock, tellHolder);
  fleet.onChange(waiter.wake);

  const catchUp = async (other: BoxWord) => {
    const behind =
      other.configurationVersion > (feed.inForce()?.configuration.version ?? -1) ||
      other.targetsEnd > feed.targetsEnd();
    if (!behind) return;
    const copy = await wordClient.desired(other.peerAddress);
    copy.ifRight(feed.takeCopy);
  };
  peers.onWord((other) => {
    if (other.lease) lease.hear(other.lease);
    fleet.takeOthers(othersLoads(heardBoxes()));
    void catchUp(other);
    const isHolder = other.lease?.holder === other.incarnation;
    if (isHolder && other.holder && lease.known()?.holder === other.incarnation) {
      takeHolderWord(fleet, other.holder);
      taken = { holder: other.incarnation, version: other.holder.version };
      const now = clock.now();
      const pairs = Object.entries(other.holder.expected);
      expectedAt = new Map(pairs.map(([key, ms]) => [key, now + ms]));
      waiter.wake();
    }
    if (hasWaiting(other) && lease.epoch() !== undefined) giver.hurry();
  });

  const expectedWeightsMs = ({ service, model }: Wanted) => {
    const key = `${service} ${model}`;
    if (lease.epoch() !== undefined) return giver.expected()[key];
    const at = expectedAt.get(key);
    return at === undefined ? undefined : Math.max(0, at - clock.now());
  };

  const { forwarding } = settings;
  const forward: ForwardContext = {
    clock,
    random,
    logger,
    codec: ports.requests,
    fleet,
    demand,
    waiter,
    budget: createRetryBudget(clock, {
      ratio: settings.retries.ratio,
      slack: settings.retries.slack,
      windowMs: settings.retries.window_ms,
    }),
    costs: createWorkCostMeter({
      perTokenMs: forwarding.first_token_cost_us / 1000,
      perRequestMs: forwarding.first_request_cost_ms,
      perAnswerMs: forwarding.first_answer_cost_ms,
      crossDomainMs: forwarding.cross_domain_ms,
    }),
    limits: {
      connectMs: forwarding.connect_ms,
      leastSilentMs: forwarding.least_silent_ms,
      silentObjectives: forwarding.silent_objectives,
      silentExpected: forwarding.silent_expected,
      deadlineMarginMs: forwarding.deadline_margin_ms,
    },
    forwardLimits: {
      leastTimeMs: forwarding.least_time_ms,
      mostSends: forwarding.most_sends,
      againMs: forwarding.again_ms,
      replicaGainMs: forwarding.replica_gain_ms,
      hopelessShare: forwarding.hopeless_share,
      comeBackMs: forwarding.come_back_ms,
    },
    domain: settings.box.domain,
    boxes: peers.most,
    expectedWeightsMs,
  };
  const front = createFront({
    address: settings.box.front_address,
    maxHeaderBytes: settings.callers.max_header_bytes,
    now: clock.now,
    limits: () => feed.inForce()?.configuration.limits,
    closing: stop.begun,
    handle: (request) =>
      handleRequest({ feed, codec: ports.requests, forward, metrics, takes: stop.takes }, request),
  });

  const wordServer = createWordServer({ exchange: peers.receive, desired: feed.copy });
  const lapses = repeatEvery(clock, random, lapseCheckMs, () =>
    fleet.expireLapsed(feed.storeDisturbed()),
  );
  kernel.provide({ name: "lapses" }, undefined, lapses);
  metrics.gauge("linkfall_configuration_version", "Version in force.", () =>
    feed.inForce() ? feed.inForce()!.configuration.version : -1,
  );
  metrics.gauge("linkfall_requests_open", "Requests without a final answer.", front.open);
  metrics.gauge("linkfall_boxes_heard", "Other boxes heard lately.", () => heardBoxes().length);
  metrics.gauge("linkfall_lease_held", "1 while this box may give orders.", () =>
    lease.epoch() === undefined ? 0 : 1,
  );

  const servingBoxes = (): readonly EntryOfBox[] => {
    const own = { address: settings.box.front_address, domain: settings.box.domain };
    const others = heardBoxes()
      .filter(({ word: other }) => other.ready && !other.leaving)
      .map(({ word: other }) => ({ address: other.frontAddress, domain: other.domain }));
    return ready() ? [own, ...others] : others;
  };

  const registerSelf = () =>
    followRegistry(
      clock,
      ports.boxStream,
      { box: settings.box.name, peerAddress: settings.box.peer_address },
      peers,
      stop.begun,
    );

  return {
    async start() {
      logger.event("boxStarted", { incarnation });
      for (const peerAddress of settings.box.seeds) peers.learn({ box: "seed", peerAddress });
      await wordServer.listen(settings.box.peer_address);
      await front.listen();
      await kernel.start();
      void registerSelf();
      const announceReady = () => {
        if (!ready()) return void clock.after(lapseCheckMs, announceReady);
        logger.event("boxReady", { afterMs: Math.round(clock.now() - startedAt) });
        peers.tell();
      };
      announceReady();
    },
    async drain() {
      logger.event("boxDraining", { inFlight: front.open() });
      stop.begin();
      peers.tell();
      void lease.release();
      await stop.finish(front);
      logger.event("boxStopped", { inFlight: front.open() });
      front.closeAll();
      await kernel.stop();
      wordClient.close();
      wordServer.close();
    },
    noteSettings: () => logger.event("settingsSignalled"),
    ready,
    entries: (domain) => ({
      addresses: chooseEntries(servingBoxes(), domain),
      lifetimeMs: settings.callers.entries_lifetime_ms,
    }),
    metricsText: metrics.expose,
  };
}
