import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { membershipName } from "@linkfall/membership";
import { scenarioState } from "@linkfall/test-support";
import { createOperators } from "./operators.js";
import { soakModel } from "./resources.js";
import { operatorToken } from "./settings.js";
import { worldOf } from "./idle-deployment.js";
import { createWorld, type World, type WorldBox } from "./world.js";

const fleetWarmUpMs = 30_000;

Given(
  /^(\d+) boxes that each send one heartbeat per round(?:, and are suspected after (\d+) s)?$/,
  async function (this: object, boxes: string, suspectedAfter: string | null) {
    const count = Number(boxes);
    const suspect_ms = suspectedAfter === null ? 4_000 : Number(suspectedAfter) * 1_000;
    const membership = { fanout: 1, suspect_ms, forget_ms: 56_000 + suspect_ms };
    const world = createWorld(3, { settings: { membership } });
    for (let index = 1; index <= count; index++) await world.startBox(`b${index}`);
    void createOperators(world).writeInitialState();
    await world.clock.runUntil(fleetWarmUpMs);
    scenarioState(this).set("world", world);
  },
);

When(
  "the log is down for {int} s, more than twice the time that an isolated box may serve",
  async function (this: object, seconds: number) {
    const world = worldOf(this);
    world.log.faults.down = true;
    await world.clock.runUntil(world.clock.now() + seconds * 1_000);
  },
);

When(
  "{int} boxes are partitioned from the log and the other boxes for {int} s",
  async function (this: object, count: number, seconds: number) {
    const world = worldOf(this);
    const others = [...world.boxes.slice(count).map(({ name }) => name), "log", "list"];
    for (const { name } of world.boxes.slice(0, count)) {
      for (const other of others) {
        world.network.cut(name, other);
        world.network.cut(other, name);
      }
    }
    await world.clock.runUntil(world.clock.now() + seconds * 1_000);
  },
);

When(
  "a box joins after the log has been down for {int} s",
  async function (this: object, seconds: number) {
    const world = worldOf(this);
    world.log.faults.down = true;
    await world.clock.runUntil(world.clock.now() + seconds * 1_000);
    scenarioState(this).set("box", await world.startBox("b4"));
  },
);

When(
  "{int} s later it is partitioned from all others for {int} s",
  async function (this: object, after: number, seconds: number) {
    const world = worldOf(this);
    await world.clock.runUntil(world.clock.now() + after * 1_000);
    const { name } = scenarioState(this).get<WorldBox>("box");
    for (const other of [...world.boxes.map((box) => box.name), "log", "list"]) {
      world.network.cut(name, other);
      world.network.cut(other, name);
    }
    await world.clock.runUntil(world.clock.now() + seconds * 1_000);
  },
);

Then("it rejects requests and the others serve", function (this: object) {
  assert.deepEqual(findIsolatedBoxes(worldOf(this)), [scenarioState(this).get<WorldBox>("box")]);
});

const findIsolatedBoxes = (world: World) =>
  world.boxes.filter(({ box }) => box.kernel.find(membershipName).isolated());

Then("every box still serves", function (this: object) {
  assert.equal(findIsolatedBoxes(worldOf(this)).length, 0);
});

Then("those {int} reject requests and the others serve", function (this: object, count: number) {
  const world = worldOf(this);
  assert.deepEqual(findIsolatedBoxes(world), world.boxes.slice(0, count));
});

When("the box list goes down and every box is replaced", async function (this: object) {
  const world = worldOf(this);
  world.list.down = true;
  const names = world.boxes.map((box) => box.name);
  for (const box of [...world.boxes]) world.removeBox(box);
  for (const name of names) await world.startBox(name);
});

Then(
  "within {int} s every box sees every other as alive",
  async function (this: object, seconds: number) {
    const world = worldOf(this);
    await world.clock.runUntil(world.clock.now() + seconds * 1_000);
    const aliveCounts = world.boxes.map(
      (box) => box.box.kernel.find(membershipName).alive().length,
    );
    assert.deepEqual(aliveCounts, Array(world.boxes.length).fill(world.boxes.length));
  },
);

When(
  "the log has been down for {int} s and an operator writes through each box",
  async function (this: object, seconds: number) {
    const world = worldOf(this);
    world.log.faults.down = true;
    await world.clock.runUntil(world.clock.now() + seconds * 1_000);
    const resource = { ...soakModel(9), kind: "model", name: "m99" } as const;
    const body = Buffer.from(JSON.stringify({ changes: [{ action: "put", resource, base: 0 }] }));
    const answers: string[] = [];
    scenarioState(this).set("told", answers);
    for (const { box } of world.boxes) {
      const headers = { authorization: `Bearer ${operatorToken}` };
      const { signal: gone } = new AbortController();
      void box.operators
        .handle({ method: "POST", path: "/v1/writes", headers, body, signal: gone })
        .then((answer) => answers.push(Buffer.from(answer.body as Uint8Array).toString("utf8")));
    }
  },
);

Then(
  "each write is answered within {int} s with an unknown outcome",
  async function (this: object, seconds: number) {
    const world = worldOf(this);
    await world.clock.runUntil(world.clock.now() + seconds * 1_000);
    const kinds = scenarioState(this)
      .get<string[]>("told")
      .map((text) => JSON.parse(text).kind);
    assert.deepEqual(kinds, Array(world.boxes.length).fill("unknown"));
  },
);
