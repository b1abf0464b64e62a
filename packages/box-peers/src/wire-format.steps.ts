import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { seededRandom } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { decodeMessage, encodeMessage } from "./wire-format.js";

Then("{int} random messages are read as they were written", (runs: number) => {
  const message = fc
    .tuple(fc.json({ maxDepth: 4 }), fc.string({ maxLength: 2_000 }))
    .map(([body, text]) => ({ body, text }));
  fc.assert(
    fc.property(message, (value) => {
      assert.deepEqual(decodeMessage(encodeMessage(value)), value);
    }),
    { seed: 11, numRuns: runs },
  );
});

Given(
  "a heartbeat that tells of {int} engines with {int} models each",
  function (this: object, engines: number, models: number) {
    const random = seededRandom(5);
    const named = (index: number) => ({ name: `model-${index}`, version: 1, adapters: [] });
    const told = Array.from({ length: engines }, () => ({
      id: `i-${random.identifier()}`,
      holdings: {
        sequence: random.nextInt(40),
        models: Array.from({ length: models }, () => named(random.nextInt(166))),
      },
    }));
    scenarioState(this).set("message", { kind: "heartbeat", report: { engines: told } });
  },
);

Then("it is written in less than {float} of its text", function (this: object, share: number) {
  const message = scenarioState(this).get<object>("message");
  const written = encodeMessage(message).length / JSON.stringify(message).length;
  assert.ok(written < share, String(written));
});

Then(
  "a message of {int} characters is written with {int} byte more than its text",
  (characters: number, more: number) => {
    const text = "x".repeat(characters);
    assert.equal(encodeMessage(text).length, JSON.stringify(text).length + more);
  },
);

Then("bytes of another form are not read", () => {
  for (const bytes of [Buffer.from([]), Buffer.from([1, 2, 3]), Buffer.from([0, 123])]) {
    assert.throws(() => decodeMessage(bytes));
  }
});
