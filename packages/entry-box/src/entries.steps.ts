import assert from "node:assert/strict";
import { type DataTable, Given, Then } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { chooseEntries, type EntryCandidate } from "./entries.js";

const boxesOf = (world: object) => scenarioState(world).get<readonly EntryCandidate[]>("boxes");
const keep = (world: object, boxes: readonly EntryCandidate[]) =>
  scenarioState(world).set("boxes", boxes);
const split = (names: string) => names.split(" ");

Given("boxes of these capacities", function (this: object, table: DataTable) {
  const boxes = table.hashes().map(({ box, domain, capacity }) => ({
    address: box,
    domain,
    capacity: Number(capacity),
    strained: false,
  }));
  keep(this, boxes);
});

Given(/^"([^"]*)" (?:is|are) strained$/, function (this: object, names: string) {
  const strained = new Set(split(names));
  const boxes = boxesOf(this).map((box) => ({ ...box, strained: strained.has(box.address) }));
  keep(this, boxes);
});

Given("only {string}, which is strained", function (this: object, name: string) {
  const boxes = boxesOf(this).filter(({ address }) => address === name);
  keep(
    this,
    boxes.map((box) => ({ ...box, strained: true })),
  );
});

Then(
  "callers of {string} are told of {string}",
  function (this: object, domain: string, names: string) {
    assert.deepEqual(chooseEntries(boxesOf(this), domain), split(names));
  },
);
