import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import {
  createModelDemandMeter,
  type ModelDemandMeter,
  type ModelDemand,
  sumDemand,
} from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly meters: readonly ModelDemandMeter[];
  readonly ends: (() => void)[];
}

const scenes = new WeakMap<object, Scene>();
const wanted = { service: "s", model: "m" };

function begin(world: object, meters: number): Scene {
  const clock = createVirtualClock();
  const made = Array.from({ length: meters }, () => createModelDemandMeter(clock));
  const scene = { clock, meters: made, ends: [] };
  scenes.set(world, scene);
  return scene;
}

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const requestDemand = { objectiveMs: 400, readingMs: 20 };

function demandOf(world: object): ModelDemand {
  const [demand] = sumDemand(sceneOf(world).meters.map((meter) => meter.read()));
  return demand;
}

Given("a meter in which {int} requests for m begin", function (this: object, count: number) {
  const { meters, ends } = begin(this, 1);
  for (let index = 0; index < count; index++)
    ends.push(meters[0].recordRequest(wanted, requestDemand));
});

Given(
  "two meters in which {int} requests for m begin each",
  function (this: object, count: number) {
    const { meters, ends } = begin(this, 2);
    for (const meter of meters) {
      for (let index = 0; index < count; index++)
        ends.push(meter.recordRequest(wanted, requestDemand));
    }
  },
);

Given(
  "a meter in which {int} requests wait for m and {int} for its adapter x",
  function (this: object, plain: number, adapted: number) {
    const { meters, ends } = begin(this, 1);
    for (let index = 0; index < plain; index++) ends.push(meters[0].recordWait(wanted));
    for (let index = 0; index < adapted; index++) {
      ends.push(meters[0].recordWait({ ...wanted, adapter: "x" }));
    }
  },
);

Given(
  "a meter in which {int} requests a second for m are refused",
  async function (this: object, count: number) {
    const { meters, clock } = begin(this, 1);
    const seconds = 5;
    for (let index = 0; index < count * seconds; index++) {
      meters[0].recordRequest(wanted, requestDemand)();
      await clock.runUntil(clock.now() + 1_000 / count);
    }
  },
);

Given(
  "a meter in which requests for m come at {int} a second for {int} s and then at {int}",
  async function (this: object, before: number, seconds: number, after: number) {
    const { meters, clock } = begin(this, 1);
    const come = async (perSecond: number, count: number) => {
      for (let index = 0; index < count; index++) {
        meters[0].recordRequest(wanted, requestDemand)();
        await clock.runUntil(clock.now() + 1_000 / perSecond);
      }
    };
    await come(before, before * seconds);
    await come(after, after);
  },
);

Then("its rate is more than {int} times that of before", function (this: object, times: number) {
  const { rate, earlierRate } = demandOf(this);
  assert.ok(rate > earlierRate * times, `${rate} against ${earlierRate}`);
});

Then(
  "its prompts would take between {float} and {float} of an engine",
  function (this: object, least: number, most: number) {
    const { reading } = demandOf(this);
    assert.ok(reading >= least && reading <= most, String(reading));
  },
);

When("{int} s pass", function (this: object, seconds: number) {
  const { clock } = sceneOf(this);
  return clock.runUntil(clock.now() + seconds * 1_000);
});

When("the requests end and {int} s pass", function (this: object, seconds: number) {
  const { clock, ends } = sceneOf(this);
  for (const end of ends) end();
  return clock.runUntil(clock.now() + seconds * 1_000);
});

When("the waits end twice", function (this: object) {
  for (const end of sceneOf(this).ends) {
    end();
    end();
  }
});

function assertInFlight(world: object, least: number, most: number): void {
  const { inFlight } = demandOf(world);
  assert.ok(inFlight >= least && inFlight <= most, String(inFlight));
}

Then(
  "m has between {int} and {int} requests in flight",
  function (this: object, least: number, most: number) {
    assertInFlight(this, least, most);
  },
);

Then(
  "together m has between {int} and {int} requests in flight",
  function (this: object, least: number, most: number) {
    assertInFlight(this, least, most);
  },
);

Then(
  "m has between {int} and {int} requests in flight and was last asked for {int} s ago",
  function (this: object, least: number, most: number, seconds: number) {
    assertInFlight(this, least, most);
    assert.equal(demandOf(this).idleMs, seconds * 1_000);
  },
);

Then(
  "the meter tells of {int} waiting for m and {int} for its adapter x",
  function (this: object, plain: number, adapted: number) {
    const demand = demandOf(this);
    assert.equal(demand.waiting, plain);
    assert.equal(demand.waitingAdapters.x ?? 0, adapted);
  },
);
