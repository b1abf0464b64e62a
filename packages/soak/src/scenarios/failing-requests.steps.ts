import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { tokenOf } from "./resources.js";
import type { World } from "./world.js";

const planted = new Error("planted");
const worldOf = (world: object) => scenarioState(world).get<World>("world");

When("the handling of a request throws an exception", async function (this: object) {
  const [{ box }] = worldOf(this).boxes;
  const handled = box.callers.handle({
    method: "POST",
    path: "/v1/completions",
    headers: { authorization: `Bearer ${tokenOf("dispatch")}` },
    get body(): Buffer {
      throw planted;
    },
    signal: new AbortController().signal,
  });
  await assert.rejects(handled, planted);
});

When("its box is drained for {int} ms", async function (this: object, ms: number) {
  const { clock, boxes } = worldOf(this);
  let stopped = false;
  void boxes[0].box.drain().then(() => (stopped = true));
  await clock.runUntil(clock.now() + ms);
  scenarioState(this).set("stopped", stopped);
});

Then("the box has stopped", function (this: object) {
  assert.equal(scenarioState(this).get("stopped"), true);
});
