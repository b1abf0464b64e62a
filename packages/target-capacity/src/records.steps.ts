import assert from "node:assert/strict";
import { Before, Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, seededRandom, type VirtualClock } from "@linkfall/kernel";
import { type CapacityChange, createTargetCapacities, type TargetCapacities } from "./index.js";

interface Box {
  readonly capacities: TargetCapacities;
  readonly changes: CapacityChange[];
}

interface Scene {
  readonly clock: VirtualClock;
  readonly boxes: Map<string, Box>;
}

const scenes = new WeakMap<object, Scene>();
const targets = ["slow", "t1", "t2", "t3", "t4"];
const rounds = 60;
const roundMs = 100;
const kind = "plain";

Before(function (this: object) {
  scenes.set(this, { clock: createVirtualClock(), boxes: new Map() });
});

const sceneOf = (world: object) => scenes.get(world) as Scene;

function boxOf(world: object, name: string): Box {
  const { clock, boxes } = sceneOf(world);
  const changes: CapacityChange[] = [];
  const box = boxes.get(name) ?? {
    capacities: createTargetCapacities(clock, { onChange: (change) => changes.push(change) }),
    changes,
  };
  boxes.set(name, box);
  return box;
}

async function observeRounds(world: object, name: string, slowMs: number): Promise<void> {
  const { clock } = sceneOf(world);
  const { capacities } = boxOf(world, name);
  for (let round = 0; round < rounds; round++) {
    for (const target of targets) {
      const durationMs = target === "slow" ? slowMs : 100;
      const observer = `b${round % 5}`;
      capacities.observe({ target, kind, observer, concurrency: 1, amount: 1, durationMs });
    }
    await clock.runUntil(clock.now() + roundMs);
  }
}

Given(
  "box {string} has observed target {string} at {int} ms and four others at 100 ms",
  async function (this: object, name: string, _target: string, slowMs: number) {
    await observeRounds(this, name, slowMs);
  },
);

Given(
  "box {string} has observed prompts of 100 to 8000 tokens that took {float} ms and {float} ms per token",
  function (this: object, name: string, fixedMs: number, perTokenMs: number) {
    const random = seededRandom(5);
    const { capacities } = boxOf(this, name);
    for (let index = 0; index < 400; index++) {
      const amount = 100 + random.nextInt(7_900);
      const durationMs = (fixedMs + perTokenMs * amount) * (0.9 + 0.2 * random.nextFloat());
      const observer = `b${index % 5}`;
      capacities.observe({
        target: targets[index % 5],
        kind: "prefill",
        observer,
        concurrency: 1,
        amount,
        durationMs,
      });
    }
  },
);

When(
  "box {string} gets the records of box {string}",
  function (this: object, to: string, from: string) {
    boxOf(this, to).capacities.applyRecords(from, boxOf(this, from).capacities.recordsSince(0));
  },
);

When("box {string} forgets target {string}", function (this: object, name: string, target: string) {
  boxOf(this, name).capacities.forget(target);
});

When(
  "target {string} rejects a request at a concurrency of {int} at box {string}",
  function (this: object, target: string, concurrency: number, name: string) {
    boxOf(this, name).capacities.observeRejection(target, concurrency);
  },
);

/** Reports running work every 20 ms; `endOthers` is called as often. */
async function runLong(
  world: object,
  target: string,
  name: string,
  count: number,
  ms: number,
  endOthers: () => void = () => undefined,
): Promise<void> {
  const { clock } = sceneOf(world);
  const { capacities } = boxOf(world, name);
  for (let elapsedMs = 20; elapsedMs <= ms; elapsedMs += 20) {
    await clock.runUntil(clock.now() + 20);
    for (let index = 0; index < count; index++) {
      const work = { target, kind, observer: `b${index}`, concurrency: 3, amount: 1 };
      capacities.observeRunning(work, elapsedMs);
    }
    endOthers();
  }
}

When(
  "{int} requests at target {string} have been running for {int} ms at box {string}",
  async function (this: object, count: number, target: string, ms: number, name: string) {
    await runLong(this, target, name, count, ms);
  },
);

