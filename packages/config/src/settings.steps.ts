import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { Then, When } from "@cucumber/cucumber";
import type { InvalidInput } from "@linkfall/errors";
import { scenarioState } from "@linkfall/test-support";
import type { Either } from "purify-ts";
import { describeSettings } from "./describe-settings.js";
import type { Settings } from "./settings-schema.js";
import { readSettings } from "./read-settings.js";

const requiredSettings = `
[box]
name = b1
domain = north
caller_address = 127.0.0.1:1
operator_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
[platform]
log_url = http://127.0.0.1:4
list_url = http://127.0.0.1:5
`;

const readResult = (world: object) =>
  scenarioState(world).get<Either<InvalidInput, Settings>>("read");

When("settings are read that name only what is required", function (this: object) {
  scenarioState(this).set("read", readSettings(requiredSettings));
});

Then(
  "they are valid and the length of a lease is {int} ms",
  function (this: object, length: number) {
    assert.equal(readResult(this).unsafeCoerce().lease.lease_ms, length);
  },
);

When(
  "settings are read with an unknown key, a port without an IP number and a lease that is too short",
  function (this: object) {
    const text = `${requiredSettings.replace("127.0.0.1:1\n", "localhost:1\n")}[lease]\nlease_ms = 1\ncolour = red\n`;
    scenarioState(this).set("read", readSettings(text));
  },
);

When(
  "settings are read whose renewals are further apart than half a lease",
  function (this: object) {
    scenarioState(this).set(
      "read",
      readSettings(`${requiredSettings}[lease]\nlease_ms = 1000\nrenew_ms = 900\n`),
    );
  },
);

const problemFields = (world: object) => {
  const invalid = readResult(world).swap().unsafeCoerce();
  return invalid.problems.map((problem) => problem.field).sort();
};

Then(
  "the problems name {string}, {string} and {string}",
  function (this: object, one: string, two: string, three: string) {
    assert.deepEqual(problemFields(this), [one, three, two].sort());
  },
);

Then("the problems name {string}", function (this: object, field: string) {
  assert.deepEqual(problemFields(this), [field]);
});

/** Words only: Prettier lays the tables of the page out anew. */
function words(text: string): readonly string[] {
  return text.split(/[\s|\\-]+/).filter((word) => word !== "");
}

Then("docs\\/SETTINGS.md is what the code describes", () => {
  assert.deepEqual(words(readFileSync("docs/SETTINGS.md", "utf8")), words(describeSettings()));
});
