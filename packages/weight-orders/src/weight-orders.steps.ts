import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { TargetUnreachable } from "@linkfall/errors";
import { createFleet, type Fleet, hasModelLoaded } from "@linkfall/fleet";
import {
  clockName,
  createKernel,
  createVirtualClock,
  type Random,
  randomName,
  seededRandom,
  type VirtualClock,
} from "@linkfall/kernel";
import { type EventDetail, type EventName, loggerName, recordingLogger } from "@linkfall/logger";
import { createMetrics, type Metrics, metricsName } from "@linkfall/metrics";
import type { ModelDemand } from "@linkfall/model-demand";
import type { OrderLease } from "@linkfall/order-lease";
import type { RoutedEnginePort } from "@linkfall/ports";
import type {
  DeclaredModel,
  FencedOrder,
  ListedTarget,
  OrderResult,
  RoutedConfiguration,
} from "@linkfall/types";
import { Left, Right } from "purify-ts";
import { createOrderDispatcher, type OrderDispatcher } from "./index.js";

const service = "s";
const modelMb = 100;
const defaultResponseMs = 5;
const defaultLoadMs = 200;

type OrderOutcome =
  "accepted" | "lost" | "not connected" | "withheld" | { readonly lateMs: number };

interface LoggedEvent {
  readonly name: EventName;
  readonly detail: EventDetail;
}

/** A simulated engine: accepts one order at a time, with a matching sequence. */
interface FakeEngine {
  readonly id: string;
  sequence: number;
  models: string[];
  /** Adapters, as `model/adapter`. */
  adapters: string[];
  busyUntil: number;
  lastSeenEpoch: number;
  exceededMemory: boolean;
  /** State before the last order, which arrived at `replacedAt`. */
  previous?: {
    readonly sequence: number;
    readonly models: readonly string[];
    readonly replacedAt: number;
  };
}

interface Scene {
  readonly clock: VirtualClock;
  readonly engines: FakeEngine[];
  readonly fleet: Fleet;
  /** Orders handed to the port. */
  readonly orders: { readonly at: number; readonly order: FencedOrder }[];
  /** Orders that an engine has received. */
  readonly arrivedOrders: FencedOrder[];
  readonly logged: LoggedEvent[];
  readonly metrics: Metrics;
  readonly outcomes: OrderOutcome[];
  /** Engines that were reported as unreachable, and whether the call may have arrived. */
  readonly unreachable: { readonly id: string; readonly mayHaveArrived: boolean }[];
  readonly refusedEpochs: number[];
  readonly storeLoadTimes: number[];
  dispatcher?: OrderDispatcher;
  epoch: number | undefined;
  demand: readonly ModelDemand[];
  storeLoadsPerSecond: number;
  /** Declared and actual load time. */
  loadMs: number;
  /** Age of engine reports. */
  reportAgeMs: number;
  /** Response time of engines. */
  responseMs: number;
  /** Time to establish a connection for an order. */
  connectMs: number;
  modelNames: readonly string[];
  /** Models cached on the disk of every engine. */
  onDisk: readonly string[];
}

const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const splitNames = (text: string) => text.split(" ");

function model(name: string, loadMs: number): DeclaredModel {
  return {
    name,
    memoryMb: modelMb,
    loadFromMemoryMs: loadMs,
    loadFromDiskMs: loadMs,
    loadFromStoreMs: loadMs,
    adapterMb: 1,
  };
}

function configurationOf({ modelNames, storeLoadsPerSecond, loadMs }: Scene): RoutedConfiguration {
  const engine = {
    slots: 8,
    cacheTokens: 1_000,
    memoryMb: 150,
    adapterSlots: 2,
    storeLoadsPerSecond,
    models: new Map(modelNames.map((name) => [name, model(name, loadMs)])),
  };
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const services = new Map([
    [service, { name: service, healthPath: "/", maxConnections: 1, engine }],
  ]);
  return { version: 1, routes: [], services, limits };
}

