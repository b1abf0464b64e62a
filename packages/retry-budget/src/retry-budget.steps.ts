import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createRetryBudget } from "./index.js";

const service = "s";

Given(
  "{int} boxes that share {int} retries and a fifth of their requests over 10 s",
  function (this: object, boxes: number, slack: number) {
    const clock = createVirtualClock();
    const bound = { ratio: 0.2, slack, windowMs: 10_000 };
    const budgets = Array.from({ length: boxes }, () => createRetryBudget(clock, bound));
    scenarioState(this).set("fleet", { clock, budgets, slack });
  },
);

interface BudgetFleet {
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly budgets: readonly ReturnType<typeof createRetryBudget>[];
  readonly slack: number;
}
const fleetOf = (world: object) => scenarioState(world).get<BudgetFleet>("fleet");

When(
  "each box sees {int} requests a second for {int} s and retries as often as it may",
  async function (this: object, rate: number, seconds: number) {
    const { clock, budgets } = fleetOf(this);
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
  "no window of 10 s has more than 54 retries and a fifth of its requests",
  function (this: object) {
    const { retries, requests } = scenarioState(this).get<Record<string, number[]>>("seen");
    const { slack } = fleetOf(this);
    const within = (times: number[], from: number) =>
      times.filter((time) => time >= from && time < from + 10_000).length;
    for (let from = 0; from <= 20_000; from += 250) {
      assert.ok(within(retries, from) <= slack + 0.2 * within(requests, from));
    }
  },
);

Then("one box may retry at most {int} times at once", function (this: object, most: number) {
  const { budgets } = fleetOf(this);
  let taken = 0;
  while (budgets[0].tryTake(service, budgets.length)) taken += 1;
  assert.ok(taken >= 1 && taken <= most);
});
