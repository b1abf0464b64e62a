import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Clock } from "@linkfall/kernel";
import { createMetrics } from "@linkfall/metrics";
import { monitorEventLoop } from "./loop-watch.js";

interface Timer {
  readonly dueAt: number;
  readonly action: () => void;
  cancelled: boolean;
}

/** A clock whose timers fire when the test says so, however late. */
interface LateClock extends Clock {
  /** Lets the time come, then fires all timers that are due. */
  comeTo(time: number): void;
}

interface Scene {
  readonly clock: LateClock;
  readonly watched: Clock;
  readonly holdUps: number[];
}

const scenes = new WeakMap<object, Scene>();

function createLateClock(): LateClock {
  let now = 0;
  let timers: Timer[] = [];
  return {
    now: () => now,
    elapsed: () => now,
    wallTime: () => "",
    after(delay, action) {
      const timer = { dueAt: now + delay, action, cancelled: false };
      timers.push(timer);
      return () => void (timer.cancelled = true);
    },
    comeTo(time) {
      now = time;
      const due = timers.filter(({ dueAt }) => dueAt <= now);
      timers = timers.filter(({ dueAt }) => dueAt > now);
      for (const { cancelled, action } of due) if (!cancelled) action();
    },
  };
}

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const delayMs = 50;
const nothing = () => undefined;

Given("a watched loop", function (this: object) {
  const clock = createLateClock();
  const holdUps: number[] = [];
  const logger = {
    event: (_name: string, detail?: Readonly<Record<string, unknown>>) =>
      void holdUps.push(Number(detail?.delayMs)),
  };
  const watched = monitorEventLoop({ clock, logger, metrics: createMetrics() });
  scenes.set(this, { clock, watched, holdUps });
});

When("a timer fires {int} ms late", function (this: object, lateMs: number) {
  const { clock, watched } = sceneOf(this);
  watched.after(delayMs, nothing);
  clock.comeTo(clock.now() + delayMs + lateMs);
});

When(
  "timers that are due within {int} ms fire together {int} ms late",
  function (this: object, withinMs: number, lateMs: number) {
    const { clock, watched } = sceneOf(this);
    for (let more = 0; more <= withinMs; more += 10) watched.after(delayMs + more, nothing);
    clock.comeTo(clock.now() + delayMs + lateMs);
  },
);

When(
  "a timer is cancelled and its time passes by {int} ms",
  function (this: object, lateMs: number) {
    const { clock, watched } = sceneOf(this);
    watched.after(delayMs, nothing)();
    clock.comeTo(clock.now() + delayMs + lateMs);
  },
);

Then("no hold-up is logged", function (this: object) {
  assert.deepEqual(sceneOf(this).holdUps, []);
});

Then("a hold-up of {int} ms is logged", function (this: object, ms: number) {
  assert.deepEqual(sceneOf(this).holdUps, [ms]);
});

Then(
  "hold-ups of {int} and {int} ms are logged",
  function (this: object, first: number, second: number) {
    assert.deepEqual(sceneOf(this).holdUps, [first, second]);
  },
);
