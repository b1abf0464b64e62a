import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { Given, Then } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { type EntrySettings, readEntrySettings } from "./index.js";

const least = [
  "[box]",
  "name = b1",
  "domain = d1",
  "front_address = 10.0.0.1:1",
  "ready_address = 10.0.0.1:2",
  "directory_address = 10.0.0.1:3",
  "peer_address = 10.0.0.1:4",
  "metrics_address = 10.0.0.1:5",
  "[store]",
  "address = 10.0.0.9:1",
];

Given("the least settings of a box that forwards", function (this: object) {
  scenarioState(this).set("lines", [...least]);
});

Given("{string} in {string}", function (this: object, text: string, section: string) {
  scenarioState(this).get<string[]>("lines").push(section, text);
});

const check = (world: object) =>
  readEntrySettings(scenarioState(world).get<string[]>("lines").join("\n"));

function problemsOf(world: object): readonly string[] {
  return check(world).caseOf({
    Left: ({ problems }) => problems.map(({ field, reason }) => `${field}: ${reason}`),
    Right: () => [],
  });
}

Then("they are valid", function (this: object) {
  assert.deepEqual(problemsOf(this), []);
});

Then("the problem {string} is named", function (this: object, problem: string) {
  assert.deepEqual(problemsOf(this), [problem]);
});

Then("{int} problems are named", function (this: object, count: number) {
  assert.equal(problemsOf(this).length, count);
});

Then("docs\\/FORWARDING-SETTINGS.md has every key with its default", () => {
  const page = readFileSync("docs/FORWARDING-SETTINGS.md", "utf8");
  const settings: EntrySettings = readEntrySettings(least.join("\n")).unsafeCoerce();
  const cells = page.split("\n").map((row) => row.split("|").map((cell) => cell.trim()));
  for (const [section, keys] of Object.entries(settings)) {
    for (const [key, value] of Object.entries(keys as Record<string, unknown>)) {
      const row = cells.find((cell) => cell[1] === `${section}.${key}`);
      assert.ok(row, `${section}.${key} is missing`);
      const given = least.some((text) => text.startsWith(`${key} =`));
      if (!given && key !== "seeds") assert.equal(row[2], String(value), `${section}.${key}`);
    }
  }
});
