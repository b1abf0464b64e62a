import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { createPrefixIndex, type PrefixIndex, type PrefixQuery } from "./index.js";

/** From `model/adapter: id:tokens id:tokens`. */
function query(text: string): PrefixQuery {
  const [weights, rest] = text.split(": ");
  const parts = rest.split(" ").map((part) => {
    const [id, tokens] = part.split(":");
    return { id, tokens: Number(tokens) };
  });
  return { weights, parts };
}

const indexOf = (world: object) => scenarioState(world).get<PrefixIndex>("index");

Given(
  "an index of {int} tokens that has seen {string}",
  function (this: object, tokens: number, text: string) {
    const index = createPrefixIndex(tokens);
    index.record(query(text));
    scenarioState(this).set("index", index);
  },
);

When("{string} is seen", function (this: object, text: string) {
  indexOf(this).record(query(text));
});

When("the model {string} is dropped", function (this: object, model: string) {
  indexOf(this).dropModel(model);
});

Then("{string} is kept for {int} tokens", function (this: object, text: string, tokens: number) {
  assert.equal(indexOf(this).cachedTokens(query(text)), tokens);
});
