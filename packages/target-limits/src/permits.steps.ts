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

interface AllocatorContext {
  readonly clock: VirtualClock;
  readonly allocator: PermitAllocator;
  readonly perSecond: number;
  grants: readonly PermitGrant[];
}

interface BoxesContext {
  readonly clock: VirtualClock;
  readonly limits: readonly TargetLimits[];
  hasPermit?: boolean;
}

const target = "t1";
const millisecondsPerSecond = 1000;
const allocatorContextOf = (world: object) =>
  scenarioState(world).get<AllocatorContext>("permits at a target");
const boxesContextOf = (world: object) =>
  scenarioState(world).get<BoxesContext>("boxes with limits");

const noPeers: PermitPeers = {
  self: "b1",
  allocators: () => ["b1"],
  sendRequest: async () =>
    Left({ kind: "peer_unreachable", reason: "no peers", mayHaveArrived: false }),
  connected: () => true,
  ownShare: () => 1,
  silentShare: () => 0,
  boxCount: () => 2,
};

function createBoxes(world: object, startTimes: readonly (number | undefined)[]): BoxesContext {
  const clock = createVirtualClock();
  const limits = startTimes.map((startedAt) => createTargetLimits(clock, noPeers, () => startedAt));
  const boxes: BoxesContext = { clock, limits };
  scenarioState(world).set("boxes with limits", boxes);
  return boxes;
}

const advance = ({ clock }: { readonly clock: VirtualClock }, ms: number) =>
  clock.runUntil(clock.now() + ms);

function observeLimit({ limits }: BoxesContext, box: number, perSecond: number | undefined): void {
  const notice =
    perSecond === undefined
      ? ({ kind: "none" } as const)
      : ({ kind: "limited", perSecond } as const);
  limits[box].recordAnswer({ target, notice, sentMsAgo: 1, served: true });
}

Given(
  "a target limited to {float} requests per second, without permits granted yet",
  function (this: object, perSecond: number) {
    const clock = createVirtualClock();
    const allocator = createPermitAllocator(clock);
    scenarioState(this).set("permits at a target", {
      clock,
      allocator,
      perSecond,
      grants: [],
    } satisfies AllocatorContext);
  },
);

When("{int} s pass at the target", async function (this: object, seconds: number) {
  const context = allocatorContextOf(this);
  // Creates the target's bucket, which is refilled from then on.
  context.allocator.grant({ target, perSecond: context.perSecond, withinMs: -1 }, 1);
  await advance(context, seconds * millisecondsPerSecond);
});

When(
  /^(\d+) requests? asks? for a permit within (\d+) ms$/,
  function (this: object, count: string, within: string) {
    const context = allocatorContextOf(this);
    const { allocator, perSecond } = context;
    const request = { target, perSecond, withinMs: Number(within) };
    context.grants = Array.from({ length: Number(count) }, () => allocator.grant(request, 1));
  },
);

Then(
  /^(?:they get|it gets) (?:permits|a permit) after "([^"]*)" ms$/,
  function (this: object, expected: string) {
    const delays = allocatorContextOf(this).grants.map(({ granted, waitMs }) =>
      granted ? waitMs : "none",
    );
    assert.equal(delays.join(" "), expected);
  },
);

Then("the retry times are {string} ms", function (this: object, expected: string) {
  const { grants } = allocatorContextOf(this);
  assert.ok(grants.every(({ granted }) => !granted));
  assert.equal(grants.map(({ waitMs }) => waitMs).join(" "), expected);
});

Given("two boxes without target limits", function (this: object) {
  createBoxes(this, [undefined, undefined]);
});

Given(
  "two boxes, the second of which has seen a later incarnation of the target",
  function (this: object) {
    createBoxes(this, [1_000, 2_000]);
  },
);

Given(
  "a box that is the permit allocator of a target limited to {float} requests per second",
  function (this: object, perSecond: number) {
    observeLimit(createBoxes(this, [undefined]), 0, perSecond);
  },
);

When(
  "the first box observes a limit of {float} requests per second",
  function (this: object, perSecond: number) {
    observeLimit(boxesContextOf(this), 0, perSecond);
  },
);

When(
  "{int} ms pass and the second box observes a limit of {float} request(s) per second",
  async function (this: object, ms: number, perSecond: number) {
    const boxes = boxesContextOf(this);
    await advance(boxes, ms);
    observeLimit(boxes, 1, perSecond);
  },
);

When(
  "{int} ms pass and the second box observes the end of the limit",
  async function (this: object, ms: number) {
    const boxes = boxesContextOf(this);
    await advance(boxes, ms);
    observeLimit(boxes, 1, undefined);
  },
);

When("the boxes exchange limit changes", function (this: object) {
  const { limits } = boxesContextOf(this);
  const [first, second] = limits;
  second.applyChanges("b1", first.changesSince(second.appliedSequence("b1")));
  first.applyChanges("b2", second.changesSince(first.appliedSequence("b2")));
});

const limitAt = (world: object, which: string) =>
  boxesContextOf(world).limits[which === "first" ? 0 : 1].limitOf(target);

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
  "the box is suspended for {int} s while a request waits for its permit",
  async function (this: object, seconds: number) {
    const boxes = boxesContextOf(this);
    const acquired = boxes.limits[0]
      .acquirePermit(target, 1_000)
      .then((permit) => (boxes.hasPermit = permit));
    await advance(boxes, 100);
    boxes.clock.suspend(seconds * millisecondsPerSecond);
    await advance(boxes, 2_000);
    await acquired;
  },
);

Then("the request is denied a permit", function (this: object) {
  assert.equal(boxesContextOf(this).hasPermit, false);
});

When("{int} s pass at the box", function (this: object, seconds: number) {
  return advance(boxesContextOf(this), seconds * millisecondsPerSecond);
});

Then(/^the target is (not )?due for a trial$/, function (this: object, not: string | null) {
  assert.equal(boxesContextOf(this).limits[0].isProbeDue(target), not === null);
});
