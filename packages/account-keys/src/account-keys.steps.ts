import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { createKeyTable, keyFingerprint, type KeyTable } from "./index.js";

Given(
  "client accounts {string} with keys {string} and {string} with keys {string}",
  function (
    this: object,
    firstName: string,
    firstKeys: string,
    secondName: string,
    secondKeys: string,
  ) {
    const accounts = [
      { name: firstName, keys: firstKeys.split(" ") },
      { name: secondName, keys: secondKeys.split(" ") },
    ];
    scenarioState(this).set("table", createKeyTable(accounts));
  },
);

Then("the key {string} belongs to {string}", function (this: object, key: string, name: string) {
  const found = scenarioState(this).get<KeyTable>("table").find(key);
  assert.equal(found?.name ?? "nobody", name);
});

Then(
  "no fingerprint of {int} random keys contains {int} consecutive characters of its key",
  (runs: number, length: number) => {
    const keys = fc.string({ minLength: 20, maxLength: 20, unit: "grapheme-ascii" });
    fc.assert(
      fc.property(keys, (key) => {
        const fingerprint = keyFingerprint(key);
        for (let at = 0; at + length <= key.length; at++) {
          assert.ok(!fingerprint.includes(key.slice(at, at + length)));
        }
      }),
      { seed: 7, numRuns: runs },
    );
  },
);
