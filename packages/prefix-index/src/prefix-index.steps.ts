import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { createPrefixIndex, type PrefixIndex, type PrefixQuery } from "./index.js";

/** Parses `model/adapter: id:tokens id:tokens`. */
function parseQuery(text: string): PrefixQuery {
  const [weights, rest] = text.split(": ");
  const parts = rest.split(" ").map((part) => {
    const [id, tokens] = part.split(":");
    return { id, tokens: Number(tokens) };
  });
  return { weights, parts };
}

const indexOf = (world: object) => scenarioState(world).get<PrefixIndex>("index");

Given(
  "an index of {int} tokens with the prompt {string}",
  function (this: object, tokens: number, text: string) {
    const index = createPrefixIndex(tokens);
    index.record(parseQuery(text));
    scenarioState(this).set("index", index);
  },
);

When("the prompt {string} is recorded", function (this: object, text: string) {
  indexOf(this).record(parseQuery(text));
});

When("the model {string} is dropped", function (this: object, model: string) {
  indexOf(this).dropModel(model);
});

Then("{string} has {int} cached tokens", function (this: object, text: string, tokens: number) {
  assert.equal(indexOf(this).cachedTokens(parseQuery(text)), tokens);
});
