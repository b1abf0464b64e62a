import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { notes } from "@linkfall/test-support";
import { quotaLoads } from "./quota-load.js";
import { type QuotaResult, runQuota } from "./quota-run.js";
import { quotaStrategies } from "./quota-strategies.js";

interface LoadRun extends QuotaResult {
  /** Boxes are cut off in it. */
  readonly hasIsolation: boolean;
}

/** Virtual time; a busy machine may still take a while. */
const stepTimeout = { timeout: 120_000 };

async function runLoads(world: object, seeds: number, way: string): Promise<void> {
  const results: LoadRun[] = [];
  for (const load of quotaLoads) {
    for (let seed = 1; seed <= seeds; seed++) {
      const result = await runQuota(load, quotaStrategies[way], seed);
      results.push({ ...result, hasIsolation: load.cut !== undefined });
    }
  }
  notes(world).set("results", results);
}

When(
  "every load is played {int} times with {string}",
  stepTimeout,
  function (this: object, seeds: number, way: string) {
    return runLoads(this, seeds, way);
  },
);

When("every load is played once with {string}", stepTimeout, function (this: object, way: string) {
  return runLoads(this, 1, way);
});

const resultsOf = (world: object) => notes(world).get<LoadRun[]>("results");
const maxUtilizationOf = (world: object) =>
  Math.max(...resultsOf(world).map(({ maxWindowUtilization: fullestWindow }) => fullestWindow));
const maxRefusedPercent = (results: readonly LoadRun[]) =>
  Math.max(...results.map(({ refusedShare: refusedWithin }) => refusedWithin)) * 100;

Then("no window lets through more than the limit and its tolerance", function (this: object) {
  assert.ok(maxUtilizationOf(this) <= 1, String(maxUtilizationOf(this)));
});

Then("some window lets through more than the limit and its tolerance", function (this: object) {
  assert.ok(maxUtilizationOf(this) > 1, String(maxUtilizationOf(this)));
});

Then(
  "at most {int} in 100 of what the limit lets through are refused while no box is cut off",
  function (this: object, maxPercent: number) {
    const refused = maxRefusedPercent(resultsOf(this).filter(({ hasIsolation: cut }) => !cut));
    assert.ok(refused <= maxPercent, String(refused));
  },
);

Then(
  "at most {int} in 100 of it are refused in any play",
  function (this: object, maxPercent: number) {
    const refused = maxRefusedPercent(resultsOf(this));
    assert.ok(refused <= maxPercent, String(refused));
  },
);

Then(
  "more than {int} in 100 of what the limit lets through are refused under some load",
  function (this: object, minPercent: number) {
    const refused = maxRefusedPercent(resultsOf(this));
    assert.ok(refused > minPercent, String(refused));
  },
);
