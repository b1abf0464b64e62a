import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { JsonCaller } from "@linkfall/json-call";
import type { BoxList } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { Right } from "purify-ts";
import { createBoxListHttp } from "./index.js";

interface ListScene {
  readonly boxes: readonly unknown[];
  readonly leavingTargets: readonly unknown[];
}

const levels = 100_000;
const deepText = "[".repeat(levels) + "]".repeat(levels);

Given(
  "a list of the boxes {string} and the leaving target {string}",
  function (this: object, names: string, target: string) {
    const boxes = names
      .split(" ")
      .map((box) => ({ box, peerAddress: "127.0.0.1:1", state: "live" }));
    scenarioState(this).set("list", { boxes, leavingTargets: [target] });
  },
);

When(
  /^its boxes and its leaving targets contain (.*) as well$/,
  async function (this: object, text: string) {
    const entry: unknown = JSON.parse(text === "deep nesting" ? deepText : text);
    const { boxes, leavingTargets } = scenarioState(this).get<ListScene>("list");
    const value = { boxes: [entry, ...boxes], leaving_targets: [entry, ...leavingTargets] };
    const caller: JsonCaller = { call: async () => Right({ status: 200, value }) };
    const reported: string[] = [];
    const list = createBoxListHttp(caller, "127.0.0.1:1", (reason) => void reported.push(reason));
    scenarioState(this).set("read", (await list.read()).unsafeCoerce());
    scenarioState(this).set("reported", reported);
  },
);

Then(
  /^the boxes "(.*)" and the leaving target "(.*)" are read, and (\d+) entries are reported$/,
  function (this: object, names: string, target: string, count: string) {
    const { boxes, leavingTargets } = scenarioState(this).get<BoxList>("read");
    assert.deepEqual(
      boxes.map(({ box }) => box),
      names.split(" "),
    );
    assert.deepEqual(leavingTargets, [target]);
    assert.equal(scenarioState(this).get<string[]>("reported").length, Number(count));
  },
);
