import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { Then, When } from "@cucumber/cucumber";
import type { CallerResponse } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { notRun, refusalResponse, statusByCode } from "./index.js";

Then("docs\\/operators\\/refusals.md lists every code with its status", () => {
  const page = readFileSync("docs/operators/refusals.md", "utf8");
  for (const [code, status] of Object.entries(statusByCode)) {
    assert.match(page, new RegExp(`\\| \`${code}\` +\\| ${status} +\\|`), code);
  }
});

When(
  "a request is refused with a retry time of {int} ms",
  function (this: object, retryAfterMs: number) {
    scenarioState(this).set(
      "response",
      refusalResponse(notRun("overloaded", "full", retryAfterMs)),
    );
  },
);

Then(
  "the body has {int} ms and the header {int} s",
  function (this: object, retryAfterMs: number, seconds: number) {
    const response = scenarioState(this).get<CallerResponse>("response");
    const { error } = JSON.parse(Buffer.from(response.body as Uint8Array).toString("utf8"));
    assert.equal(error.retry_after_ms, retryAfterMs);
    assert.equal(response.headers["retry-after"], String(seconds));
  },
);
