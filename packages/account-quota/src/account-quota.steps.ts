import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import type { AccountLimit, ClientAccount, RequestMetadata } from "@linkfall/types";
import { Left, Right } from "purify-ts";
import {
  type GrantSummary,
  type AccountQuota,
  createAccountQuota,
  createQuotaAllocator,
  type QuotaAllocator,
  type QuotaDecision,
  type QuotaGrant,
  type QuotaPeers,
  type QuotaRate,
  unitsOf,
} from "./index.js";

interface AllocatorScene {
  readonly clock: VirtualClock;
  readonly allocator: QuotaAllocator;
  rate: QuotaRate;
  grants: readonly QuotaGrant[];
}

const sceneOf = (world: object) => scenarioState(world).get<AllocatorScene>("allocator");

function setUp(world: object, rate: QuotaRate, firstLevel: number): void {
  const clock = createVirtualClock();
  const allocator = createQuotaAllocator(clock, () => firstLevel);
  scenarioState(world).set("allocator", {
    clock,
    allocator,
    rate,
    grants: [],
  } satisfies AllocatorScene);
}

function request(world: object, count: number, needed: number, version = 1): void {
  const scene = sceneOf(world);
  const { allocator, rate } = scene;
  const ask = { account: "a", rate, version, needed, ahead: 0 };
  scene.grants = Array.from({ length: count }, () => allocator.grant(ask));
}

const passes = (world: object, ms: number) => {
  const { clock } = sceneOf(world);
  return clock.runUntil(clock.now() + ms);
};

Given(
  "an allocator of {int} units a second and {int} at once",
  function (this: object, perSecond: number, burst: number) {
    setUp(this, { perSecond, burst }, burst);
  },
);

Given(
  "an allocator of {int} units a second and {int} at once, of which {int} at first",
  function (this: object, perSecond: number, burst: number, first: number) {
    setUp(this, { perSecond, burst }, first);
  },
);

When(
  "{int} requests of {int} units come at once",
  function (this: object, count: number, units: number) {
    request(this, count, units);
  },
);

When("a request of {int} units comes", function (this: object, units: number) {
  request(this, 1, units);
});

When(
  "{int} ms go by and a request of {int} units comes",
  async function (this: object, ms: number, units: number) {
    await passes(this, ms);
    request(this, 1, units);
  },
);

When(
  "{int} ms go by and {int} requests of {int} units come at once",
  async function (this: object, ms: number, count: number, units: number) {
    await passes(this, ms);
    request(this, count, units);
  },
);

When(
  "version {int} lowers the limit to {int} units a second and {int} at once",
  function (this: object, version: number, perSecond: number, burst: number) {
    const scene = sceneOf(this);
    const before = scene.rate;
    scene.rate = { perSecond, burst };
    request(this, 1, 0, version);
    scene.rate = before;
  },
);

When(
  "{int} requests of {int} units come at once under version {int}",
  function (this: object, count: number, units: number, version: number) {
    request(this, count, units, version);
  },
);

const grantedOf = (world: object) => sceneOf(world).grants.filter(({ granted }) => granted > 0);

Then(/^(\d+) (?:is|are) granted$/, function (this: object, count: string) {
  assert.equal(grantedOf(this).length, Number(count));
});

Then("it is granted", function (this: object) {
  assert.equal(grantedOf(this).length, 1);
});

Then("it is refused for {int} ms", function (this: object, ms: number) {
  assert.deepEqual(sceneOf(this).grants, [{ granted: 0, waitMs: ms }]);
});

Then(
  "those refused are told to come back {int} ms apart, the last after {int} ms",
  function (this: object, apart: number, last: number) {
    const waits = sceneOf(this).grants.flatMap((grant) => (grant.granted > 0 ? [] : grant.waitMs));
    const expected = waits.map((_, index) => last - (waits.length - 1 - index) * apart);
    assert.deepEqual(waits, expected);
  },
);

interface BoxScene {
  readonly clock: VirtualClock;
  readonly quota: AccountQuota;
  readonly decisions: QuotaDecision[];
  /** What the box has told of limits that run short. */
  readonly told: GrantSummary[];
  readonly tookMs: number[];
}

const boxOf = (world: object) => scenarioState(world).get<BoxScene>("box");
const alike = { connected: () => true, ownPart: () => 1, silentPart: () => 0 };
const tolerance = { windowSeconds: 8, overage: 0.1, slack: 0 };

function setUpBox(world: object, peers: Omit<QuotaPeers, "self">, clock: VirtualClock): void {
  const told: GrantSummary[] = [];
  const onShort = (allotted: GrantSummary) => void told.push(allotted);
  const quota = createAccountQuota(
    clock,
    { self: "self", onExhausted: onShort, ...peers },
    tolerance,
  );
  scenarioState(world).set("box", {
    clock,
    quota,
    decisions: [],
    tookMs: [],
    told,
  } satisfies BoxScene);
}

function accountOf(perSecond: number): ClientAccount {
  const limit: AccountLimit = { unit: "tokens", perSecond, burst: perSecond, defaultTokens: 200 };
  return { name: "a", keys: [], limit };
}

