import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { CallerResponse } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { requestsByKind, sendAndWait } from "./crashing-requests.steps.js";
import { worldOf } from "./idle-deployment.js";

/** Between two calls. */
const callIntervalMs = 200;

Given(
  "one target of the service asks to be left alone for {int} s",
  function (this: object, seconds: number) {
    worldOf(this).services[0].retryAfter = String(seconds);
  },
);

When(
  "{string} sends {int} calls of the service, at all boxes by turns",
  async function (this: object, account: "dispatch", count: number) {
    const world = worldOf(this);
    const answers: CallerResponse[] = [];
    for (let index = 0; index < count; index++) {
      const box = world.boxes[index % world.boxes.length];
      const call = requestsByKind["a call of the service"](`call ${index}`);
      answers.push(await sendAndWait(world, box, account, call, callIntervalMs));
    }
    scenarioState(this).set("answers of the service", answers);
  },
);

Then("that target got no more than one call from each box", function (this: object) {
  const { services, boxes } = worldOf(this);
  const { receivedCalls: arrivals } = services[0];
  assert.ok(arrivals > 0 && arrivals <= boxes.length, `${arrivals} calls`);
});

Then("every call was answered {int}", function (this: object, status: number) {
  const answers = scenarioState(this).get<CallerResponse[]>("answers of the service");
  assert.deepEqual([...new Set(answers.map((answer) => answer.status))], [status]);
});
