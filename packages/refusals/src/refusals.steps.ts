import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { Then, When } from "@cucumber/cucumber";
import type { CallerResponse } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { notRun, refusalResponse, statusByCode } from "./index.js";

Then("docs\\/operators\\/refusals.md names every code with its status", () => {
  const page = readFileSync("docs/operators/refusals.md", "utf8");
  for (const [code, status] of Object.entries(statusByCode)) {
    assert.match(page, new RegExp(`\\| \`${code}\` +\\| ${status} +\\|`), code);
  }
});

When("a request is refused with a wait of {int} ms", function (this: object, wait: number) {
  scenarioState(this).set("response", refusalResponse(notRun("overloaded", "full", wait)));
});

Then(
  "the body says {int} ms and the header {int} s",
  function (this: object, wait: number, seconds: number) {
    const response = scenarioState(this).get<CallerResponse>("response");
    const { error } = JSON.parse(Buffer.from(response.body as Uint8Array).toString("utf8"));
    assert.equal(error.retry_after_ms, wait);
    assert.equal(response.headers["retry-after"], String(seconds));
  },
);
