import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import {
  createModelDemandMeter,
  type ModelDemand,
  type ModelDemandMeter,
  sumDemand,
} from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly meters: readonly ModelDemandMeter[];
  readonly endCallbacks: (() => void)[];
}

const scenes = new WeakMap<object, Scene>();
const weights = { service: "s", model: "m" };

function createScene(world: object, meterCount: number): Scene {
  const clock = createVirtualClock();
  const meters = Array.from({ length: meterCount }, () => createModelDemandMeter(clock));
  const scene = { clock, meters, endCallbacks: [] };
  scenes.set(world, scene);
  return scene;
}

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const requestDemand = { objectiveMs: 400, prefillMs: 20 };

function demandOf(world: object): ModelDemand {
  const [demand] = sumDemand(sceneOf(world).meters.map((meter) => meter.read()));
  return demand;
}

Given("a meter with {int} running requests for m", function (this: object, count: number) {
  const { meters, endCallbacks } = createScene(this, 1);
  for (let index = 0; index < count; index++)
    endCallbacks.push(meters[0].recordRequest(weights, requestDemand));
});

Given("two meters with {int} running requests for m each", function (this: object, count: number) {
  const { meters, endCallbacks } = createScene(this, 2);
  for (const meter of meters) {
    for (let index = 0; index < count; index++)
      endCallbacks.push(meter.recordRequest(weights, requestDemand));
  }
});

Given(
  "a meter with {int} requests waiting for m and {int} for its adapter x",
  function (this: object, modelWaits: number, adapterWaits: number) {
    const { meters, endCallbacks } = createScene(this, 1);
    for (let index = 0; index < modelWaits; index++)
      endCallbacks.push(meters[0].recordWait(weights));
    for (let index = 0; index < adapterWaits; index++) {
      endCallbacks.push(meters[0].recordWait({ ...weights, adapter: "x" }));
    }
  },
);

Given(
  "a meter that records {int} refused requests per second for m",
  async function (this: object, count: number) {
    const { meters, clock } = createScene(this, 1);
    const seconds = 5;
    for (let index = 0; index < count * seconds; index++) {
      meters[0].recordRequest(weights, requestDemand)();
      await clock.runUntil(clock.now() + 1_000 / count);
    }
  },
);

When("{int} of its requests are refused", function (this: object, count: number) {
  const { meters } = sceneOf(this);
  for (let index = 0; index < count; index++) meters[0].recordRefusal(weights);
});

Then(
  "between {float} and {float} requests per second are reported as refused",
  function (this: object, min: number, max: number) {
    const { refused = 0 } = demandOf(this);
    assert.ok(refused >= min && refused <= max, String(refused));
  },
);

Given(
  "a meter that records {int} requests per second for m for {int} s and then {int} per second",
  async function (this: object, initialRate: number, seconds: number, finalRate: number) {
    const { meters, clock } = createScene(this, 1);
    const sendRequests = async (perSecond: number, count: number) => {
      for (let index = 0; index < count; index++) {
        meters[0].recordRequest(weights, requestDemand)();
        await clock.runUntil(clock.now() + 1_000 / perSecond);
      }
    };
    await sendRequests(initialRate, initialRate * seconds);
    await sendRequests(finalRate, finalRate);
  },
);

Then("its rate is more than {int} times the baseline rate", function (this: object, times: number) {
  const { rate, earlierRate } = demandOf(this);
  assert.ok(rate > earlierRate * times, `rate ${rate}, baseline ${earlierRate}`);
});

Then(
  "its prompts would occupy between {float} and {float} of an engine",
  function (this: object, min: number, max: number) {
    const { reading } = demandOf(this);
    assert.ok(reading >= min && reading <= max, String(reading));
  },
);

When("{int} s pass", function (this: object, seconds: number) {
  const { clock } = sceneOf(this);
  return clock.runUntil(clock.now() + seconds * 1_000);
});

When("the requests end and {int} s pass", function (this: object, seconds: number) {
  const { clock, endCallbacks } = sceneOf(this);
  for (const end of endCallbacks) end();
  return clock.runUntil(clock.now() + seconds * 1_000);
});

When("the waits end twice", function (this: object) {
  for (const end of sceneOf(this).endCallbacks) {
    end();
    end();
  }
});

function assertInFlight(world: object, min: number, max: number): void {
  const { inFlight } = demandOf(world);
  assert.ok(inFlight >= min && inFlight <= max, String(inFlight));
}

Then(
  "m has between {int} and {int} requests in flight",
  function (this: object, min: number, max: number) {
    assertInFlight(this, min, max);
  },
);

Then(
  "m has between {int} and {int} requests in flight in total",
  function (this: object, min: number, max: number) {
    assertInFlight(this, min, max);
  },
);

Then(
  "m has between {int} and {int} requests in flight and was last requested {int} s ago",
  function (this: object, min: number, max: number, seconds: number) {
    assertInFlight(this, min, max);
    assert.equal(demandOf(this).idleMs, seconds * 1_000);
  },
);

Then(
  "the meter reports {int} requests waiting for m and {int} for its adapter x",
  function (this: object, modelWaits: number, adapterWaits: number) {
    const demand = demandOf(this);
    assert.equal(demand.waiting, modelWaits);
    assert.equal(demand.waitingAdapters.x ?? 0, adapterWaits);
  },
);

Given(
  "a meter with {int} requests waiting for m at version {word} and {int} for its adapter x there",
  function (this: object, modelWaits: number, softwareVersion: string, adapterWaits: number) {
    const { meters, endCallbacks } = createScene(this, 1);
    const wait = (adapter?: string) =>
      endCallbacks.push(meters[0].recordWait({ ...weights, adapter, softwareVersion }));
    for (let index = 0; index < modelWaits; index++) wait();
    for (let index = 0; index < adapterWaits; index++) wait("x");
  },
);

Then(
  "two such meters report {int} requests waiting for m at version {word} and {int} for its adapter x there",
  function (this: object, modelWaits: number, softwareVersion: string, adapterWaits: number) {
    const demand = sceneOf(this).meters[0].read();
    const [{ confinedWaits }] = sumDemand([demand, demand]);
    assert.deepEqual(confinedWaits, [
      { softwareVersion, adapter: undefined, waiting: modelWaits },
      { softwareVersion, adapter: "x", waiting: adapterWaits },
    ]);
  },
);

Then("the meter reports no requests that wait at a version", function (this: object) {
  assert.equal(demandOf(this).confinedWaits, undefined);
});
