import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { notes } from "@linkfall/test-support";
import { turnLoads } from "./turn-load.js";
import { runTurns, type TurnResult } from "./turn-run.js";
import { turnWays } from "./turn-ways.js";

/** Virtual time; a busy machine may still take a while. */
const stepTimeout = { timeout: 120_000 };

When(
  /^every load of turns is played (\d+) times? with "([^"]*)"$/,
  stepTimeout,
  async function (this: object, seeds: string, way: string) {
    const results: TurnResult[] = [];
    for (const load of turnLoads) {
      for (let seed = 1; seed <= Number(seeds); seed++) {
        results.push(await runTurns(load, turnWays[way], seed));
      }
    }
    notes(this).set("turns", results);
  },
);

const fullestOf = (world: object) =>
  Math.max(
    ...notes(world)
      .get<TurnResult[]>("turns")
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
    ...notes(this)
      .get<TurnResult[]>("turns")
      .map((result) => result.used),
  );
  assert.ok(used * 100 >= least, String(used));
});
