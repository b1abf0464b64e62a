import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { createGracefulShutdown, type GracefulShutdown } from "./planned-stop.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly shutdown: GracefulShutdown;
  readonly startedAt: number;
}

const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

Given("a shutdown with a grace period of {int} ms", function (this: object, graceMs: number) {
  const clock = createVirtualClock();
  const shutdown = createGracefulShutdown(clock, {
    callers: { max_header_bytes: 1_024, entries_lifetime_ms: 1_500 },
    stop: { grace_ms: graceMs },
  });
  scenes.set(this, { clock, shutdown, startedAt: clock.now() });
});

When("the shutdown began {int} ms ago", async function (this: object, ms: number) {
  const { clock, shutdown, startedAt } = sceneOf(this);
  shutdown.begin();
  await clock.runUntil(startedAt + ms);
});

Then(
  /^a request with an objective of (\d+) ms and a time limit of (\d+) ms is (taken|not taken)$/,
  function (this: object, objectiveMs: string, timeLimitMs: string, outcome: string) {
    const { clock, shutdown } = sceneOf(this);
    const request = {
      route: { objectiveMs: Number(objectiveMs) },
      deadlineAt: clock.now() + Number(timeLimitMs),
    };
    assert.equal(shutdown.accepts(request), outcome === "taken");
  },
);
