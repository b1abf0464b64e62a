import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { quotaLoads } from "./quota-load.js";
import { type QuotaResult, runQuota } from "./quota-run.js";
import { quotaWays } from "./quota-ways.js";

interface PlayedLoad extends QuotaResult {
  /** Boxes are cut off in it. */
  readonly cut: boolean;
}

/** Virtual time; a busy machine may still take a while. */
const stepTimeout = { timeout: 120_000 };

async function playLoads(world: object, seeds: number, way: string): Promise<void> {
  const results: PlayedLoad[] = [];
  for (const load of quotaLoads) {
    for (let seed = 1; seed <= seeds; seed++) {
      const result = await runQuota(load, quotaWays[way], seed);
      results.push({ ...result, cut: load.cut !== undefined });
    }
  }
  scenarioState(world).set("results", results);
}

When(
  "every load is played {int} times with {string}",
  stepTimeout,
  function (this: object, seeds: number, way: string) {
    return playLoads(this, seeds, way);
  },
);

When("every load is played once with {string}", stepTimeout, function (this: object, way: string) {
  return playLoads(this, 1, way);
});

const resultsOf = (world: object) => scenarioState(world).get<PlayedLoad[]>("results");
const fullestOf = (world: object) =>
  Math.max(...resultsOf(world).map(({ fullestWindow }) => fullestWindow));
const mostRefused = (results: readonly PlayedLoad[]) =>
  Math.max(...results.map(({ refusedWithin }) => refusedWithin)) * 100;

Then("no window lets through more than the limit and its tolerance", function (this: object) {
  assert.ok(fullestOf(this) <= 1, String(fullestOf(this)));
});

Then("some window lets through more than the limit and its tolerance", function (this: object) {
  assert.ok(fullestOf(this) > 1, String(fullestOf(this)));
});

Then(
  "at most {int} in 100 of what the limit lets through are refused while no box is cut off",
  function (this: object, most: number) {
    const refused = mostRefused(resultsOf(this).filter(({ cut }) => !cut));
    assert.ok(refused <= most, String(refused));
  },
);

Then("at most {int} in 100 of it are refused in any play", function (this: object, most: number) {
  const refused = mostRefused(resultsOf(this));
  assert.ok(refused <= most, String(refused));
});

Then(
  "more than {int} in 100 of what the limit lets through are refused under some load",
  function (this: object, least: number) {
    const refused = mostRefused(resultsOf(this));
    assert.ok(refused > least, String(refused));
  },
);
