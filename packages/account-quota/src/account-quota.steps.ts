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

interface AllocatorContext {
  readonly clock: VirtualClock;
  readonly allocator: QuotaAllocator;
  rate: QuotaRate;
  grants: readonly QuotaGrant[];
}

const contextOf = (world: object) => scenarioState(world).get<AllocatorContext>("allocator");

function createAllocatorContext(world: object, rate: QuotaRate, initialLevel: number): void {
  const clock = createVirtualClock();
  const allocator = createQuotaAllocator(clock, () => initialLevel);
  scenarioState(world).set("allocator", {
    clock,
    allocator,
    rate,
    grants: [],
  } satisfies AllocatorContext);
}

function sendRequests(world: object, count: number, needed: number, version = 1): void {
  const context = contextOf(world);
  const { allocator, rate } = context;
  const request = { account: "a", rate, version, needed, ahead: 0 };
  context.grants = Array.from({ length: count }, () => allocator.grant(request));
}

const advance = (world: object, ms: number) => {
  const { clock } = contextOf(world);
  return clock.runUntil(clock.now() + ms);
};

Given(
  "an allocator with a rate of {int} units per second and a burst of {int}",
  function (this: object, perSecond: number, burst: number) {
    createAllocatorContext(this, { perSecond, burst }, burst);
  },
);

Given(
  "an allocator with a rate of {int} units per second, a burst of {int} and an initial level of {int}",
  function (this: object, perSecond: number, burst: number, initialLevel: number) {
    createAllocatorContext(this, { perSecond, burst }, initialLevel);
  },
);

When(
  "{int} requests of {int} units arrive at the same time",
  function (this: object, count: number, units: number) {
    sendRequests(this, count, units);
  },
);

When("a request of {int} units arrives", function (this: object, units: number) {
  sendRequests(this, 1, units);
});

When(
  "{int} ms pass and a request of {int} units arrives",
  async function (this: object, ms: number, units: number) {
    await advance(this, ms);
    sendRequests(this, 1, units);
  },
);

When(
  "{int} ms pass and {int} requests of {int} units arrive at the same time",
  async function (this: object, ms: number, count: number, units: number) {
    await advance(this, ms);
    sendRequests(this, count, units);
  },
);

When(
  "version {int} lowers the limit to {int} units per second and a burst of {int}",
  function (this: object, version: number, perSecond: number, burst: number) {
    const context = contextOf(this);
    const previous = context.rate;
    context.rate = { perSecond, burst };
    sendRequests(this, 1, 0, version);
    context.rate = previous;
  },
);

When(
  "{int} requests of {int} units arrive at the same time with version {int}",
  function (this: object, count: number, units: number, version: number) {
    sendRequests(this, count, units, version);
  },
);

const grantedOf = (world: object) => contextOf(world).grants.filter(({ granted }) => granted > 0);

Then(/^(\d+) (?:is|are) granted$/, function (this: object, count: string) {
  assert.equal(grantedOf(this).length, Number(count));
});

Then("the request is granted", function (this: object) {
  assert.equal(grantedOf(this).length, 1);
});

Then("the request is refused with a wait of {int} ms", function (this: object, ms: number) {
  assert.deepEqual(contextOf(this).grants, [{ granted: 0, waitMs: ms }]);
});

Then(
  "the retry times of the refused requests are {int} ms apart, the last after {int} ms",
  function (this: object, intervalMs: number, lastMs: number) {
    const waits = contextOf(this).grants.flatMap((grant) =>
      grant.granted > 0 ? [] : grant.waitMs,
    );
    const expected = waits.map((_, index) => lastMs - (waits.length - 1 - index) * intervalMs);
    assert.deepEqual(waits, expected);
  },
);

interface BoxContext {
  readonly clock: VirtualClock;
  readonly quota: AccountQuota;
  readonly decisions: QuotaDecision[];
  /** Summaries reported for exhausted limits. */
  readonly summaries: GrantSummary[];
  readonly durationsMs: number[];
}

const boxContextOf = (world: object) => scenarioState(world).get<BoxContext>("box");
const connectedPeers = { connected: () => true, ownShare: () => 1, silentShare: () => 0 };
const tolerance = { windowSeconds: 8, overage: 0.1, slack: 0 };

function createBoxContext(
  world: object,
  peers: Omit<QuotaPeers, "self">,
  clock: VirtualClock,
): void {
  const summaries: GrantSummary[] = [];
  const onExhausted = (summary: GrantSummary) => void summaries.push(summary);
  const quota = createAccountQuota(clock, { self: "self", onExhausted, ...peers }, tolerance);
  scenarioState(world).set("box", {
    clock,
    quota,
    decisions: [],
    durationsMs: [],
    summaries,
  } satisfies BoxContext);
}

function accountOf(perSecond: number): ClientAccount {
  const limit: AccountLimit = { unit: "tokens", perSecond, burst: perSecond, defaultTokens: 200 };
  return { name: "a", keys: [], limit };
}

async function send(world: object, perSecond: number, units: number): Promise<QuotaDecision> {
  const { clock, quota, decisions, durationsMs } = boxContextOf(world);
  const startedAt = clock.now();
  const decisionPromise = quota.admit({ account: accountOf(perSecond), units, version: 1 });
  let decided = false;
  void decisionPromise.then((decision) => {
    decided = true;
    decisions.push(decision);
    durationsMs.push(clock.now() - startedAt);
  });
  while (!decided) await clock.runUntil(clock.now() + 1);
  return decisionPromise;
}

