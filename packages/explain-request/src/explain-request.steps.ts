import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { explainRequest, type LogLine, parseLogLine, formatLogLine } from "./index.js";

const start = Date.UTC(2026, 0, 1);

function line(ms: number, box: string, name: string, detail: object): string {
  const time = new Date(start + ms).toISOString();
  return `prefix ${JSON.stringify({ time, box, name, level: "info", event: 1, ...detail })}`;
}

Given(
  "the logs of two boxes in which {string} was held for {string}, sent to {string} and cut",
  function (this: object, request: string, model: string, target: string) {
    const lines = [
      line(0, "b1", "configurationInForce", { version: 4 }),
      line(0, "b2", "configurationInForce", { version: 4 }),
      line(900, "b2", "moveBegun", { target: "t9", model: "m9" }),
      line(1_000, "b1", "requestHeld", { request, model }),
      line(1_500, "b2", "moveEnded", { target, model, why: "done" }),
      line(1_600, "b1", "targetChosen", { request, target }),
      line(1_700, "b1", "targetChosen", { request: "another", target }),
      line(2_000, "b1", "targetGone", { target }),
      line(2_100, "b1", "sendEnded", { request, target, end: "lost" }),
      line(2_200, "b1", "requestEnded", { request, outcome: "cut" }),
    ];
    scenarioState(this).set("lines", lines);
  },
);

Given(
  "the logs of two boxes in which {string} of the account {string} was over its limit",
  function (this: object, request: string, account: string) {
    const lines = [
      line(0, "b1", "configurationInForce", { version: 4 }),
      line(500, "b1", "connectionChanged", { connected: false }),
      line(600, "b2", "connectionChanged", { connected: true }),
      line(900, "b1", "quotaAlone", { account }),
      line(950, "b1", "quotaAlone", { account: "another" }),
      line(960, "b2", "quotaAlone", { account }),
      line(1_000, "b1", "requestRejected", { request, account, status: 429, version: 4 }),
    ];
    scenarioState(this).set("lines", lines);
  },
);

Given("a line {string}", function (this: object, text: string) {
  scenarioState(this).get<string[]>("lines").push(text);
});

When("the story of {string} is told", function (this: object, request: string) {
  const lines = scenarioState(this)
    .get<string[]>("lines")
    .flatMap((text) => parseLogLine(text) ?? []);
  scenarioState(this).set("story", explainRequest(lines.reverse(), request));
});

Then("it reads {string}", function (this: object, names: string) {
  const story = scenarioState(this).get<readonly LogLine[]>("story");
  assert.equal(story.map((told) => told.name).join(" "), names);
  for (const told of story) assert.ok(formatLogLine(told).startsWith(told.time));
});
