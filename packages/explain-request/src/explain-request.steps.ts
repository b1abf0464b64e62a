import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { explainRequest, type LogLine, parseLogLine, formatLogLine } from "./index.js";

const startMs = Date.UTC(2026, 0, 1);

function logLine(ms: number, box: string, name: string, detail: object): string {
  const time = new Date(startMs + ms).toISOString();
  return `prefix ${JSON.stringify({ time, box, name, level: "info", event: 1, ...detail })}`;
}

Given(
  "the logs of two boxes in which {string} was held for {string}, sent to {string} and aborted",
  function (this: object, request: string, model: string, target: string) {
    const lines = [
      logLine(0, "b1", "configurationInForce", { version: 4 }),
      logLine(0, "b2", "configurationInForce", { version: 4 }),
      logLine(900, "b2", "moveBegun", { target: "t9", model: "m9" }),
      logLine(1_000, "b1", "requestHeld", { request, model }),
      logLine(1_500, "b2", "moveEnded", { target, model, why: "done" }),
      logLine(1_600, "b1", "targetChosen", { request, target }),
      logLine(1_700, "b1", "targetChosen", { request: "another", target }),
      logLine(2_000, "b1", "targetGone", { target }),
      logLine(2_100, "b1", "sendEnded", { request, target, end: "lost" }),
      logLine(2_200, "b1", "requestEnded", { request, outcome: "cut" }),
    ];
    scenarioState(this).set("lines", lines);
  },
);

Given(
  "the logs of two boxes in which {string} of the account {string} was rejected by its quota",
  function (this: object, request: string, account: string) {
    const lines = [
      logLine(0, "b1", "configurationInForce", { version: 4 }),
      logLine(500, "b1", "connectionChanged", { connected: false }),
      logLine(600, "b2", "connectionChanged", { connected: true }),
      logLine(900, "b1", "quotaAlone", { account }),
      logLine(950, "b1", "quotaAlone", { account: "another" }),
      logLine(960, "b2", "quotaAlone", { account }),
      logLine(1_000, "b1", "requestRejected", { request, account, status: 429, version: 4 }),
    ];
    scenarioState(this).set("lines", lines);
  },
);

Given("the log line {string}", function (this: object, text: string) {
  scenarioState(this).get<string[]>("lines").push(text);
});

When("the timeline of {string} is reconstructed", function (this: object, request: string) {
  const lines = scenarioState(this)
    .get<string[]>("lines")
    .flatMap((text) => parseLogLine(text) ?? []);
  scenarioState(this).set("timeline", explainRequest(lines.reverse(), request));
});

Then("it consists of the events {string}", function (this: object, expectedNames: string) {
  const timeline = scenarioState(this).get<readonly LogLine[]>("timeline");
  assert.equal(timeline.map((line) => line.name).join(" "), expectedNames);
  for (const line of timeline) assert.ok(formatLogLine(line).startsWith(line.time));
});
