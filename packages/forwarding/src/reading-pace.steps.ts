import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { createReadingPace, type ReadingPace } from "./reading-pace.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly pace: ReadingPace;
  readonly pauseMs: Milliseconds;
  waits: Milliseconds[];
}

const scenes = new WeakMap<object, Scene>();
const target = "e1";

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

Given("streams that bear pauses of {int} ms", function (this: object, pauseMs: number) {
  const clock = createVirtualClock();
  scenes.set(this, { clock, pace: createReadingPace(clock), pauseMs, waits: [] });
});

function send(scene: Scene, count: number, readingMs: Milliseconds, share: number): void {
  const { pace, pauseMs } = scene;
  const prompt = { readingMs, share, pauseMs };
  scene.waits = Array.from({ length: count }, () => {
    const told = pace.waitMs(target, prompt);
    const waited = pace.take(target, prompt);
    assert.equal(waited, told);
    return waited;
  });
}

When(
  "{int} prompts of {int} ms are to go to a target of which this box has all requests",
  function (this: object, count: number, readingMs: number) {
    send(sceneOf(this), count, readingMs, 1);
  },
);

When(
  "{int} prompts of {int} ms are to go to a target of which this box has a quarter of the requests",
  function (this: object, count: number, readingMs: number) {
    send(sceneOf(this), count, readingMs, 1 / 4);
  },
);

When("{int} ms pass at the target", function (this: object, ms: number) {
  const { clock } = sceneOf(this);
  return clock.runUntil(clock.now() + ms);
});

Then("the first {int} wait {int} ms", function (this: object, count: number, ms: number) {
  const first = sceneOf(this).waits.slice(0, count);
  assert.deepEqual(
    first,
    first.map(() => ms),
  );
});

Then(
  "each of the others waits about {int} ms longer than the one before",
  function (this: object, ms: number) {
    const waiting = sceneOf(this).waits.filter((wait) => wait > 0);
    assert.ok(waiting.length > 1);
    for (let index = 1; index < waiting.length; index++) {
      assert.ok(Math.abs(waiting[index] - waiting[index - 1] - ms) <= 1);
    }
  },
);
