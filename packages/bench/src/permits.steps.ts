import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { permitLoads } from "./permit-load.js";
import { runPermits, type PermitResult } from "./permit-run.js";
import { permitWays } from "./permit-ways.js";

/** Virtual time; a busy machine may still take a while. */
const stepTimeout = { timeout: 120_000 };

When(
  /^every load of permits is played (\d+) times? with "([^"]*)"$/,
  stepTimeout,
  async function (this: object, seeds: string, way: string) {
    const results: PermitResult[] = [];
    for (const load of permitLoads) {
      for (let seed = 1; seed <= Number(seeds); seed++) {
        results.push(await runPermits(load, permitWays[way], seed));
      }
    }
    scenarioState(this).set("permits", results);
  },
);

const fullestOf = (world: object) =>
  Math.max(
    ...scenarioState(world)
      .get<PermitResult[]>("permits")
      .map((result) => result.fullestWindow),
  );

Then("no window brings the target more than its limit allows", function (this: object) {
  assert.ok(fullestOf(this) <= 1, String(fullestOf(this)));
});

Then("some window brings the target more than its limit allows", function (this: object) {
  assert.ok(fullestOf(this) > 1, String(fullestOf(this)));
});

Then("the target gets at least {int} in 100 of its limit", function (this: object, least: number) {
  const used = Math.min(
    ...scenarioState(this)
      .get<PermitResult[]>("permits")
      .map((result) => result.used),
  );
  assert.ok(used * 100 >= least, String(used));
});