Given(
  "a box whose allocators do not respond, with a tenth of all load as its own share",
  function (this: object) {
    const clock = createVirtualClock();
    const neverResponds = async (): Promise<never> => new Promise(() => undefined);
    createBoxContext(
      this,
      {
        ...connectedPeers,
        allocators: () => ["x", "y", "z"],
        sendRequest: neverResponds,
        ownShare: () => 0.1,
      },
      clock,
    );
  },
);

Given("a box that is its own allocator", function (this: object) {
  const failure = { kind: "peer_unreachable", reason: "none", mayHaveArrived: false } as const;
  const sendRequest = async () => Left(failure);
  createBoxContext(
    this,
    { ...connectedPeers, allocators: () => ["self"], sendRequest },
    createVirtualClock(),
  );
});

Given("a box that is isolated from the majority", function (this: object) {
  const sendRequest = async () => Right({ granted: 0, waitMs: 0, declined: true });
  const peers = {
    ...connectedPeers,
    allocators: () => ["x", "self"],
    sendRequest,
    connected: () => false,
  };
  createBoxContext(this, { ...peers, ownShare: () => 0.1 }, createVirtualClock());
});

Given(
  "a box that is isolated after {int} ms, while its preferred allocator does not respond",
  function (this: object, ms: number) {
    const clock = createVirtualClock();
    const isolatedAt = clock.now() + ms;
    const peers = {
      ...connectedPeers,
      allocators: () => ["x", "self"],
      sendRequest: async (): Promise<never> => new Promise(() => undefined),
      connected: () => clock.now() < isolatedAt,
      ownShare: () => 0.1,
    };
    createBoxContext(this, peers, clock);
  },
);

Then("the box declines to allocate for others", async function (this: object) {
  const { clock, quota } = boxContextOf(this);
  const rate = { perSecond: 1000, burst: 1000 };
  const request = { account: "a", rate, version: 1, needed: 10, ahead: 0 };
  const grant = quota.allocate(request);
  await clock.runUntil(clock.now() + 1000);
  assert.deepEqual(await grant, { granted: 0, waitMs: 0, declined: true });
});

Given(
  "an allocating box while {int} of 100 boxes are silent",
  function (this: object, silent: number) {
    const sendRequest = async () => Right({ granted: 0, waitMs: 0, declined: true });
    const peers = {
      ...connectedPeers,
      allocators: () => ["self"],
      sendRequest,
      silentShare: () => silent / 100,
    };
    createBoxContext(this, peers, createVirtualClock());
  },
);

When(
  "for {int} s an account limited to {int} units per second sends a request of {int} units every {int} ms",
  async function (
    this: object,
    seconds: number,
    perSecond: number,
    units: number,
    intervalMs: number,
  ) {
    const { clock } = boxContextOf(this);
    const until = clock.now() + seconds * 1000;
    while (clock.now() < until) {
      await send(this, perSecond, units);
      await clock.runUntil(clock.now() + intervalMs);
    }
  },
);

When(
  "an account limited to {int} units per second sends {int} requests of {int} units to the box",
  async function (this: object, perSecond: number, count: number, units: number) {
    for (let index = 0; index < count; index++) await send(this, perSecond, units);
  },
);

When(
  "an account limited to {int} units per second sends {int} requests of {int} units to the box at the same time",
  async function (this: object, perSecond: number, count: number, units: number) {
    await Promise.all(Array.from({ length: count }, () => send(this, perSecond, units)));
  },
);

When(
  "an account limited to {int} units per second exhausts its units at the box",
  async function (this: object, perSecond: number) {
    while ((await send(this, perSecond, 100)).kind === "admitted");
  },
);

When("{int} units are refunded", function (this: object, units: number) {
  boxContextOf(this).quota.refund({ account: accountOf(1000), units, version: 1 });
});

Then("a request of {int} units is admitted", async function (this: object, units: number) {
  assert.equal((await send(this, 1000, units)).kind, "admitted");
});

Then(
  "the box admits between {int} and {int} requests",
  function (this: object, min: number, max: number) {
    const admitted = boxContextOf(this).decisions.filter(({ kind }) => kind === "admitted").length;
    assert.ok(admitted >= min && admitted <= max, String(admitted));
  },
);

Then(
  "the grant summaries add up to the admitted units, except for the last second",
  function (this: object) {
    const { summaries, decisions } = boxContextOf(this);
    const admitted = decisions.filter(({ kind }) => kind === "admitted").length * 100;
    const units = summaries.reduce((sum, summary) => sum + summary.units, 0);
    assert.ok(units >= admitted - 10_000 && units <= admitted + 10_000, `${units} of ${admitted}`);
    assert.ok(summaries.every(({ refusals, part }) => refusals > 0 && part === 1));
  },
);

Then("no grant summary is reported", function (this: object) {
  assert.deepEqual(boxContextOf(this).summaries, []);
});

Then("each admission decision took at most {int} ms", function (this: object, ms: number) {
  assert.ok(Math.max(...boxContextOf(this).durationsMs) <= ms);
});

Then(
  "a request with prompt and output tokens {string} is charged {int} units under a limit of {string}",
  (tokens: string, units: number, unit: AccountLimit["unit"]) => {
    const [prompt, output] = tokens.split(" and ").map(Number);
    const hasTokens = Number.isFinite(prompt);
    const terms: RequestMetadata = {
      id: "r",
      tokensDeclared: hasTokens,
      promptTokens: hasTokens ? prompt : 0,
      maxOutputTokens: hasTokens ? output : 0,
      parts: [],
    };
    const limit = { unit, perSecond: 1, burst: 1, defaultTokens: 200 };
    assert.equal(unitsOf(limit, terms), units);
  },
);