async function send(world: object, perSecond: number, units: number): Promise<QuotaDecision> {
  const { clock, quota, decisions, tookMs } = boxOf(world);
  const from = clock.now();
  const deciding = quota.admit({ account: accountOf(perSecond), units, version: 1 });
  let decided = false;
  void deciding.then((decision) => {
    decided = true;
    decisions.push(decision);
    tookMs.push(clock.now() - from);
  });
  while (!decided) await clock.runUntil(clock.now() + 1);
  return deciding;
}

Given(
  "a box whose allocators are silent, with a tenth of what all boxes carry",
  function (this: object) {
    const clock = createVirtualClock();
    const silent = async (): Promise<never> => new Promise(() => undefined);
    setUpBox(
      this,
      { ...alike, allocators: () => ["x", "y", "z"], sendRequest: silent, ownShare: () => 0.1 },
      clock,
    );
  },
);

Given("a box that allocates for itself", function (this: object) {
  const failure = { kind: "peer_unreachable", reason: "none", mayHaveArrived: false } as const;
  const ask = async () => Left(failure);
  setUpBox(this, { ...alike, allocators: () => ["self"], sendRequest: ask }, createVirtualClock());
});

Given("a box that is cut off from most others", function (this: object) {
  const ask = async () => Right({ granted: 0, waitMs: 0, declined: true });
  const peers = { ...alike, allocators: () => ["x", "self"], ask, connected: () => false };
  setUpBox(this, { ...peers, ownShare: () => 0.1 }, createVirtualClock());
});

Then("it declines to allocate for others", async function (this: object) {
  const rate = { perSecond: 1000, burst: 1000 };
  const ask = { account: "a", rate, version: 1, needed: 10, ahead: 0 };
  assert.deepEqual(await boxOf(this).quota.allocate(ask), {
    granted: 0,
    waitMs: 0,
    declined: true,
  });
});

Given(
  "a box that allocates while {int} in 100 of all boxes are silent",
  function (this: object, silent: number) {
    const ask = async () => Right({ granted: 0, waitMs: 0, declined: true });
    const peers = { ...alike, allocators: () => ["self"], ask, silentPart: () => silent / 100 };
    setUpBox(this, peers, createVirtualClock());
  },
);

When(
  "{int} s go by while an account of {int} units a second sends {int} units each {int} ms",
  async function (this: object, seconds: number, perSecond: number, units: number, eachMs: number) {
    const { clock } = boxOf(this);
    const until = clock.now() + seconds * 1000;
    while (clock.now() < until) {
      await send(this, perSecond, units);
      await clock.runUntil(clock.now() + eachMs);
    }
  },
);

When(
  "an account of {int} units a second sends {int} requests of {int} units there",
  async function (this: object, perSecond: number, count: number, units: number) {
    for (let index = 0; index < count; index++) await send(this, perSecond, units);
  },
);

When(
  "an account of {int} units a second uses up what it has there",
  async function (this: object, perSecond: number) {
    while ((await send(this, perSecond, 100)).kind === "admitted");
  },
);

When("{int} units are given back", function (this: object, units: number) {
  boxOf(this).quota.refund({ account: accountOf(1000), units, version: 1 });
});

Then("a request of {int} units is let through", async function (this: object, units: number) {
  assert.equal((await send(this, 1000, units)).kind, "admitted");
});

Then(
  "it lets through between {int} and {int}",
  function (this: object, least: number, most: number) {
    const through = boxOf(this).decisions.filter(({ kind }) => kind === "admitted").length;
    assert.ok(through >= least && through <= most, String(through));
  },
);

Then(
  "what it tells of the limit adds up to what it lets through, but for the last second",
  function (this: object) {
    const { told, decisions } = boxOf(this);
    const through = decisions.filter(({ kind }) => kind === "admitted").length * 100;
    const units = told.reduce((sum, allotted) => sum + allotted.units, 0);
    assert.ok(units >= through - 10_000 && units <= through + 10_000, `${units} of ${through}`);
    assert.ok(told.every(({ refusals, part }) => refusals > 0 && part === 1));
  },
);

Then("it tells nothing of that limit", function (this: object) {
  assert.deepEqual(boxOf(this).told, []);
});

Then("each decision took at most {int} ms", function (this: object, ms: number) {
  assert.ok(Math.max(...boxOf(this).tookMs) <= ms);
});

Then(
  "a request with {string} counts {int} under a limit of {string}",
  (told: string, units: number, unit: AccountLimit["unit"]) => {
    const [prompt, output] = told.split(" and ").map(Number);
    const tokensTold = Number.isFinite(prompt);
    const terms: RequestMetadata = {
      id: "r",
      tokensDeclared: tokensTold,
      promptTokens: tokensTold ? prompt : 0,
      maxOutputTokens: tokensTold ? output : 0,
      parts: [],
    };
    const limit = { unit, perSecond: 1, burst: 1, defaultTokens: 200 };
    assert.equal(unitsOf(limit, terms), units);
  },
);
