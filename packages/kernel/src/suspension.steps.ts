import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createElapsedReader } from "./clock.js";

interface Scene {
  monotonicMs: number;
  wallMs: number;
  readonly startedAt: number;
  readonly elapsed: () => number;
}

const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

/** Advances the clocks and reads them, because suspensions are detected between two reads. */
function advance(world: object, monotonicMs: number, wallMs: number): void {
  const scene = sceneOf(world);
  scene.monotonicMs += monotonicMs;
  scene.wallMs += wallMs;
  scene.elapsed();
}

Given("a monotonic clock and a wall clock that are in sync", function (this: object) {
  const readMonotonic = () => sceneOf(this).monotonicMs;
  const readWall = () => Math.round(sceneOf(this).wallMs);
  const scene: Scene = {
    monotonicMs: 100,
    wallMs: 1_700_000_000_000,
    startedAt: 100,
    elapsed: () => elapsed(),
  };
  scenes.set(this, scene);
  const elapsed = createElapsedReader(readMonotonic, readWall);
});

When("both clocks advance by {int} ms", function (this: object, ms: number) {
  advance(this, ms, ms);
});

When("the machine is suspended for {int} ms", function (this: object, ms: number) {
  advance(this, 0, ms);
});

When("the wall clock is set back by {int} ms", function (this: object, ms: number) {
  advance(this, 0, -ms);
});

When(
  "the wall clock gains {int} ms each {int} ms, {int} times",
  function (this: object, gainMs: number, intervalMs: number, count: number) {
    for (let index = 0; index < count; index++) advance(this, intervalMs, intervalMs + gainMs);
  },
);

Then(
  "the monotonic time is {int} ms and the elapsed time is {int} ms",
  function (this: object, expectedMonotonicMs: number, expectedElapsedMs: number) {
    const { monotonicMs, startedAt, elapsed } = sceneOf(this);
    assert.equal(monotonicMs - startedAt, expectedMonotonicMs);
    assert.equal(elapsed() - startedAt, expectedElapsedMs);
  },
);
