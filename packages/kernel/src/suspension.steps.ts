import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createElapsedReader } from "./clock.js";

interface Scene {
  steady: number;
  wall: number;
  readonly startedAt: number;
  readonly elapsed: () => number;
}

const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

/** Clocks are read each time that something has happened, as a box reads them some times a second. */
function pass(world: object, steadyMs: number, wallMs: number): void {
  const scene = sceneOf(world);
  scene.steady += steadyMs;
  scene.wall += wallMs;
  scene.elapsed();
}

Given("a steady clock and a wall clock that agree", function (this: object) {
  const steady = () => sceneOf(this).steady;
  const wall = () => Math.round(sceneOf(this).wall);
  const scene: Scene = {
    steady: 100,
    wall: 1_700_000_000_000,
    startedAt: 100,
    elapsed: () => elapsed(),
  };
  scenes.set(this, scene);
  const elapsed = createElapsedReader(steady, wall);
});

When("{int} ms go by on both", function (this: object, ms: number) {
  pass(this, ms, ms);
});

When("the machine is suspended for {int} ms", function (this: object, ms: number) {
  pass(this, 0, ms);
});

When("the wall clock is set back by {int} ms", function (this: object, ms: number) {
  pass(this, 0, -ms);
});

When(
  "the wall clock gains {int} ms each {int} ms, {int} times",
  function (this: object, gain: number, each: number, times: number) {
    for (let time = 0; time < times; time++) pass(this, each, each + gain);
  },
);

Then(
  "{int} ms have gone by, and {int} ms where suspensions count",
  function (this: object, steadyMs: number, elapsedMs: number) {
    const { steady, startedAt, elapsed } = sceneOf(this);
    assert.equal(steady - startedAt, steadyMs);
    assert.equal(elapsed() - startedAt, elapsedMs);
  },
);
