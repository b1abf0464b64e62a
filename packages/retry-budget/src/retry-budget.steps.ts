import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createRetryBudget } from "./index.js";

const service = "s";

Given(
  "{int} boxes that share {int} retries plus a fifth of their requests per 10 s",
  function (this: object, boxes: number, baseRetries: number) {
    const clock = createVirtualClock();
    const limit = { ratio: 0.2, baseRetries, windowMs: 10_000 };
    const budgets = Array.from({ length: boxes }, () => createRetryBudget(clock, limit));
    scenarioState(this).set("fleet", { clock, budgets, baseRetries });
  },
);

interface BudgetWorld {
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly budgets: readonly ReturnType<typeof createRetryBudget>[];
  readonly baseRetries: number;
}
const worldOf = (world: object) => scenarioState(world).get<BudgetWorld>("fleet");

When(
  "each box gets {int} requests per second for {int} s and uses its whole budget",
  async function (this: object, rate: number, seconds: number) {
    const { clock, budgets } = worldOf(this);
    const retries: number[] = [];
    const requests: number[] = [];
    for (let step = 0; step < rate * seconds; step++) {
      for (const budget of budgets) {
        budget.recordRequest(service);
        requests.push(clock.now());
        while (budget.tryTake(service, budgets.length)) retries.push(clock.now());
      }
      await clock.runUntil(clock.now() + 1_000 / rate);
    }
    scenarioState(this).set("seen", { retries, requests });
  },
);

Then(
  "no window of 10 s has more than 54 retries plus a fifth of its requests",
  function (this: object) {
    const { retries, requests } = scenarioState(this).get<Record<string, number[]>>("seen");
    const { baseRetries } = worldOf(this);
    const within = (times: number[], from: number) =>
      times.filter((time) => time >= from && time < from + 10_000).length;
    for (let from = 0; from <= 20_000; from += 250) {
      assert.ok(within(retries, from) <= baseRetries + 0.2 * within(requests, from));
    }
  },
);

Then("one box gets at most {int} retries at once", function (this: object, maxRetries: number) {
  const { budgets } = worldOf(this);
  let taken = 0;
  while (budgets[0].tryTake(service, budgets.length)) taken += 1;
  assert.ok(taken >= 1 && taken <= maxRetries);
});
