import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { seededRandom } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { decodeMessage, encodeMessage } from "./wire-format.js";

Then("{int} random messages are decoded as they were encoded", (runs: number) => {
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
  "a heartbeat with {int} engines with {int} models each",
  function (this: object, engines: number, models: number) {
    const random = seededRandom(5);
    const modelOf = (index: number) => ({ name: `model-${index}`, version: 1, adapters: [] });
    const reported = Array.from({ length: engines }, () => ({
      id: `i-${random.identifier()}`,
      holdings: {
        sequence: random.nextInt(40),
        models: Array.from({ length: models }, () => modelOf(random.nextInt(166))),
      },
    }));
    scenarioState(this).set("message", { kind: "heartbeat", report: { engines: reported } });
  },
);

Then(
  "it is encoded in less than {float} of its JSON text",
  function (this: object, maxRatio: number) {
    const message = scenarioState(this).get<object>("message");
    const ratio = encodeMessage(message).length / JSON.stringify(message).length;
    assert.ok(ratio < maxRatio, String(ratio));
  },
);

Then(
  "a message of {int} characters is encoded with {int} byte more than its JSON text",
  (characters: number, overheadBytes: number) => {
    const text = "x".repeat(characters);
    assert.equal(encodeMessage(text).length, JSON.stringify(text).length + overheadBytes);
  },
);

Then("malformed bytes are not decoded", () => {
  for (const bytes of [Buffer.from([]), Buffer.from([1, 2, 3]), Buffer.from([0, 123])]) {
    assert.throws(() => decodeMessage(bytes));
  }
});

const encodeText = (text: string) => Buffer.concat([Buffer.of(0), Buffer.from(text)]);

Then("the text {string} is not decoded as a message", (text: string) => {
  assert.throws(() => decodeMessage(encodeText(text)));
});

Then(
  /^a message of (\d+) nested (arrays|objects) is (decoded|rejected)$/,
  (levels: string, kind: string, verdict: "decoded" | "rejected") => {
    const [opening, closing] = kind === "arrays" ? ["[", "]"] : ['{"a":', "}"];
    const inner = kind === "arrays" ? "" : "1";
    const text = opening.repeat(Number(levels)) + inner + closing.repeat(Number(levels));
    const decode = () => decodeMessage(encodeText(text));
    if (verdict === "decoded") assert.doesNotThrow(decode);
    else assert.throws(decode, /nested too deep/);
  },
);

Then("brackets, quotes and backslashes in a text count as no nesting", () => {
  const message = { text: `${"[{".repeat(100)}\\"\\`, other: '"]'.repeat(100) };
  assert.deepEqual(decodeMessage(encodeMessage(message)), message);
});
