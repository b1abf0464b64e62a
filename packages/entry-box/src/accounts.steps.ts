import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import type { BoxProfile, BoxStatus } from "@linkfall/box-peers";
import { scenarioState } from "@linkfall/test-support";
import { createBoundedLabel } from "./bounded-label.js";
import { reachesMajority } from "./connection-check.js";
import { rankAtEngine } from "./engine-rank.js";
import { limitSharesOf } from "./limit-shares.js";
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
const allocatorOf = (account: string, boxes: readonly BoxProfile[]) =>
  rankAllocators(account, boxes)[0];
const accounts = Array.from({ length: 50 }, (_, index) => `account-${index}`);

Then(
  "50 accounts are allocated by high-capacity boxes that are not leaving",
  function (this: object) {
    const boxes = boxesOf(this);
    for (const account of accounts) {
      assert.ok(["p1", "p2"].includes(allocatorOf(account, boxes)));
      assert.equal(allocatorOf(account, boxes), allocatorOf(account, [...boxes].reverse()));
    }
  },
);

Then("each of those boxes allocates for at least 10 accounts", function (this: object) {
  for (const address of ["p1", "p2"]) {
    const own = accounts.filter((account) => allocatorOf(account, boxesOf(this)) === address);
    assert.ok(own.length >= 10);
  }
});

Then("removing one of those boxes moves only its own accounts", function (this: object) {
  const boxes = boxesOf(this);
  const remaining = boxes.filter(({ peerAddress }) => peerAddress !== "p1");
  for (const account of accounts) {
    const before = allocatorOf(account, boxes);
    if (before !== "p1") assert.equal(allocatorOf(account, remaining), before);
  }
});

Then(
  "boxes of capacity {string} have the shares {string}",
  (capacities: string, shares: string) => {
    const boxes = numbers(capacities).map((capacity, index) => profileOf(capacity, index));
    assert.deepEqual([...limitSharesOf(boxes).values()], numbers(shares));
  },
);

Then(
  "a box that knew {int} boxes at once and receives heartbeats from {int} others reaches the majority: {string}",
  (maxKnown: number, otherBoxes: number, answer: string) => {
    const statuses = Array.from({ length: otherBoxes }, () => ({}) as BoxStatus);
    const peers = { statuses: () => statuses, maxKnownBoxes: () => maxKnown };
    assert.equal(reachesMajority(peers) ? "yes" : "no", answer);
  },
);

Then(
  "accounts {string} with at most {int} series get the labels {string}",
  (values: string, maxSeries: number, labels: string) => {
    const label = createBoundedLabel(maxSeries);
    assert.equal(values.split(" ").map(label).join(" "), labels);
  },
);

Then(
  /^a route of priority (\d+) has rank (\d+) (?:for an account of priority (\d+)|without an account)( if routes are ranked)?$/,
  (routePriority: string, rank: string, accountPriority: string | null, ranked: string | null) => {
    const account = accountPriority === null ? undefined : { priority: Number(accountPriority) };
    const route = { priority: Number(routePriority) };
    assert.equal(rankAtEngine(route, account, ranked !== null), Number(rank));
  },
);
