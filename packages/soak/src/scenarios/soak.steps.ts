import assert from "node:assert/strict";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { streams } from "@linkfall/ports";
import { stateStoreName } from "@linkfall/state-store";
import { scenarioState } from "@linkfall/test-support";
import type { FaultName } from "./faults.js";
import { type Account, type Resource, resourceKey } from "@linkfall/types";
import { type AccountName, domains, soakResources, tokenOf } from "./resources.js";
import { operatorToken } from "./settings.js";
import { createIdleDeployment, modelCount, probeAllModels, worldOf } from "./idle-deployment.js";
import { runSeed } from "./run-seed.js";
import { playSession } from "./session.js";
import type { World, WorldBox } from "./world.js";

const goldenFile = "packages/soak/src/scenarios/session.golden.txt";
setDefaultTimeout(180_000);

const reproduceCommand = (seed: number) => `repeat with: npm run soak -- --seeds ${seed}..${seed}`;

Then("a run with seed {int} and all faults breaks no promise", async (seed: number) => {
  const result = await runSeed(seed);
  assert.deepEqual(result.violations, [], reproduceCommand(seed));
});

Then(
  "a run with seed {int} and the fault {string} breaks no promise",
  async (seed: number, fault: string) => {
    const result = await runSeed(seed, { faults: [fault as FaultName] });
    assert.deepEqual(result.violations, [], `${reproduceCommand(seed)} --faults ${fault}`);
  },
);

Given("a deployment at rest", async function (this: object) {
  await createIdleDeployment(this);
});

Given("a deployment at rest that writes no snapshots", async function (this: object) {
  const platform = { snapshot_every_records: 1_000_000, snapshot_every_ms: 86_400_000 };
  await createIdleDeployment(this, { platform });
});

When("the log goes down and a box joins", async function (this: object) {
  const world = worldOf(this);
  world.log.faults.down = true;
  scenarioState(this).set("box", await world.startBox("b4"));
});

Then("the new box serves every model within 5 s", async function (this: object) {
  const world = worldOf(this);
  await world.clock.runUntil(world.clock.now() + 5_000);
  const told = await probeAllModels(world, scenarioState(this).get<WorldBox>("box"));
  assert.deepEqual(told, Array(modelCount).fill("answered"));
});

When(
  "every box is gone, the log has dropped its oldest records, and a new box starts",
  async function (this: object) {
    const world = worldOf(this);
    for (const box of [...world.boxes]) world.removeBox(box);
    world.log.truncate(streams.state, 3);
    scenarioState(this).set("box", await world.startBox("b4"));
    await world.clock.runUntil(world.clock.now() + 10_000);
  },
);

Then(
  "the new box refuses with {string} and does not take itself for ready",
  async function (this: object, code: string) {
    const box = scenarioState(this).get<WorldBox>("box");
    assert.equal(box.box.kernel.find(stateStoreName).ready(), false);
    const response = await box.box.callers.handle({
      method: "GET",
      path: "/v1/entries",
      headers: {},
      body: new Uint8Array(),
      signal: new AbortController().signal,
    });
    const { error } = JSON.parse(Buffer.from(response.body as Uint8Array).toString("utf8"));
    assert.equal(error.code, code);
  },
);

When(
  "a box is paused, every engine but one begins to leave, and callers ask the box 4 s later",
  async function (this: object) {
    const world = worldOf(this);
    const [box] = world.boxes;
    box.process.pause();
    for (const engine of world.engines.slice(1)) {
      engine.core.leaving = true;
      engine.leavingSince = world.clock.now();
    }
    await world.clock.runUntil(world.clock.now() + 4_000);
    const probed = probeAllModels(world, box);
    box.process.resume();
    await probed;
  },
);

Then("no leaving engine got new work", function (this: object) {
  assert.deepEqual(worldOf(this).violations, []);
});

