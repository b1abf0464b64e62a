import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { type BoundedLogger, createBoundedLogger } from "./bounded-logger.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly logger: BoundedLogger;
  readonly out: Writable;
  readonly lines: string[];
}

const scenes = new WeakMap<object, Scene>();
const bufferBytes = 100_000;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

function begin(world: object, linesPerSecond: number, reads: boolean): void {
  const clock = createVirtualClock();
  const lines: string[] = [];
  const out = new Writable({
    decodeStrings: false,
    write(line: string, _encoding, done) {
      lines.push(line);
      // An output that nobody reads never says that it is done.
      if (reads) done();
    },
  });
  const logger = createBoundedLogger(clock, "b1", out, {
    level: "info",
    linesPerSecond,
    bufferBytes,
  });
  scenes.set(world, { clock, logger, out, lines });
}

Given("a bounded logger on an output that nobody reads", function (this: object) {
  begin(this, 1_000_000, false);
});

Given("a bounded logger with {int} lines a second", function (this: object, rate: number) {
  begin(this, rate, true);
});

function logEnded(world: object, count: number): void {
  for (let index = 0; index < count; index++) {
    sceneOf(world).logger.event("requestEnded", { request: `r${index}`, outcome: "answered" });
  }
}

When(
  /^(\d+) requests are logged as ended(?: within a second)?$/,
  function (this: object, count: string) {
    logEnded(this, Number(count));
  },
);

When(
  "a second passes and {int} request is logged as ended",
  async function (this: object, count: number) {
    await sceneOf(this).clock.runUntil(1_001);
    logEnded(this, count);
  },
);

When("{int} ejections are logged within a second", function (this: object, count: number) {
  for (let index = 0; index < count; index++) sceneOf(this).logger.event("targetEjected");
});

Then(
  "the output holds at most its bound and the rest is counted as left out",
  function (this: object) {
    const { out, logger } = sceneOf(this);
    const longestLine = 1_000;
    assert.ok(out.writableLength <= bufferBytes + longestLine);
    assert.ok(logger.dropped() > 10_000);
  },
);

Then("{int} lines are written", function (this: object, count: number) {
  assert.equal(sceneOf(this).lines.length, count);
});

Then("the last line tells of {int} left out", function (this: object, count: number) {
  const last = JSON.parse(sceneOf(this).lines.at(-1) ?? "{}") as { leftOut?: number };
  assert.equal(last.leftOut, count);
});