/** Executes an order, unless the engine refuses it. */
function executeOrder(scene: Scene, engine: FakeEngine, order: FencedOrder): OrderResult {
  const now = scene.clock.now();
  scene.arrivedOrders.push(order);
  if (order.epoch < engine.lastSeenEpoch) return "fenced";
  engine.lastSeenEpoch = order.epoch;
  if (now < engine.busyUntil || order.expectedSequence !== engine.sequence) return "conflict";
  if (order.adapter !== undefined) {
    engine.previous = { sequence: engine.sequence, models: [...engine.models], replacedAt: now };
    engine.sequence += 1;
    const key = `${order.model}/${order.adapter}`;
    if (order.action === "load") {
      engine.adapters.push(key);
      return "under_way";
    }
    engine.adapters = engine.adapters.filter((adapter) => adapter !== key);
    return "in_force";
  }
  const tookMs = order.action === "load" ? scene.loadMs : defaultLoadMs;
  engine.previous = { sequence: engine.sequence, models: [...engine.models], replacedAt: now };
  engine.sequence += 1;
  engine.busyUntil = now + tookMs;
  if (order.action === "unload") {
    engine.models = engine.models.filter((name) => name !== order.model);
    return "under_way";
  }
  scene.storeLoadTimes.push(now);
  if ((engine.models.length + 1) * modelMb > 150) engine.exceededMemory = true;
  engine.models.push(order.model);
  return "under_way";
}

function noAnswer(reason: string, mayHaveArrived: boolean): TargetUnreachable {
  return { kind: "target_unreachable", reason, mayHaveArrived };
}

function createPort(scene: Scene): RoutedEnginePort {
  const { clock } = scene;
  const after = (ms: number) =>
    new Promise<void>((resolve) => {
      clock.after(ms, resolve);
    });
  const find = (id: string) => scene.engines.find((engine) => engine.id === id);
  return {
    async readState({ id }) {
      await after(scene.responseMs);
      const engine = find(id);
      if (!engine) return Left(noAnswer("gone", false));
      const reportedAt = clock.now() - scene.reportAgeMs;
      const { previous } = engine;
      const reported = previous && reportedAt < previous.replacedAt ? previous : engine;
      const adaptersOf = (name: string) =>
        reported === engine
          ? engine.adapters
              .filter((key) => key.startsWith(`${name}/`))
              .map((key) => key.split("/")[1])
          : [];
      const models = reported.models.map((name) => ({
        name,
        version: 1,
        adapters: adaptersOf(name),
      }));
      return Right({
        sequence: reported.sequence,
        models,
        busy: reported === engine && reportedAt < engine.busyUntil,
        waiting: 0,
        running: 0,
        cacheTokensUsed: 0,
        inMemory: new Set(),
        onDisk: new Set(scene.onDisk),
        adaptersComing: [],
        limit: { kind: "none" },
        leaving: false,
      });
    },
    async order({ id }, order, isPermitted) {
      scene.orders.push({ at: clock.now(), order });
      const outcome = scene.outcomes.shift() ?? "accepted";
      if (scene.connectMs > 0) await after(scene.connectMs);
      if (outcome === "not connected") return Left(noAnswer("connection refused", false));
      if (!isPermitted() || outcome === "withheld") return Right("withheld");
      await after(scene.responseMs);
      const engine = find(id);
      if (!engine) return Right("gone");
      if (outcome === "accepted") return Right(executeOrder(scene, engine, order));
      if (outcome !== "lost")
        clock.after(outcome.lateMs, () => void executeOrder(scene, engine, order));
      await after(300);
      return Left(noAnswer("request timed out", true));
    },
  };
}

function createListedTarget(id: string): ListedTarget {
  return { id, service, address: "10.0.0.1:1", domain: "d", slots: 8, leaving: false };
}

function createLease(scene: Scene): OrderLease {
  return {
    epoch: () => scene.epoch,
    observedLease: () => undefined,
    observe: () => undefined,
    recordRefusal(epoch) {
      scene.refusedEpochs.push(epoch);
      scene.epoch = undefined;
    },
    remainingLeaseMs: () => 1_000,
    release: async () => undefined,
    start: async () => undefined,
    stop: async () => undefined,
  };
}

