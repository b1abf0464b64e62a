import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { createKeyTable, keyFingerprint, type KeyTable } from "./index.js";

Given(
  "client accounts {string} with keys {string} and {string} with keys {string}",
  function (this: object, one: string, keys: string, other: string, otherKeys: string) {
    const accounts = [
      { name: one, keys: keys.split(" ") },
      { name: other, keys: otherKeys.split(" ") },
    ];
    scenarioState(this).set("table", createKeyTable(accounts));
  },
);

Then("the key {string} belongs to {string}", function (this: object, key: string, name: string) {
  const found = scenarioState(this).get<KeyTable>("table").find(key);
  assert.equal(found?.name ?? "nobody", name);
});

Then(
  "no fingerprint of {int} random keys holds {int} characters of its key in a row",
  (runs: number, length: number) => {
    const keys = fc.string({ minLength: 20, maxLength: 20, unit: "grapheme-ascii" });
    fc.assert(
      fc.property(keys, (key) => {
        const shown = keyFingerprint(key);
        for (let at = 0; at + length <= key.length; at++) {
          assert.ok(!shown.includes(key.slice(at, at + length)));
        }
      }),
      { seed: 7, numRuns: runs },
    );
  },
);