When(
  "{int} requests at target {string} have been running for {int} ms at box {string} while others end after {int} ms",
  async function (
    this: object,
    count: number,
    target: string,
    ms: number,
    name: string,
    durationMs: number,
  ) {
    const { capacities } = boxOf(this, name);
    await runLong(this, target, name, count, ms, () =>
      capacities.observe({ target, kind, observer: "b4", concurrency: 3, amount: 1, durationMs }),
    );
  },
);

When(
  "box {string} observes {int} targets once each",
  function (this: object, name: string, count: number) {
    const { capacities } = boxOf(this, name);
    for (let index = 0; index < count; index++) {
      const observer = `b${index % 5}`;
      const target = `x${index}`;
      capacities.observe({ target, kind, observer, concurrency: 1, amount: 1, durationMs: 100 });
    }
  },
);

Then(
  "box {string} knows target {string} at a speed of {float} and expects {int} ms there",
  function (this: object, name: string, target: string, speed: number, ms: number) {
    const { capacities } = boxOf(this, name);
    assert.ok(Math.abs(capacities.relativeSpeed(target) - speed) < 0.05);
    const expectedMs = capacities.expectedMs(target, kind, 1, 1);
    assert.ok(Math.abs(expectedMs - ms) < 0.1 * ms, String(expectedMs));
  },
);

Then(
  "box {string} knows target {string} at a speed {word} {float}",
  function (this: object, name: string, target: string, side: string, bound: number) {
    const speed = boxOf(this, name).capacities.relativeSpeed(target);
    assert.ok(side === "below" ? speed < bound : speed > bound, String(speed));
  },
);

Then("box {string} has no further records for it", function (this: object, name: string) {
  const { capacities } = boxOf(this, name);
  const { sequence } = capacities.recordsSince(0);
  const { targets: records, kinds } = capacities.recordsSince(sequence);
  assert.deepEqual([records, kinds], [[], []]);
});

Then(
  "box {string} sends all of its records to a box that has them up to sequence {int}",
  function (this: object, name: string, sequence: number) {
    const { capacities } = boxOf(this, name);
    assert.deepEqual(capacities.recordsSince(sequence), capacities.recordsSince(0));
    assert.equal(capacities.recordsSince(0).targets.length, targets.length);
  },
);

Then(
  "the last change that box {string} reported of target {string} is a speed of {float}",
  function (this: object, name: string, target: string, speed: number) {
    const last = boxOf(this, name).changes.filter((change) => change.target === target);
    assert.equal(last.at(-1)?.relativeSpeed, speed);
  },
);

Then("box {string} reports no change while durations stay", async function (this: object, name) {
  const { changes } = boxOf(this, name as string);
  const before = changes.length;
  await observeRounds(this, name as string, 500);
  assert.equal(changes.length, before);
});

Then(
  "the useful concurrency of target {string} at box {string} is {int}, and {int} after {int} s",
  async function (
    this: object,
    target: string,
    name: string,
    first: number,
    later: number,
    seconds: number,
  ) {
    const { clock } = sceneOf(this);
    const { capacities } = boxOf(this, name);
    assert.equal(capacities.usefulConcurrency(target, 6), first);
    await clock.runUntil(clock.now() + seconds * 1000);
    assert.equal(capacities.usefulConcurrency(target, 6), later);
  },
);

Then(
  "box {string} expects {int} ms for {int} tokens and {int} ms for {int} tokens, within 5 %",
  function (this: object, name: string, fewMs: number, few: number, manyMs: number, many: number) {
    const { capacities } = boxOf(this, name);
    const close = (tokens: number, ms: number) =>
      Math.abs(capacities.expectedMs("t1", "prefill", tokens, 1) - ms) < 0.05 * ms;
    assert.ok(close(few, fewMs) && close(many, manyMs));
  },
);

Then(
  "box {string} has records of at most {int} targets",
  function (this: object, name: string, most: number) {
    const { capacities } = boxOf(this, name);
    assert.ok(capacities.recordsSince(0).targets.length <= most);
  },
);
