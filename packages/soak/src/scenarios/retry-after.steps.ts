import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { CallerResponse } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { requestsByKind, sendAndWait } from "./crashing-requests.steps.js";
import { worldOf } from "./idle-deployment.js";

const callIntervalMs = 200;

Given(
  "one target of the service rejects calls with a retry-after of {int} s",
  function (this: object, seconds: number) {
    worldOf(this).services[0].retryAfter = String(seconds);
  },
);

Given(
  "every target of the service rejects calls with a retry-after of {int} s",
  function (this: object, seconds: number) {
    for (const service of worldOf(this).services) service.retryAfter = String(seconds);
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

Then("that target received at most one call from each box", function (this: object) {
  const { services, boxes } = worldOf(this);
  const { receivedCalls } = services[0];
  assert.ok(receivedCalls > 0 && receivedCalls <= boxes.length, `${receivedCalls} calls`);
});

Then("every call was answered with {int}", function (this: object, status: number) {
  const answers = scenarioState(this).get<CallerResponse[]>("answers of the service");
  assert.deepEqual([...new Set(answers.map((answer) => answer.status))], [status]);
});

Then("each target received at most one call from each box", function (this: object) {
  const { services, boxes } = worldOf(this);
  for (const { receivedCalls } of services)
    assert.ok(receivedCalls <= boxes.length, `${receivedCalls} calls`);
});

/** Retry-After of a refusal without better knowledge, in seconds. */
const defaultRetrySeconds = 1;

Then(
  "every call was refused with 503, and told to return when the first target accepts calls",
  function (this: object) {
    const answers = scenarioState(this).get<CallerResponse[]>("answers of the service");
    assert.deepEqual([...new Set(answers.map(({ status }) => status))], [503]);
    const lastTimes = answers.slice(-3).map(({ headers }) => Number(headers["retry-after"]));
    assert.ok(
      lastTimes.every((seconds) => seconds > defaultRetrySeconds),
      `told to return in ${lastTimes.join(", ")} s`,
    );
  },
);
