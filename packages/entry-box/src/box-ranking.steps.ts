import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { chooseReaders, type BoxInDomain } from "./box-ranking.js";

const placed = (names: string, domain: string, capacity: number): readonly BoxInDomain[] =>
  names.split(" ").map((box) => ({ box, domain, capacity }));

const boxesOf = (world: object) => scenarioState(world).get<readonly BoxInDomain[]>("boxes");

Given(
  "boxes {string} of domain {string} with capacity {int}, and {string} of domain {string} with capacity {int}",
  function (
    this: object,
    names: string,
    domain: string,
    capacity: number,
    otherNames: string,
    otherDomain: string,
    otherCapacity: number,
  ) {
    const others = placed(otherNames, otherDomain, otherCapacity);
    scenarioState(this).set("boxes", [...placed(names, domain, capacity), ...others]);
  },
);

Then(
  "of {int} readers one stands in {string} and one in {string}",
  function (this: object, count: number, one: string, other: string) {
    const boxes = boxesOf(this);
    const domains = chooseReaders(boxes, count).map(
      (name) => boxes.find(({ box }) => box === name)?.domain,
    );
    assert.deepEqual([...domains].sort(), [one, other]);
  },
);

Then("{int} readers are {int} boxes", function (this: object, count: number, different: number) {
  assert.equal(new Set(chooseReaders(boxesOf(this), count)).size, different);
});

Then(
  "of {int} readers all are among {string}",
  function (this: object, count: number, names: string) {
    const readers = chooseReaders(boxesOf(this), count);
    assert.equal(readers.length, count);
    for (const name of readers) assert.ok(names.split(" ").includes(name), name);
  },
);
