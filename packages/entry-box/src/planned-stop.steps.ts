import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { createGracefulShutdown, type GracefulShutdown } from "./planned-stop.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly stop: GracefulShutdown;
  readonly startedAt: number;
}

const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

Given("a stop with {int} ms of grace", function (this: object, graceMs: number) {
  const clock = createVirtualClock();
  const stop = createGracefulShutdown(clock, {
    callers: { max_header_bytes: 1_024, entries_lifetime_ms: 1_500 },
    stop: { grace_ms: graceMs },
  });
  scenes.set(this, { clock, stop, startedAt: clock.now() });
});

When("the stop has begun {int} ms ago", async function (this: object, ms: number) {
  const { clock, stop, startedAt } = sceneOf(this);
  stop.begin();
  await clock.runUntil(startedAt + ms);
});

Then(
  /^an? (stream|answer) with an objective of (\d+) ms is (taken|not taken)$/,
  function (this: object, kind: string, objectiveMs: string, taken: string) {
    const route = { streaming: kind === "stream", objectiveMs: Number(objectiveMs) };
    assert.equal(sceneOf(this).stop.accepts(route), taken === "taken");
  },
);