function createScene(
  engineIds: readonly string[],
  heldModels: readonly string[],
  modelNames: readonly string[],
): Scene {
  const clock = createVirtualClock();
  const kernel = createKernel();
  const logged: LoggedEvent[] = [];
  kernel.provide(clockName, clock);
  kernel.provide(randomName, seededRandom(1));
  const metrics = createMetrics();
  kernel.provide(metricsName, metrics);
  kernel.provide(
    loggerName,
    recordingLogger((name, detail) => logged.push({ name, detail })),
  );
  const fleet = createFleet(kernel, {
    lapse: { graceMs: 1_600, minShare: 0.3, returnMs: 2_200 },
    ejection: { consecutiveFailures: 3, initialMs: 1_000, maxMs: 8_000 },
  });
  fleet.applyList(engineIds.map(createListedTarget), {
    readFrom: "store",
    position: { end: engineIds.length, generation: 0 },
    isContinuous: true,
  });
  const scene: Scene = {
    clock,
    fleet,
    engines: engineIds.map((id) => ({
      id,
      sequence: 0,
      models: [...heldModels],
      adapters: [],
      busyUntil: 0,
      lastSeenEpoch: 0,
      exceededMemory: false,
    })),
    orders: [],
    arrivedOrders: [],
    logged,
    metrics,
    outcomes: [],
    unreachable: [],
    refusedEpochs: [],
    storeLoadTimes: [],
    epoch: 4,
    demand: [],
    storeLoadsPerSecond: 100,
    loadMs: defaultLoadMs,
    reportAgeMs: 0,
    responseMs: defaultResponseMs,
    connectMs: 0,
    modelNames,
    onDisk: modelNames,
  };
  scene.dispatcher = createOrderDispatcher(kernel, {
    self: "b1",
    fleet,
    engines: createPort(scene),
    maxRequestsPerSecond: () => undefined,
    relativeSpeed: () => 1,
    onLimitReported: () => undefined,
    onEngineUnreachable: (id, { mayHaveArrived }) =>
      void scene.unreachable.push({ id, mayHaveArrived }),
    lease: createLease(scene),
    configuration: () => configurationOf(scene),
    demand: () => scene.demand,
    notifyPeers: () => undefined,
    rules: {
      plan: {
        targetReplicaLoad: 0.6,
        horizonMs: 10_000,
        refusalWeight: 0,
        initialReplicaCostMs: 180,
      },
      pollIntervalMs: 300,
      activePollIntervalMs: 60,
      resendAfterMs: 800,
      moveTimeoutMs: 8_000,
    },
  });
  return scene;
}

Given(
  "engines {string} of 150 MB that hold {string} and models {string} of 100 MB",
  function (this: object, ids: string, heldModels: string, modelNames: string) {
    scenes.set(this, createScene(splitNames(ids), splitNames(heldModels), splitNames(modelNames)));
  },
);

Given(
  "a dispatcher that holds the lease with epoch {int}",
  async function (this: object, epoch: number) {
    const scene = sceneOf(this);
    scene.epoch = epoch;
    await scene.dispatcher?.start();
  },
);

Given("the next {int} orders are lost", function (this: object, count: number) {
  for (let index = 0; index < count; index++) sceneOf(this).outcomes.push("lost");
});

Given(
  "the next {int} orders are executed {int} ms late and not answered",
  function (this: object, count: number, lateMs: number) {
    for (let index = 0; index < count; index++) sceneOf(this).outcomes.push({ lateMs });
  },
);

Given("the next {int} orders are withheld", function (this: object, count: number) {
  for (let index = 0; index < count; index++) sceneOf(this).outcomes.push("withheld");
});

Given("the connection for the next order is not established", function (this: object) {
  sceneOf(this).outcomes.push("not connected");
});

Then(
  /^one engine is reported as unreachable by an order that (may have|has not) arrived$/,
  function (this: object, arrived: string) {
    const reported = sceneOf(this).unreachable.map(({ mayHaveArrived }) => mayHaveArrived);
    assert.deepEqual(reported, [arrived === "may have"]);
  },
);

Given(
  "connections for orders take {int} ms to establish",
  function (this: object, connectMs: number) {
    sceneOf(this).connectMs = connectMs;
  },
);

Given("the dispatcher loses the lease", function (this: object) {
  sceneOf(this).epoch = undefined;
});

Given(
  "another lease holder loads {string} on {string} and reports it before the load finishes",
  async function (this: object, name: string, id: string) {
    const scene = sceneOf(this);
    const engine = scene.engines.find((candidate) => candidate.id === id);
    assert.ok(engine);
    await scene.clock.runUntil(scene.clock.now() + 300);
    engine.sequence += 1;
    scene.fleet.applyRelayedHoldings(id, { sequence: engine.sequence, models: [] });
    await scene.clock.runUntil(scene.clock.now() + 2_000);
    engine.models.push(name);
  },
);

Given(
  "loads take {int} ms and reports of engines are {int} ms old",
  function (this: object, loadMs: number, ageMs: number) {
    sceneOf(this).loadMs = loadMs;
    sceneOf(this).reportAgeMs = ageMs;
  },
);

Given("every engine holds the adapters {string}", function (this: object, keys: string) {
  for (const engine of sceneOf(this).engines) engine.adapters = splitNames(keys);
});

