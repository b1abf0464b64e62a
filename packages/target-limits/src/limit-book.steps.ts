import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import type { AdvertisedLimit } from "@linkfall/types";
import { createLimitRegistry, type LimitRegistry } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly book: LimitRegistry;
  readonly changes: string[];
}

const target = "t1";
const sceneOf = (world: object) => scenarioState(world).get<Scene>("limit book");

async function hear(
  world: object,
  sentAt: number,
  at: number,
  notice: AdvertisedLimit,
  served = true,
): Promise<void> {
  const { clock, book } = sceneOf(world);
  await clock.runUntil(at);
  book.recordAnswer({ target, notice, sentMsAgo: at - sentAt, served });
}

const limited = (perSecond: number): AdvertisedLimit => ({ kind: "limited", perSecond });

Given(
  "a target that named a limit of {float} a second at {int} ms",
  async function (this: object, perSecond: number, at: number) {
    const clock = createVirtualClock();
    const book = createLimitRegistry(clock, () => undefined);
    const changes: string[] = [];
    book.onChange((change) => changes.push(String(change.perSecond ?? "none")));
    scenarioState(this).set("limit book", { clock, book, changes } satisfies Scene);
    await hear(this, at, at, limited(perSecond));
  },
);

When(
  "a request that was sent at {int} ms is answered without a limit at {int} ms",
  function (this: object, sentAt: number, at: number) {
    return hear(this, sentAt, at, { kind: "none" });
  },
);

When(
  "a request that was sent at {int} ms fails without a limit at {int} ms",
  function (this: object, sentAt: number, at: number) {
    return hear(this, sentAt, at, { kind: "none" }, false);
  },
);

When(
  "a request that was sent at {int} ms is answered with an unreadable limit at {int} ms",
  function (this: object, sentAt: number, at: number) {
    return hear(this, sentAt, at, { kind: "unreadable", text: "NaN" });
  },
);

When(
  "a request that was sent at {int} ms is answered with a limit of {float} at {int} ms",
  function (this: object, sentAt: number, perSecond: number, at: number) {
    return hear(this, sentAt, at, limited(perSecond));
  },
);

When("the target's life ends", function (this: object) {
  sceneOf(this).book.forget(target);
});

Then("the target takes {float} a second", function (this: object, perSecond: number) {
  assert.equal(sceneOf(this).book.limitOf(target), perSecond);
});

Then("the target takes any number", function (this: object) {
  assert.equal(sceneOf(this).book.limitOf(target), undefined);
});

Then("the changes told are {string}", function (this: object, expected: string) {
  assert.equal(sceneOf(this).changes.join(" "), expected);
});
