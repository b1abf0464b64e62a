import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import type { AdvertisedLimit } from "@linkfall/types";
import { createLimitRegistry, type LimitRegistry } from "./index.js";

interface RegistryContext {
  readonly clock: VirtualClock;
  readonly registry: LimitRegistry;
  readonly changes: string[];
}

const target = "t1";
const contextOf = (world: object) => scenarioState(world).get<RegistryContext>("limit registry");

async function recordAnswer(
  world: object,
  sentAt: number,
  receivedAt: number,
  notice: AdvertisedLimit,
  served = true,
): Promise<void> {
  const { clock, registry } = contextOf(world);
  await clock.runUntil(receivedAt);
  registry.recordAnswer({ target, notice, sentMsAgo: receivedAt - sentAt, served });
}

const limited = (perSecond: number): AdvertisedLimit => ({ kind: "limited", perSecond });

Given(
  "a target that announced a limit of {float} requests per second at {int} ms",
  async function (this: object, perSecond: number, at: number) {
    const clock = createVirtualClock();
    const registry = createLimitRegistry(clock, () => undefined);
    const changes: string[] = [];
    registry.onChange((change) => changes.push(String(change.perSecond ?? "none")));
    scenarioState(this).set("limit registry", {
      clock,
      registry,
      changes,
    } satisfies RegistryContext);
    await recordAnswer(this, at, at, limited(perSecond));
  },
);

When(
  "a request sent at {int} ms is answered without a limit at {int} ms",
  function (this: object, sentAt: number, receivedAt: number) {
    return recordAnswer(this, sentAt, receivedAt, { kind: "none" });
  },
);

When(
  "a request sent at {int} ms fails without a limit at {int} ms",
  function (this: object, sentAt: number, receivedAt: number) {
    return recordAnswer(this, sentAt, receivedAt, { kind: "none" }, false);
  },
);

When(
  "a request sent at {int} ms is answered with an unreadable limit at {int} ms",
  function (this: object, sentAt: number, receivedAt: number) {
    return recordAnswer(this, sentAt, receivedAt, { kind: "unreadable", text: "NaN" });
  },
);

When(
  "a request sent at {int} ms is answered with a limit of {float} at {int} ms",
  function (this: object, sentAt: number, perSecond: number, receivedAt: number) {
    return recordAnswer(this, sentAt, receivedAt, limited(perSecond));
  },
);

When("the incarnation of the target ends", function (this: object) {
  contextOf(this).registry.forget(target);
});

When(
  /^(\d+) ms pass and targets expire after (\d+) ms, of which this one is (gone|listed)$/,
  async function (this: object, ms: string, keepMs: string, state: string) {
    const { clock, registry } = contextOf(this);
    await clock.runUntil(clock.now() + Number(ms));
    registry.expire(() => state === "gone", Number(keepMs));
  },
);

Then(
  "the target is limited to {float} requests per second",
  function (this: object, perSecond: number) {
    assert.equal(contextOf(this).registry.limitOf(target), perSecond);
  },
);

Then("the target is not limited", function (this: object) {
  assert.equal(contextOf(this).registry.limitOf(target), undefined);
});

Then("the reported changes are {string}", function (this: object, expected: string) {
  assert.equal(contextOf(this).changes.join(" "), expected);
});
