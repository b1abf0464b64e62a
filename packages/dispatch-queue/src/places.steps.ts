import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, seededRandom, type VirtualClock } from "@linkfall/kernel";
import { createDispatchQueue, type DispatchDecision, type DispatchQueue } from "./index.js";
import { knownCapacities } from "./known-capacities.steps.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly queue: DispatchQueue;
  readonly decisions: { box: string; decision: DispatchDecision }[];
  withdrawLast: () => void;
}

const scenes = new WeakMap<object, Scene>();
const slots = 2;
const workMs = 100;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

interface Asked {
  readonly box: string;
  readonly account?: string;
  readonly objectiveLeftMs?: number;
  readonly timeLeftMs?: number;
}

function submit(scene: Scene, { box, account, objectiveLeftMs = 480, timeLeftMs = 2_400 }: Asked) {
  scene.withdrawLast = scene.queue.submit(
    {
      service: "s",
      kind: "k",
      box,
      account,
      priority: 0,
      objectiveMs: 480,
      objectiveLeftMs,
      timeLeftMs,
      candidates: [{ target: "t1", slots, sameDomain: true }],
    },
    (decision) => scene.decisions.push({ box, decision }),
  );
}

const granted = ({ decisions }: Scene) =>
  decisions.filter(({ decision }) => decision.kind === "granted");

const retryTimes = ({ decisions }: Scene) =>
  decisions.flatMap(({ decision }) =>
    decision.kind === "rejected" ? [decision.retryAfterMs] : [],
  );

Given("a dispatcher of {int} target", function (this: object, targets: number) {
  const clock = createVirtualClock();
  const specs = Array.from({ length: targets }, () => ({
    slots,
    speed: 1,
    slowBeyond: Infinity,
  }));
  const capacities = knownCapacities(specs, workMs);
  const queue = createDispatchQueue(clock, seededRandom(1), capacities, {
    accountWeights: new Map(),
  });
  scenes.set(this, { clock, queue, decisions: [], withdrawLast: () => undefined });
});

Given("it adopts {int} requests in flight", function (this: object, inFlight: number) {
  sceneOf(this).queue.adopt(new Map([["t1", { inFlight, promptTokens: 0 }]]));
});

When(
  "{int} requests of box {string} are submitted",
  function (this: object, count: number, box: string) {
    for (let index = 0; index < count; index++) submit(sceneOf(this), { box });
  },
);

When("{int} requests of different accounts are submitted", function (this: object, count: number) {
  for (let index = 0; index < count; index++)
    submit(sceneOf(this), { box: "b1", account: `a${index}` });
});

When(
  "a request arrives with {int} ms left, which is late by {int} ms",
  function (this: object, timeLeftMs: number, lateMs: number) {
    submit(sceneOf(this), { box: "retry", objectiveLeftMs: -lateMs, timeLeftMs });
  },
);

When("box {string} is gone", function (this: object, box: string) {
  sceneOf(this).queue.dropBox(box);
});

When("{int} ms pass at the dispatcher", async function (this: object, ms: number) {
  const { clock } = sceneOf(this);
  await clock.runUntil(clock.now() + ms);
});

When("the last request is withdrawn", function (this: object) {
  sceneOf(this).withdrawLast();
});

When("the first request ends", function (this: object) {
  const scene = sceneOf(this);
  const [{ decision }] = granted(scene);
  assert.ok(decision.kind === "granted");
  scene.queue.end({ place: decision.place, result: "served", ms: workMs });
});

Then("{int} requests are granted", function (this: object, expected: number) {
  assert.equal(granted(sceneOf(this)).length, expected);
});

Then("{int} requests are rejected", function (this: object, expected: number) {
  assert.equal(retryTimes(sceneOf(this)).length, expected);
});

Then("{int} requests wait", function (this: object, expected: number) {
  assert.equal(sceneOf(this).queue.summary().waiting, expected);
});

Then("at most {int} requests wait", function (this: object, expected: number) {
  assert.ok(sceneOf(this).queue.summary().waiting <= expected);
});

Then("{int} places have expired", function (this: object, expected: number) {
  assert.equal(sceneOf(this).queue.summary().expired, expected);
});

Then("{int} places are in use", function (this: object, expected: number) {
  assert.equal(sceneOf(this).queue.summary().inFlight, expected);
});

Then("the last grant is for box {string}", function (this: object, expected: string) {
  assert.equal(granted(sceneOf(this)).at(-1)?.box, expected);
});

Then("the rejected ones retry at times that grow on average", function (this: object) {
  const times = retryTimes(sceneOf(this));
  assert.ok(times.length >= 10, `${times.length} rejections`);
  const half = times.length >> 1;
  const mean = (part: number[]) => part.reduce((sum, ms) => sum + ms, 0) / part.length;
  assert.ok(mean(times.slice(0, half)) < mean(times.slice(half)), times.join(" "));
});

Then("no two of them retry within {int} ms", function (this: object, ms: number) {
  const times = retryTimes(sceneOf(this)).sort((a, b) => a - b);
  for (let index = 1; index < times.length; index++)
    assert.ok(times[index] - times[index - 1] >= ms, times.join(" "));
});

Then("at most {int} accounts are in the summary", function (this: object, expected: number) {
  assert.ok(sceneOf(this).queue.summary().accounts.length <= expected);
});