When("a caller of a long stream goes after its first token", async function (this: object) {
  const world = worldOf(this);
  const caller = new AbortController();
  const asked = world.boxes[0].box.callers.handle({
    method: "POST",
    path: "/v1/completions",
    headers: { authorization: `Bearer ${tokenOf("dispatch")}`, "linkfall-deadline-ms": "60000" },
    body: Buffer.from(
      JSON.stringify({ model: "m0", prompt: "long", max_tokens: 400, stream: true }),
    ),
    signal: caller.signal,
  });
  await world.clock.runUntil(world.clock.now() + 1_000);
  assert.equal((await asked).status, 200);
  assert.equal(countEngineRequests(world), 1);
  caller.abort();
});

Then("no engine works on anything 1 s later", async function (this: object) {
  const world = worldOf(this);
  await world.clock.runUntil(world.clock.now() + 1_000);
  assert.equal(countEngineRequests(world), 0);
});

/** Requests that run or wait at the engines. */
function countEngineRequests(world: World): number {
  const reports = world.engines.map(({ core }) => core.report());
  return reports.reduce((sum, { running, queued }) => sum + running + queued, 0);
}

When("the engines of one failure domain are lost", function (this: object) {
  for (const engine of worldOf(this).engines) {
    if (engine.core.engine.domain !== domains[0]) continue;
    engine.down = true;
    engine.core.restart();
  }
});

Then(
  "every model is ready again within 30 s and no more than 8 loads ran at once",
  async function (this: object) {
    const world = worldOf(this);
    await world.clock.runUntil(world.clock.now() + 30_000);
    const told = await probeAllModels(world, world.boxes[0]);
    assert.deepEqual(told, Array(modelCount).fill("answered"));
    assert.ok(world.weights.peakConcurrentLoads() <= 8);
    assert.deepEqual(world.violations, []);
  },
);

When(
  "an account of {int} requests a second sends {int} a second to {int} boxes for {int} s",
  async function (this: object, rate: number, sent: number, count: number, seconds: number) {
    const world = worldOf(this);
    const resource = { ...accountResource("dispatch"), requestsPerSecond: rate };
    await putResource(world, resource);
    const start = world.clock.now();
    const half = start + (seconds * 1_000) / 2;
    let admitted = 0;
    const sendOne = async (box: WorldBox) => {
      const lateEnough = world.clock.now() >= half;
      const response = await world.call(box, {
        method: "GET",
        path: "/services/feed/snippets",
        headers: { authorization: `Bearer ${tokenOf("dispatch")}` },
        body: new Uint8Array(),
        signal: new AbortController().signal,
      });
      if (response && !(response.body instanceof Uint8Array)) {
        for await (const part of response.body) assert.ok(part.isRight());
      }
      if (lateEnough && response?.status === 200) admitted += 1;
    };
    for (let index = 0; index < sent * seconds; index++) {
      await world.clock.runUntil(start + (index * 1_000) / sent);
      void sendOne(world.boxes[index % count]);
    }
    await world.clock.runUntil(world.clock.now() + 1_000);
    scenarioState(this).set("admittedRate", (admitted * 2) / seconds);
  },
);

Then(
  "between {int} and {int} a second were let through in the last 15 s",
  function (this: object, least: number, most: number) {
    const rate = scenarioState(this).get<number>("admittedRate");
    assert.ok(rate >= least && rate <= most, `${rate} a second`);
  },
);

/** Declares one resource over what stands. */
async function putResource(world: World, resource: Resource): Promise<void> {
  const stored = world.boxes[0].box.kernel.find(stateStoreName).state().resources;
  const base = stored.get(resourceKey(resource))?.revision ?? 0;
  void world.boxes[0].box.operators.handle({
    method: "POST",
    path: "/v1/writes",
    headers: { authorization: `Bearer ${operatorToken}` },
    body: Buffer.from(JSON.stringify({ changes: [{ action: "put", resource, base }] })),
    signal: new AbortController().signal,
  });
  await world.clock.runUntil(world.clock.now() + 3_000);
}

function accountResource(name: AccountName): Account {
  const found = soakResources().find((entry) => entry.kind === "account" && entry.name === name);
  assert.ok(found?.kind === "account");
  return found;
}

Then("the session's trace agrees with session.golden.txt", async () => {
  const trace = await playSession();
  if (process.env.UPDATE_GOLDEN === "1" || !existsSync(goldenFile))
    writeFileSync(goldenFile, trace);
  assert.equal(trace, readFileSync(goldenFile, "utf8"));
});
