import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { Left } from "purify-ts";
import {
  createTargetLimits,
  createPermitAllocator,
  type TargetLimits,
  type PermitAllocator,
  type PermitGrant,
  type PermitPeers,
} from "./index.js";

interface Permits {
  readonly clock: VirtualClock;
  readonly allocator: PermitAllocator;
  readonly perSecond: number;
  grants: readonly PermitGrant[];
}

interface Boxes {
  readonly clock: VirtualClock;
  readonly limits: readonly TargetLimits[];
  permit?: boolean;
}

const target = "t1";
const millisecondsPerSecond = 1000;
const permitsOf = (world: object) => scenarioState(world).get<Permits>("permits at a target");
const boxesOf = (world: object) => scenarioState(world).get<Boxes>("boxes with limits");

const alone: PermitPeers = {
  self: "b1",
  allocators: () => ["b1"],
  sendRequest: async () =>
    Left({ kind: "peer_unreachable", reason: "no peers", mayHaveArrived: false }),
  connected: () => true,
  ownShare: () => 1,
  silentShare: () => 0,
  boxCount: () => 2,
};

function setUpBoxes(world: object, births: readonly (number | undefined)[]): Boxes {
  const clock = createVirtualClock();
  const limits = births.map((born) => createTargetLimits(clock, alone, () => born));
  const boxes: Boxes = { clock, limits };
  scenarioState(world).set("boxes with limits", boxes);
  return boxes;
}

const passes = ({ clock }: { readonly clock: VirtualClock }, ms: number) =>
  clock.runUntil(clock.now() + ms);

function hear({ limits }: Boxes, box: number, perSecond: number | undefined): void {
  const notice =
    perSecond === undefined
      ? ({ kind: "none" } as const)
      : ({ kind: "limited", perSecond } as const);
  limits[box].recordAnswer({ target, notice, sentMsAgo: 1, served: true });
}

Given(
  "a target that takes {float} a second, and nothing handed out yet",
  function (this: object, perSecond: number) {
    const clock = createVirtualClock();
    const allocator = createPermitAllocator(clock);
    scenarioState(this).set("permits at a target", {
      clock,
      allocator,
      perSecond,
      grants: [],
    } satisfies Permits);
  },
);

When("{int} s go by at the target", async function (this: object, seconds: number) {
  const permits = permitsOf(this);
  // The target is known from its first ask on.
  permits.allocator.grant({ target, perSecond: permits.perSecond, withinMs: -1 }, 1);
  await passes(permits, seconds * millisecondsPerSecond);
});

When(
  /^(\d+) requests? asks? for a permit within (\d+) ms$/,
  function (this: object, count: string, within: string) {
    const permits = permitsOf(this);
    const { allocator, perSecond } = permits;
    const ask = { target, perSecond, withinMs: Number(within) };
    permits.grants = Array.from({ length: Number(count) }, () => allocator.grant(ask, 1));
  },
);

Then(
  /^(?:they get|it gets) (?:permits|a permit) after "([^"]*)" ms$/,
  function (this: object, expected: string) {
    const shown = permitsOf(this).grants.map(({ granted, waitMs }) => (granted ? waitMs : "none"));
    assert.equal(shown.join(" "), expected);
  },
);

Then("they are told to come back after {string} ms", function (this: object, expected: string) {
  const { grants } = permitsOf(this);
  assert.ok(grants.every(({ granted }) => !granted));
  assert.equal(grants.map(({ waitMs }) => waitMs).join(" "), expected);
});

Given("two boxes", function (this: object) {
  setUpBoxes(this, [undefined, undefined]);
});

Given("two boxes, of which the second knows a later life of the target", function (this: object) {
  setUpBoxes(this, [1_000, 2_000]);
});

Given(
  "a box that hands out its own permits, and a target that named a limit of {float} a second",
  function (this: object, perSecond: number) {
    hear(setUpBoxes(this, [undefined]), 0, perSecond);
  },
);

When(
  "the first box hears that a target takes {float} a second",
  function (this: object, perSecond: number) {
    hear(boxesOf(this), 0, perSecond);
  },
);

When(
  "{int} ms go by and the second box hears that it takes {float} a second",
  async function (this: object, ms: number, perSecond: number) {
    const boxes = boxesOf(this);
    await passes(boxes, ms);
    hear(boxes, 1, perSecond);
  },
);

When(
  "{int} ms go by and the second box hears that it takes any number",
  async function (this: object, ms: number) {
    const boxes = boxesOf(this);
    await passes(boxes, ms);
    hear(boxes, 1, undefined);
  },
);

When("the boxes tell each other what they know", function (this: object) {
  const { limits } = boxesOf(this);
  const [first, second] = limits;
  second.applyChanges("b1", first.changesSince(second.appliedSequence("b1")));
  first.applyChanges("b2", second.changesSince(first.appliedSequence("b2")));
});

const limitAt = (world: object, which: string) =>
  boxesOf(world).limits[which === "first" ? 0 : 1].limitOf(target);

Then(
  /^the (first|second) box knows that the target takes ([\d.]+) a second$/,
  function (this: object, which: string, perSecond: string) {
    assert.equal(limitAt(this, which), Number(perSecond));
  },
);

Then(
  /^the (first|second) box knows that the target takes any number$/,
  function (this: object, which: string) {
    assert.equal(limitAt(this, which), undefined);
  },
);

When(
  "the box sleeps for {int} s while a request waits for its permit",
  async function (this: object, seconds: number) {
    const boxes = boxesOf(this);
    const asked = boxes.limits[0]
      .acquirePermit(target, 1_000)
      .then((permit) => (boxes.permit = permit));
    await passes(boxes, 100);
    boxes.clock.suspend(seconds * millisecondsPerSecond);
    await passes(boxes, 2_000);
    await asked;
  },
);

Then("the request has no permit", function (this: object) {
  assert.equal(boxesOf(this).permit, false);
});

When("{int} s go by at the box", function (this: object, seconds: number) {
  return passes(boxesOf(this), seconds * millisecondsPerSecond);
});

Then(/^the target is (not )?due for a trial$/, function (this: object, not: string | null) {
  assert.equal(boxesOf(this).limits[0].isProbeDue(target), not === null);
});
