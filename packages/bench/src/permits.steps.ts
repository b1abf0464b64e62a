import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { permitLoads } from "./permit-load.js";
import { runPermits, type PermitResult } from "./permit-run.js";
import { permitStrategies } from "./permit-strategies.js";

/** The simulation runs in virtual time, but is processor-bound. */
const stepTimeout = { timeout: 120_000 };

When(
  /^every load of permits is played (\d+) times? with "([^"]*)"$/,
  stepTimeout,
  async function (this: object, seeds: string, strategy: string) {
    const results: PermitResult[] = [];
    for (const load of permitLoads) {
      for (let seed = 1; seed <= Number(seeds); seed++) {
        results.push(await runPermits(load, permitStrategies[strategy], seed));
      }
    }
    scenarioState(this).set("permits", results);
  },
);

const maxUtilisationOf = (world: object) =>
  Math.max(
    ...scenarioState(world)
      .get<PermitResult[]>("permits")
      .map((result) => result.maxWindowUtilisation),
  );

Then("no window sends the target more requests than its limit allows", function (this: object) {
  assert.ok(maxUtilisationOf(this) <= 1, String(maxUtilisationOf(this)));
});

Then("some window sends the target more requests than its limit allows", function (this: object) {
  assert.ok(maxUtilisationOf(this) > 1, String(maxUtilisationOf(this)));
});

Then(
  "the target receives at least {int} in 100 requests within its limit",
  function (this: object, minPercent: number) {
    const used = Math.min(
      ...scenarioState(this)
        .get<PermitResult[]>("permits")
        .map((result) => result.usedShare),
    );
    assert.ok(used * 100 >= minPercent, String(used));
  },
);
