import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { seededRandom } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { type Candidate, chooseTarget, estimateStartMs } from "./index.js";

const costs = { perTokenMs: 0.026, perRequestMs: 30, perResponseMs: 1_000, crossDomainMs: 2 };
const candidatesByWorld = new WeakMap<object, Candidate[]>();

function candidates(world: object): Candidate[] {
  const list = candidatesByWorld.get(world) ?? [];
  candidatesByWorld.set(world, list);
  return list;
}

Given(
  "a target {string} with {int} in flight, {int} tokens queued and {int} uncached",
  function (this: object, id: string, inFlight: number, queued: number, uncached: number) {
    candidates(this).push({
      id,
      slots: 64,
      inFlight,
      queuedPromptTokens: queued,
      uncachedTokens: uncached,
      streamGapMs: 0,
      sameDomain: true,
      costs,
    });
  },
);

Given(
  "the streams of target {string} have gaps of {int} ms",
  function (this: object, id: string, streamGapMs: number) {
    const list = candidates(this);
    const index = list.findIndex((candidate) => candidate.id === id);
    list[index] = { ...list[index], streamGapMs };
  },
);

Then("target {string} is chosen", function (this: object, id: string) {
  for (let seed = 0; seed < 20; seed++) {
    assert.equal(chooseTarget(candidates(this), seededRandom(seed))?.id, id);
  }
});

Then(
  "{string} is expected to respond more than {int} ms later than {string}",
  function (this: object, later: string, ms: number, earlier: string) {
    const startMs = (id: string) =>
      estimateStartMs(candidates(this).find((candidate) => candidate.id === id) as Candidate);
    assert.ok(startMs(later) > startMs(earlier) + ms);
    scenarioState(this).set("compared", true);
  },
);

Then("no target is chosen", () => {
  assert.equal(chooseTarget([], seededRandom(1)), undefined);
});
