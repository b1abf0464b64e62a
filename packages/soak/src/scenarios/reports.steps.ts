import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { targetWatchName } from "@linkfall/target-watch";
import { createCallers } from "./callers.js";
import { soakModel } from "./resources.js";
import { createIdleDeployment, modelCount, probeAllModels, worldOf } from "./idle-deployment.js";

Given(
  "a deployment at rest in which one box reads each engine for all",
  async function (this: object) {
    await createIdleDeployment(this, { targets: { report_readers: 1 } });
  },
);

When("a box is cut from the engines that it reads for all", function (this: object) {
  const world = worldOf(this);
  const [cut] = world.boxes;
  const { readersOf } = cut.box.kernel.find(targetWatchName);
  const read = world.engines.filter(({ core }) => readersOf(core.engine).includes(cut.name));
  assert.ok(read.length > 0);
  for (const { core } of read) world.network.cut(cut.name, core.engine.name);
});

Then("the other boxes serve every model {int} s later", async function (this: object, s: number) {
  const world = worldOf(this);
  await world.clock.runUntil(world.clock.now() + s * 1_000);
  for (const box of world.boxes.slice(1)) {
    const told = await probeAllModels(world, box);
    assert.deepEqual(told, Array(modelCount).fill("answered"));
  }
});

When("all engines but one leave", function (this: object) {
  const world = worldOf(this);
  for (const engine of world.engines.slice(1)) {
    engine.core.leaving = true;
    engine.leavingSince = world.clock.now();
  }
});

Then(
  "no engine gets new work {int} s after it began to leave",
  async function (this: object, s: number) {
    const world = worldOf(this);
    const until = world.clock.now() + 2 * s * 1_000;
    while (world.clock.now() < until) {
      const callers = createCallers(world);
      for (const box of world.boxes) {
        for (const index of [0, 2, 4, 6, 8])
          void callers.probe(box, "dispatch", soakModel(index).name);
      }
      await world.clock.runUntil(world.clock.now() + 200);
    }
    assert.deepEqual(world.violations, []);
  },
);
