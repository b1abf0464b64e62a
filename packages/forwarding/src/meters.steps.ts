import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createStreamGapMeter, createWorkCostMeter, type WorkCostMeter } from "./index.js";

const perRequestMs = 30;
const promptTokens = 1_000;
const meterOf = (world: object) => scenarioState(world).get<WorkCostMeter>("meter");

Given("a target that reads a token in {float} ms", function (this: object, perTokenMs: number) {
  const costs = { perTokenMs, perRequestMs, perAnswerMs: 300, crossDomainMs: 8 };
  scenarioState(this).set("meter", createWorkCostMeter(costs));
  scenarioState(this).set("usualMs", perRequestMs + perTokenMs * promptTokens);
});

function answers(world: object, count: number, lateMs: number): void {
  const usualMs = scenarioState(world).get<number>("usualMs");
  for (let index = 0; index < count; index++) {
    meterOf(world).observeFirstBytes("service", "t", promptTokens, usualMs + lateMs);
  }
}

When(/^(\d+) answers? comes? as expected$/, function (this: object, count: string) {
  answers(this, Number(count), 0);
});

When(/^(\d+) answers? comes? (\d+) ms late$/, function (this: object, count: string, ms: string) {
  answers(this, Number(count), Number(ms));
});

const readingMs = (world: object) =>
  meterOf(world).costsAt("service", "t").perTokenMs * promptTokens;

Then(
  "a prompt of 1000 tokens is expected to be read within {int} ms",
  function (this: object, ms: number) {
    assert.ok(readingMs(this) <= ms, String(readingMs(this)));
  },
);

Then(
  "a prompt of 1000 tokens is expected to be read after {int} ms or more",
  function (this: object, ms: number) {
    assert.ok(readingMs(this) >= ms, String(readingMs(this)));
  },
);

const clock = createVirtualClock();
const pace = createStreamGapMeter(clock);

When("a target's streams wait {int} ms between events", (ms: number) => {
  for (let index = 0; index < 10; index++) pace.observe("t", ms);
});

When("{int} ms have passed", async (ms: number) => {
  await clock.runUntil(clock.now() + ms);
});

Then("its recent pause is {int} ms", (ms: number) => {
  assert.equal(pace.recentGapMs("t"), ms);
});
