import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
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

/** The code of every package but this one. */
function readOtherPackages(): string {
  const files = readdirSync("packages", { recursive: true, withFileTypes: true }).filter(
    (entry) => entry.isFile() && /\/src(\/|$)/.test(entry.parentPath) && entry.name.endsWith(".ts"),
  );
  const others = files.filter((entry) => !entry.parentPath.startsWith(join("packages", "logger")));
  return others.map((entry) => readFileSync(join(entry.parentPath, entry.name), "utf8")).join("\n");
}

Then("each event's name stands in the code of another package", () => {
  const code = readOtherPackages();
  const unused = Object.keys(events).filter((name) => !code.includes(`"${name}"`));
  assert.deepEqual(unused, []);
});
