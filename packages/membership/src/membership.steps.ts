import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import type { MemberEntry } from "@linkfall/types";
import { isIsolated } from "./isolation.js";
import { createMemberTable, type MemberTable } from "./member-table.js";

const staleServingMs = 1_000;
const entry = (incarnation: string, heartbeat: number): MemberEntry => ({
  box: "c",
  incarnation,
  peerAddress: "10.0.0.2:7071",
  callerAddress: "10.0.0.2:7070",
  domain: "north",
  heartbeat,
  leaving: false,
});
const tableOf = (world: object) => scenarioState(world).get<MemberTable>("table");

Given("a member seen at 0 ms with heartbeat 1", function (this: object) {
  const changes = { joined: () => undefined, gone: () => undefined };
  const table = createMemberTable("b@1", { suspectAfterMs: 1_000, removeAfterMs: 5_000 }, changes);
  table.applyDirect(entry("c@1", 1), 0);
  scenarioState(this).set("table", table);
});

When("another box relays its heartbeat 2 at 900 ms", function (this: object) {
  tableOf(this).merge([entry("c@1", 2)], 900);
});

Then("it is alive at 1800 ms and not at 1901 ms", function (this: object) {
  assert.equal(tableOf(this).alive(1_800).length, 1);
  assert.equal(tableOf(this).alive(1_901).length, 0);
});

When("a later incarnation of the same box sends a heartbeat at 100 ms", function (this: object) {
  tableOf(this).applyDirect(entry("c@2", 1), 100);
});

When("another box still relays the earlier incarnation", function (this: object) {
  tableOf(this).merge([entry("c@1", 7)], 200);
});

When("it has been silent long enough to be removed", function (this: object) {
  tableOf(this).removeExpired(5_001);
});

When("another box still relays its heartbeat 1", function (this: object) {
  tableOf(this).merge([entry("c@1", 1)], 5_100);
});

Then("it is not known", function (this: object) {
  assert.equal(tableOf(this).known().length, 0);
});

When("it sends heartbeat 50", function (this: object) {
  tableOf(this).applyDirect(entry("c@1", 50), 5_200);
});

Then("it is alive", function (this: object) {
  assert.equal(tableOf(this).alive(5_300).length, 1);
});

Then("only the later incarnation is known", function (this: object) {
  const known = tableOf(this)
    .known()
    .map((member) => member.entry.incarnation);
  assert.deepEqual(known, ["c@2"]);
});

Then(
  "with the log silent for {int} ms and {int} of {int} boxes alive, a box is {string}",
  (freshMs: number, aliveBoxes: number, knownBoxes: number, verdict: string) => {
    const isolated = isIsolated(
      { sinceLogReadMs: freshMs, countHeardWithin: () => aliveBoxes, knownBoxes },
      staleServingMs,
    );
    assert.equal(isolated ? "cut off" : "serving", verdict);
  },
);
