import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createStreamGapMeter, createWorkCostMeter, type WorkCostMeter } from "./index.js";

const perRequestMs = 30;
const promptTokens = 1_000;
const meterOf = (world: object) => scenarioState(world).get<WorkCostMeter>("meter");

Given(
  "a target with a prefill time of {float} ms per token",
  function (this: object, perTokenMs: number) {
    const costs = { perTokenMs, perRequestMs, perResponseMs: 300, crossDomainMs: 8 };
    scenarioState(this).set("meter", createWorkCostMeter(costs));
    scenarioState(this).set("expectedMs", perRequestMs + perTokenMs * promptTokens);
  },
);

function observeResponses(world: object, count: number, lateMs: number): void {
  const expectedMs = scenarioState(world).get<number>("expectedMs");
  for (let index = 0; index < count; index++) {
    meterOf(world).observeFirstBytes("service", "t", promptTokens, expectedMs + lateMs);
  }
}

When(/^(\d+) answers? comes? as expected$/, function (this: object, count: string) {
  observeResponses(this, Number(count), 0);
});

When(/^(\d+) answers? comes? (\d+) ms late$/, function (this: object, count: string, ms: string) {
  observeResponses(this, Number(count), Number(ms));
});

const prefillMs = (world: object) =>
  meterOf(world).costsAt("service", "t").perTokenMs * promptTokens;

Then(
  "the expected prefill time of 1000 tokens is at most {int} ms",
  function (this: object, ms: number) {
    assert.ok(prefillMs(this) <= ms, String(prefillMs(this)));
  },
);

Then(
  "the expected prefill time of 1000 tokens is at least {int} ms",
  function (this: object, ms: number) {
    assert.ok(prefillMs(this) >= ms, String(prefillMs(this)));
  },
);

const clock = createVirtualClock();
const streamGaps = createStreamGapMeter(clock);

When("the streams of a target have gaps of {int} ms", (ms: number) => {
  for (let index = 0; index < 10; index++) streamGaps.observe("t", ms);
});

When("{int} ms pass without an event", async (ms: number) => {
  await clock.runUntil(clock.now() + ms);
});

Then("its recent stream gap is {int} ms", (ms: number) => {
  assert.equal(streamGaps.recentGapMs("t"), ms);
});
