import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import type { BoxProfile, BoxStatus } from "@linkfall/box-peers";
import { scenarioState } from "@linkfall/test-support";
import { createBoundedLabel } from "./bounded-label.js";
import { reachesMajority } from "./connected.js";
import { limitSharesOf } from "./limit-parts.js";
import { rankAllocators } from "./allocators.js";

function profileOf(capacity: number, index: number, leaving = false): BoxProfile {
  return {
    box: `b${index}`,
    incarnation: `b${index}@1`,
    frontAddress: `f${index}`,
    peerAddress: `p${index}`,
    domain: "d",
    capacity,
    ready: true,
    leaving,
    strained: false,
    takesRequests: true,
    reading: false,
  };
}

const numbers = (text: string) => text.split(" ").filter(Boolean).map(Number);

Given(
  "boxes of capacity {string} of which the first is leaving",
  function (this: object, capacities: string) {
    const boxes = numbers(capacities).map((capacity, index) =>
      profileOf(capacity, index, index === 0),
    );
    scenarioState(this).set("boxes", boxes);
  },
);

const boxesOf = (world: object) => scenarioState(world).get<readonly BoxProfile[]>("boxes");
const firstOf = (account: string, boxes: readonly BoxProfile[]) =>
  rankAllocators(account, boxes)[0];
const accounts = Array.from({ length: 50 }, (_, index) => `account-${index}`);

Then("50 accounts are handed out by strong boxes that are not leaving", function (this: object) {
  const boxes = boxesOf(this);
  for (const account of accounts) {
    assert.ok(["p1", "p2"].includes(firstOf(account, boxes)));
    assert.equal(firstOf(account, boxes), firstOf(account, [...boxes].reverse()));
  }
});

Then("each of those hands out for 10 accounts or more", function (this: object) {
  for (const address of ["p1", "p2"]) {
    const own = accounts.filter((account) => firstOf(account, boxesOf(this)) === address);
    assert.ok(own.length >= 10);
  }
});

Then("a box that goes moves only its own accounts", function (this: object) {
  const boxes = boxesOf(this);
  const left = boxes.filter(({ peerAddress }) => peerAddress !== "p1");
  for (const account of accounts) {
    const before = firstOf(account, boxes);
    if (before !== "p1") assert.equal(firstOf(account, left), before);
  }
});

Then("boxes of capacity {string} have the parts {string}", (capacities: string, parts: string) => {
  const boxes = numbers(capacities).map((capacity, index) => profileOf(capacity, index));
  assert.deepEqual([...limitSharesOf(boxes).values()], numbers(parts));
});

Then(
  "a box that knew {int} boxes at once and hears {int} others hears most: {string}",
  (most: number, heard: number, answer: string) => {
    const statuses = Array.from({ length: heard }, () => ({}) as BoxStatus);
    const peers = { statuses: () => statuses, most: () => most };
    assert.equal(reachesMajority(peers) ? "yes" : "no", answer);
  },
);

Then(
  "of accounts {string} the labels for {int} series are {string}",
  (values: string, series: number, labels: string) => {
    const label = createBoundedLabel(series);
    assert.equal(values.split(" ").map(label).join(" "), labels);
  },
);
