import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { seededRandom } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { type Candidate, type ChoiceContext, chooseTarget } from "./choose.js";

const slack = 0.25;
const context = (affinityKey: string): ChoiceContext => ({
  policy: "affinity",
  random: seededRandom(1),
  turn: 0,
  affinityKey,
  affinitySlack: slack,
});
const candidate = (target: string, load: number): Candidate => ({
  target,
  address: "",
  load,
  waitMs: 0,
});
const candidatesOf = (world: object) =>
  scenarioState(world).get<readonly Candidate[]>("candidates");

Given("8 idle candidates", function (this: object) {
  scenarioState(this).set(
    "candidates",
    Array.from({ length: 8 }, (_, index) => candidate(`e${index}`, 0)),
  );
});

Then(
  "100 choices by affinity for one key go to one target, and keys spread over all of them",
  function (this: object) {
    const list = candidatesOf(this);
    const same = Array.from({ length: 100 }, () => chooseTarget(list, context("key")).target);
    assert.equal(new Set(same).size, 1);
    const spread = Array.from(
      { length: 200 },
      (_, index) => chooseTarget(list, context(`k${index}`)).target,
    );
    assert.equal(new Set(spread).size, list.length);
  },
);

Then("for any loads, the target chosen by affinity is within the slack of the least loaded", () => {
  const loads = fc.array(fc.float({ min: 0, max: 5, noNaN: true }), {
    minLength: 1,
    maxLength: 10,
  });
  fc.assert(
    fc.property(loads, fc.string(), (values, key) => {
      const list = values.map((load, index) => candidate(`e${index}`, load));
      const chosen = chooseTarget(list, context(key));
      assert.ok(chosen.load <= Math.min(...values) + slack);
    }),
    { seed: 9, numRuns: 500 },
  );
});

When("one candidate goes that is not the key's", function (this: object) {
  const list = candidatesOf(this);
  const chosen = chooseTarget(list, context("key")).target;
  const other = list.find((entry) => entry.target !== chosen);
  scenarioState(this).set("chosen", chosen);
  scenarioState(this).set(
    "candidates",
    list.filter((entry) => entry !== other),
  );
});

Then("the key's target is as before", function (this: object) {
  assert.equal(
    chooseTarget(candidatesOf(this), context("key")).target,
    scenarioState(this).get("chosen"),
  );
});
