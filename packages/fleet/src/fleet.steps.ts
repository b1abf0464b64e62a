import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { clockName, createKernel, createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { loggerName, recordingLogger } from "@linkfall/logger";
import type { ListedTarget } from "@linkfall/types";
import { createFleet, type Fleet, holds } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly fleet: Fleet;
}

const scenes = new WeakMap<object, Scene>();
const service = "s";
const stepMs = 100;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

function listed(id: string, leaving = false): ListedTarget {
  return { id, service, address: `10.0.0.1:${id.length}`, domain: "d", slots: 4, leaving };
}

const words = (text: string) => text.split(" ");

Given("a fleet with targets {string} of one service", function (this: object, ids: string) {
  const clock = createVirtualClock();
  const kernel = createKernel();
  kernel.provide(clockName, clock);
  kernel.provide(
    loggerName,
    recordingLogger(() => undefined),
  );
  const fleet = createFleet(kernel, {
    lapse: { graceMs: 1_600, share: 0.3 },
    ejection: { failuresInARow: 3, firstMs: 1_000, longestMs: 8_000 },
  });
  fleet.takeList(words(ids).map((id) => listed(id)));
  scenes.set(this, { clock, fleet });
});

When("{string} is listed as leaving", function (this: object, id: string) {
  sceneOf(this).fleet.takeEntry(listed(id, true));
});

When("{string} is listed as ready", function (this: object, id: string) {
  sceneOf(this).fleet.takeEntry(listed(id));
});

When("the entry of {string} goes", function (this: object, id: string) {
  sceneOf(this).fleet.dropEntry(id);
});

async function pass(world: object, ms: number, storeDisturbed: boolean): Promise<void> {
  const { clock, fleet } = sceneOf(world);
  const end = clock.now() + ms;
  while (clock.now() < end) {
    await clock.runUntil(Math.min(end, clock.now() + stepMs));
    fleet.expireLapsed(storeDisturbed);
  }
}

When("{int} ms pass", function (this: object, ms: number) {
  return pass(this, ms, false);
});

When("{int} ms pass without the store", function (this: object, ms: number) {
  return pass(this, ms, true);
});

When("{string} fails {int} times", function (this: object, id: string, times: number) {
  for (let index = 0; index < times; index++) sceneOf(this).fleet.failed(id, "test");
});

When("nobody listens at {string}", function (this: object, id: string) {
  sceneOf(this).fleet.unreachable(id, "test");
});

When(
  "{string} says after {int} orders that it holds {string}",
  function (this: object, id: string, sequence: number, model: string) {
    const models = [{ name: model, version: 1, adapters: [] }];
    sceneOf(this).fleet.takeHoldings(id, { sequence, models });
  },
);

When(
  "{string} is about to be dropped at {string}",
  function (this: object, model: string, id: string) {
    sceneOf(this).fleet.withhold(new Map([[id, [model]]]));
  },
);

When(
  "{string} refuses {string} for {int} ms",
  function (this: object, id: string, model: string, ms: number) {
    sceneOf(this).fleet.deny(id, model, ms);
  },
);

When("{string} denies {string}", function (this: object, id: string, model: string) {
  sceneOf(this).fleet.deny(id, model);
});

Then("{string} may get requests", function (this: object, ids: string) {
  const usable = sceneOf(this).fleet.usable(service);
  assert.deepEqual(
    usable.map((belief) => belief.listed.id),
    words(ids),
  );
});

function believed(world: object, id: string, model: string): boolean {
  const { fleet, clock } = sceneOf(world);
  const belief = fleet.find(id);
  assert.ok(belief);
  return holds(belief, model, undefined, clock.now());
}

Then(
  "{string} is believed to hold {string} and not {string}",
  function (this: object, id: string, held: string, other: string) {
    assert.ok(believed(this, id, held));
    assert.ok(!believed(this, id, other));
  },
);

Then(
  "{string} is believed not to hold {string}",
  function (this: object, id: string, model: string) {
    assert.ok(!believed(this, id, model));
  },
);