When("a request waits for adapter {string}", function (this: object, adapterKey: string) {
  const [name, adapter] = adapterKey.split("/");
  const scene = sceneOf(this);
  addWaitingRequests(scene, name);
  scene.demand = scene.demand.map((entry) => ({
    ...entry,
    waiting: 0,
    waitingAdapters: { [adapter]: 1 },
  }));
});

Then("one engine is assumed to hold adapter {string}", function (this: object, adapterKey: string) {
  const [name, adapter] = adapterKey.split("/");
  const now = sceneOf(this).clock.now();
  const holding = sceneOf(this)
    .fleet.all()
    .filter((target) => hasModelLoaded(target, name, adapter, now));
  assert.equal(holding.length, 1);
});

Then("no load was ordered after the first was accepted", function (this: object) {
  const { orders, storeLoadTimes } = sceneOf(this);
  const later = orders.filter(({ at, order }) => order.action === "load" && at > storeLoadTimes[0]);
  assert.deepEqual(later, []);
});

Given("engines respond after {int} ms", function (this: object, ms: number) {
  sceneOf(this).responseMs = ms;
});

Given(
  "the dispatcher holds the lease again with epoch {int}",
  function (this: object, epoch: number) {
    sceneOf(this).epoch = epoch;
  },
);

Given("the engines have seen epoch {int}", function (this: object, epoch: number) {
  for (const engine of sceneOf(this).engines) engine.lastSeenEpoch = epoch;
});

Given(
  "{int} engines {string} of 150 MB that hold no model, and a store limit of {int} loads per second",
  async function (this: object, count: number, prefix: string, storeLoadsPerSecond: number) {
    await sceneOf(this).dispatcher?.stop();
    const ids = Array.from({ length: count }, (_, index) => `${prefix}${index}`);
    const scene = createScene(ids, [], splitNames("a b c"));
    scene.storeLoadsPerSecond = storeLoadsPerSecond;
    scene.onDisk = [];
    scenes.set(this, scene);
    await scene.dispatcher?.start();
  },
);

function addWaitingRequests(scene: Scene, name: string, inFlight = 1): void {
  const demand = {
    service,
    model: name,
    inFlight,
    reading: 0,
    rate: 0,
    earlierRate: 0,
    objectiveMs: 500,
    waiting: 1,
    waitingAdapters: {},
    idleMs: 0,
  };
  scene.demand = [...scene.demand.filter((entry) => entry.model !== name), demand];
}

/** Updates which models have waiting requests: those that no engine holds. */
function updateWaiting(scene: Scene): void {
  scene.demand = scene.demand.map((entry) => {
    const isHeld = scene.engines.some((engine) => engine.models.includes(entry.model));
    return { ...entry, waiting: isHeld ? 0 : 1 };
  });
}

When("requests wait for {string}", function (this: object, name: string) {
  addWaitingRequests(sceneOf(this), name);
});

When("many requests wait for {string}", function (this: object, name: string) {
  addWaitingRequests(sceneOf(this), name, 200);
});

async function runFor(scene: Scene, ms: number): Promise<void> {
  const end = scene.clock.now() + ms;
  while (scene.clock.now() < end) {
    await scene.clock.runUntil(scene.clock.now() + 25);
    updateWaiting(scene);
  }
}

When("the dispatcher runs for {int} ms", function (this: object, ms: number) {
  return runFor(sceneOf(this), ms);
});

When(
  "requests wait for {string} on many engines and the dispatcher runs for {int} ms",
  async function (this: object, modelNames: string, ms: number) {
    const scene = sceneOf(this);
    for (const name of splitNames(modelNames)) addWaitingRequests(scene, name, 200);
    await runFor(scene, ms / 2);
    scene.epoch = (scene.epoch ?? 0) + 1;
    await runFor(scene, ms / 2);
  },
);

Then(
  "one engine holds {string} and one holds {string}",
  function (this: object, first: string, second: string) {
    const heldModels = sceneOf(this).engines.map((engine) => engine.models.join(" "));
    assert.deepEqual([...heldModels].sort(), [first, second].sort());
  },
);

Then("one engine holds {string}", function (this: object, name: string) {
  const heldModels = sceneOf(this).engines.map((engine) => engine.models.join(" "));
  assert.deepEqual(heldModels, [name]);
});

Then("no engine exceeded its memory", function (this: object) {
  for (const engine of sceneOf(this).engines) assert.ok(!engine.exceededMemory, engine.id);
});

Then("no order was sent", function (this: object) {
  assert.equal(sceneOf(this).orders.length, 0);
});

