import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import {
  createPlaceAllocator,
  type PlaceAllocator,
  type PlaceGrant,
  type PlaceRequest,
  type PlaceResult,
} from "./index.js";

interface PlacesContext {
  readonly clock: VirtualClock;
  readonly allocator: PlaceAllocator;
  readonly request: PlaceRequest;
  readonly held: string[];
  readonly refusals: PlaceGrant[];
}

const target = "t1";
const millisecondsPerSecond = 1000;
const contextOf = (world: object) =>
  scenarioState(world).get<PlacesContext>("places at a fragile target");

function start(world: object, rejectionAllowance: number, knownForMs: number): void {
  const clock = createVirtualClock();
  let lastPlace = 0;
  const newPlaceId = () => {
    lastPlace += 1;
    return `place ${lastPlace}`;
  };
  const allocator = createPlaceAllocator(clock, newPlaceId);
  const request = { target, rejectionAllowance, knownForMs, holdMs: 5_000, withinMs: 200 };
  const context: PlacesContext = { clock, allocator, request, held: [], refusals: [] };
  scenarioState(world).set("places at a fragile target", context);
}

function end({ allocator, request, held }: PlacesContext, count: number, result: PlaceResult) {
  for (const place of held.splice(0, count))
    allocator.end({ ...request, ended: { place, result } }, 1);
}

Given(
  "a target that has just said that it survives {int} rejections per second",
  function (this: object, rejectionAllowance: number) {
    start(this, rejectionAllowance, 0);
  },
);

Given(
  "a target that has said for {int} s that it survives {int} rejections per second",
  function (this: object, seconds: number, rejectionAllowance: number) {
    start(this, rejectionAllowance, seconds * millisecondsPerSecond);
  },
);

When("{int} requests ask for a place", function (this: object, count: number) {
  const { allocator, request, held, refusals } = contextOf(this);
  for (let index = 0; index < count; index++) {
    const grant = allocator.grant(request, 1);
    if (grant.place !== undefined) held.push(grant.place);
    else refusals.push(grant);
  }
});

When("{int} ms pass without a rejection", async function (this: object, ms: number) {
  const { clock } = contextOf(this);
  await clock.runUntil(clock.now() + ms);
});

When("{int} of them are rejected", function (this: object, count: number) {
  end(contextOf(this), count, "rejected");
});

When("{int} of them are served", function (this: object, count: number) {
  end(contextOf(this), count, "served");
});

When("{int} of them are lost", function (this: object, count: number) {
  end(contextOf(this), count, "lost");
});

When("the target starts again", function (this: object) {
  const { allocator, held } = contextOf(this);
  held.splice(0);
  allocator.restart(target);
});

When("another box grants a place at the target", function (this: object) {
  contextOf(this).allocator.recordForeignGrant(target);
});

Then(/^(\d+) of them have (?:had )?one$/, function (this: object, count: string) {
  assert.equal(contextOf(this).held.length, Number(count));
});

Then(
  "those without a place are to ask again after {string} ms",
  function (this: object, times: string) {
    const { refusals } = contextOf(this);
    assert.equal(refusals.map(({ askAgainMs }) => askAgainMs).join(" "), times);
  },
);

Then(
  /^(it is still|nothing is) known if those idle for (\d+) s are dropped$/,
  function (this: object, what: string, seconds: string) {
    const { allocator } = contextOf(this);
    allocator.expire(Number(seconds) * millisecondsPerSecond);
    assert.equal(allocator.size(), what === "it is still" ? 1 : 0);
  },
);
