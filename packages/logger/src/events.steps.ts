import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { Then } from "@cucumber/cucumber";
import { describeEvents, events } from "./events.js";

const words = (text: string) => text.split(/[\s|\\-]+/).filter((word) => word !== "");

Then("docs\\/EVENTS.md is what the code describes", () => {
  assert.deepEqual(words(readFileSync("docs/EVENTS.md", "utf8")), words(describeEvents()));
});

Then("each event has a number of its own", () => {
  const numbers = Object.values(events).map((kind) => kind.number);
  assert.equal(new Set(numbers).size, numbers.length);
});
