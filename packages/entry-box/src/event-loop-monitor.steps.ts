import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Clock } from "@linkfall/kernel";
import { createMetrics } from "@linkfall/metrics";
import { monitorEventLoop } from "./event-loop-monitor.js";

interface Timer {
  readonly dueAt: number;
  readonly action: () => void;
  cancelled: boolean;
}

/** A clock whose timers fire only when the test advances it, possibly late. */
interface LateClock extends Clock {
  /** Sets the time, then fires all timers that are due. */
  advanceTo(time: number): void;
}

interface Scene {
  readonly clock: LateClock;
  readonly monitored: Clock;
  readonly loggedDelays: number[];
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
    advanceTo(time) {
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
const noop = () => undefined;

Given("a monitored event loop", function (this: object) {
  const clock = createLateClock();
  const loggedDelays: number[] = [];
  const logger = {
    event: (_name: string, detail?: Readonly<Record<string, unknown>>) =>
      void loggedDelays.push(Number(detail?.delayMs)),
  };
  const monitored = monitorEventLoop({ clock, logger, metrics: createMetrics() });
  scenes.set(this, { clock, monitored, loggedDelays });
});

When("a timer fires {int} ms late", function (this: object, lateMs: number) {
  const { clock, monitored } = sceneOf(this);
  monitored.after(delayMs, noop);
  clock.advanceTo(clock.now() + delayMs + lateMs);
});

When(
  "timers due within {int} ms of each other fire together {int} ms late",
  function (this: object, withinMs: number, lateMs: number) {
    const { clock, monitored } = sceneOf(this);
    for (let offsetMs = 0; offsetMs <= withinMs; offsetMs += 10)
      monitored.after(delayMs + offsetMs, noop);
    clock.advanceTo(clock.now() + delayMs + lateMs);
  },
);

When(
  "a timer is cancelled and its due time passes by {int} ms",
  function (this: object, lateMs: number) {
    const { clock, monitored } = sceneOf(this);
    monitored.after(delayMs, noop)();
    clock.advanceTo(clock.now() + delayMs + lateMs);
  },
);

Then("no delay is logged", function (this: object) {
  assert.deepEqual(sceneOf(this).loggedDelays, []);
});

Then("a delay of {int} ms is logged", function (this: object, ms: number) {
  assert.deepEqual(sceneOf(this).loggedDelays, [ms]);
});

Then(
  "delays of {int} and {int} ms are logged",
  function (this: object, first: number, second: number) {
    assert.deepEqual(sceneOf(this).loggedDelays, [first, second]);
  },
);