Then("{int} order has been handed over", function (this: object, count: number) {
  assert.equal(sceneOf(this).orders.length, count);
});

Then("no order reached an engine", function (this: object) {
  assert.deepEqual(sceneOf(this).arrivedOrders, []);
});

Then("an order reached an engine", function (this: object) {
  assert.ok(sceneOf(this).arrivedOrders.length > 0);
});

Then("no order of epoch {int} reached an engine", function (this: object, epoch: number) {
  const ofEpoch = sceneOf(this).arrivedOrders.filter((order) => order.epoch === epoch);
  assert.deepEqual(ofEpoch, []);
});

const loggedAs = ({ logged }: Scene, name: EventName) =>
  logged.filter((entry) => entry.name === name);

Then("{int} order is recorded as withheld", function (this: object, count: number) {
  const scene = sceneOf(this);
  assert.equal(loggedAs(scene, "orderWithheld").length, count);
  assert.equal(loggedAs(scene, "orderAnswered").length, 0);
  const labels = { action: "unload" };
  assert.equal(scene.metrics.counterValue("linkfall_orders_withheld_total", labels), count);
});

Then(
  "the first answered order had {int} ms of the lease left and waited {int} ms",
  function (this: object, leaseLeftMs: number, waitedMs: number) {
    const [answered] = loggedAs(sceneOf(this), "orderAnswered");
    assert.equal(answered.detail.leaseLeftMs, leaseLeftMs);
    assert.equal(answered.detail.waitedMs, waitedMs);
  },
);

Then("the lease is notified that epoch {int} was refused", function (this: object, epoch: number) {
  assert.ok(sceneOf(this).refusedEpochs.includes(epoch));
});

Then("in any 5 s at most {int} loads from the store start", function (this: object, max: number) {
  const { storeLoadTimes } = sceneOf(this);
  assert.ok(storeLoadTimes.length > 0);
  for (const from of storeLoadTimes) {
    const within = storeLoadTimes.filter((at) => at >= from && at < from + 5_000);
    assert.ok(within.length <= max, `${within.length} loads from ${from}`);
  }
});

function randomOutcome(random: Random): OrderOutcome {
  const choice = random.nextInt(5);
  if (choice === 0) return "lost";
  if (choice === 1) return { lateMs: 200 + random.nextInt(6_000) };
  return "accepted";
}

/** Only bounds the real time of the run on a busy machine; the scenario runs on a virtual clock. */
const manySeeds = { timeout: 120_000 };

Then(
  "for {int} seeds of lost and late orders no engine exceeds its memory",
  manySeeds,
  async (seeds: number) => {
    for (let seed = 1; seed <= seeds; seed++) {
      const random = seededRandom(seed);
      const scene = createScene(["e1", "e2", "e3"], ["a"], splitNames("a b c d"));
      await scene.dispatcher?.start();
      for (let step = 0; step < 10; step++) {
        for (let index = 0; index < 4; index++) scene.outcomes.push(randomOutcome(random));
        addWaitingRequests(
          scene,
          scene.modelNames[random.nextInt(scene.modelNames.length)],
          random.nextInt(20),
        );
        await runFor(scene, 500 + random.nextInt(2_000));
      }
      for (const engine of scene.engines)
        assert.ok(!engine.exceededMemory, `seed ${seed} ${engine.id}`);
      await scene.dispatcher?.stop();
    }
  },
);

Then(
  "{string} is expected to be ready within {int} ms",
  function (this: object, name: string, ms: number) {
    const scene = sceneOf(this);
    // The second replica started loading later, so it is ready later.
    assert.equal(scene.orders.filter(({ order }) => order.model === name).length, 2);
    const expected = scene.dispatcher?.timesToReady()[`${service} ${name}`];
    // Loads on busy engines are expected to take longer than declared.
    const overrun = 1.15;
    const first = Math.min(...scene.orders.map(({ at }) => at));
    assert.ok(expected !== undefined && expected <= ms);
    assert.ok(expected <= Math.ceil(first + scene.loadMs * overrun - scene.clock.now()));
  },
);

Then("loads have been planned in the last {int} ms", function (this: object, ms: number) {
  const { dispatcher, clock } = sceneOf(this);
  assert.ok(dispatcher);
  assert.ok(dispatcher.decidedAt() >= clock.now() - ms, String(dispatcher.decidedAt()));
});

Then("no loads have been planned in this term", function (this: object) {
  assert.equal(sceneOf(this).dispatcher?.decidedAt(), -Infinity);
});
