import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { type BoundedLogger, createBoundedLogger } from "./bounded-logger.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly logger: BoundedLogger;
  readonly out: Writable;
  /** Texts as they were written, each of one line or more. */
  readonly writes: string[];
}

const scenes = new WeakMap<object, Scene>();
const bufferBytes = 100_000;
const maxFlushDelayMs = 100;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

/** All lines that have been written, once those that wait are. */
function flushedLines(world: object): readonly string[] {
  const { logger, writes } = sceneOf(world);
  logger.flush();
  return writes.flatMap((text) => text.trimEnd().split("\n"));
}

function createScene(world: object, linesPerSecond: number, outputIsRead: boolean): void {
  const clock = createVirtualClock();
  const writes: string[] = [];
  const out = new Writable({
    decodeStrings: false,
    write(text: string, _encoding, done) {
      writes.push(text);
      // An output that nobody reads never says that it is done.
      if (outputIsRead) done();
    },
  });
  const logger = createBoundedLogger(clock, "b1", out, {
    level: "info",
    linesPerSecond,
    bufferBytes,
    maxFlushDelayMs: maxFlushDelayMs,
  });
  scenes.set(world, { clock, logger, out, writes });
}

Given("a bounded logger on an output that nobody reads", function (this: object) {
  createScene(this, 1_000_000, false);
});

Given("a bounded logger with {int} lines a second", function (this: object, rate: number) {
  createScene(this, rate, true);
});

function logRequestEnds(world: object, count: number): void {
  for (let index = 0; index < count; index++) {
    sceneOf(world).logger.event("requestEnded", { request: `r${index}`, outcome: "answered" });
  }
}

When(
  /^(\d+) requests are logged as ended(?: within a second)?$/,
  function (this: object, count: string) {
    logRequestEnds(this, Number(count));
  },
);

When(
  "a second passes and {int} request is logged as ended",
  async function (this: object, count: number) {
    await sceneOf(this).clock.runUntil(1_001);
    logRequestEnds(this, count);
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
    assert.ok(logger.droppedLines() > 10_000);
  },
);

Then("{int} lines are written", function (this: object, count: number) {
  assert.equal(flushedLines(this).length, count);
});

When("the time to gather lines passes", async function (this: object) {
  await sceneOf(this).clock.runUntil(maxFlushDelayMs + 1);
});

Then("the output was written to {int} time(s)", function (this: object, count: number) {
  assert.equal(sceneOf(this).writes.length, count);
});

Then("the last line tells of {int} left out", function (this: object, count: number) {
  const last = JSON.parse(flushedLines(this).at(-1) ?? "{}") as { leftOut?: number };
  assert.equal(last.leftOut, count);
});
