import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { seededRandom } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { type Candidate, chooseTarget, estimateStartMs } from "./index.js";

const costs = { perTokenMs: 0.026, perRequestMs: 30, perAnswerMs: 1_000, crossDomainMs: 2 };
const known = new WeakMap<object, Candidate[]>();

function candidates(world: object): Candidate[] {
  const list = known.get(world) ?? [];
  known.set(world, list);
  return list;
}

Given(
  "a target {string} with {int} in flight, {int} tokens queued and {int} unread",
  function (this: object, id: string, inFlight: number, queued: number, unread: number) {
    candidates(this).push({
      id,
      slots: 64,
      inFlight,
      queuedPromptTokens: queued,
      uncachedTokens: unread,
      streamGapMs: 0,
      sameDomain: true,
      costs,
    });
  },
);

Given(
  "the streams of target {string} wait {int} ms between events",
  function (this: object, id: string, pauseMs: number) {
    const list = candidates(this);
    const index = list.findIndex((candidate) => candidate.id === id);
    list[index] = { ...list[index], streamGapMs: pauseMs };
  },
);

Then("the choice is {string}", function (this: object, id: string) {
  for (let seed = 0; seed < 20; seed++) {
    assert.equal(chooseTarget(candidates(this), seededRandom(seed))?.id, id);
  }
});

Then(
  "{string} is expected after more than {int} ms beyond {string}",
  function (this: object, later: string, ms: number, sooner: string) {
    const of = (id: string) =>
      estimateStartMs(candidates(this).find((candidate) => candidate.id === id) as Candidate);
    assert.ok(of(later) > of(sooner) + ms);
    scenarioState(this).set("compared", true);
  },
);

Then("there is no choice", () => {
  assert.equal(chooseTarget([], seededRandom(1)), undefined);
});
