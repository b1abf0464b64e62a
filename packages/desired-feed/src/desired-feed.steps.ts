import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createFleet, type Fleet } from "@linkfall/fleet";
import { clockName, createKernel, createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { createMetrics, metricsName } from "@linkfall/metrics";
import { loggerName, recordingLogger } from "@linkfall/logger";
import type { RecordCodec } from "@linkfall/ports";
import { createKeyedStore, type KeyedStore } from "@linkfall/test-support";
import type { ListedTarget, ListPosition, RoutedConfiguration } from "@linkfall/types";
import { Left, Right } from "purify-ts";
import { createDesiredFeed, type DesiredFeed } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly configurations: KeyedStore;
  readonly targets: KeyedStore;
  readonly feed: DesiredFeed;
  readonly fleet: Fleet;
  readonly events: string[];
  /** Whether this box is a reader of the store. */
  reads: boolean;
  /** How far another box has received the target list. */
  received: ListPosition;
}

const scenes = new WeakMap<object, Scene>();
const box = "b1";
const key = "whole";

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

function configuration(version: number): RoutedConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: new Map(), limits };
}

/** A configuration record is its version, a target record the name of its service. */
const codec: RecordCodec = {
  parseConfiguration: (text) =>
    Number.isFinite(Number(text))
      ? Right(configuration(Number(text)))
      : Left({ kind: "invalid_input", problems: [{ field: "version", reason: "not a number" }] }),
  parseTarget: (id, text) =>
    text === "{"
      ? Left({ kind: "invalid_input", problems: [{ field: "", reason: "not JSON" }] })
      : Right(targetOf(id, text)),
};

const idsOf = (text: string) => text.split(" ");

function targetOf(id: string, service = "s"): ListedTarget {
  return { id, service, address: `${id}.example:1`, domain: "d", slots: 1, leaving: false };
}

Given(
  "a store with configuration {int} and targets {string}",
  function (this: object, version: number, ids: string) {
    const created: { scene?: Scene } = {};
    const clock = createVirtualClock();
    const events: string[] = [];
    const kernel = createKernel();
    kernel.provide(clockName, clock);
    kernel.provide(metricsName, createMetrics());
    kernel.provide(
      loggerName,
      recordingLogger((name) => void events.push(name)),
    );
    const fleet = createFleet(kernel, {
      lapse: { graceMs: 1_600, minShare: 0.3, returnMs: 2_200 },
      ejection: { consecutiveFailures: 3, initialMs: 1_000, maxMs: 8_000 },
    });
    const configurations = createKeyedStore(clock);
    const targets = createKeyedStore(clock);
    configurations.write(key, String(version));
    for (const id of idsOf(ids)) targets.write(id, "s");
    const feed = createDesiredFeed(kernel, {
      configurationStream: configurations.portFor(box),
      targetStream: targets.portFor(box),
      codec,
      fleet,
      peers: { readsStore: () => created.scene?.reads ?? true, anyReaderReachesStore: () => true },
      times: { maxWaitMs: 200, coalesceMs: 0, initialRetryPauseMs: 50, maxRetryPauseMs: 300 },
      coalesceTargetsMs: 0,
      configurationKey: key,
      settleMs: 1_000,
    });
    const rest = { events, reads: true, received: { end: 0, generation: 0 } };
    created.scene = { clock, configurations, targets, feed, fleet, ...rest };
    scenes.set(this, created.scene);
  },
);

async function passTime(world: object, ms: number): Promise<void> {
  const { clock, fleet, feed } = sceneOf(world);
  const end = clock.now() + ms;
  while (clock.now() < end) {
    await clock.runUntil(clock.now() + 50);
    fleet.expireMissing(feed.isListSettled());
  }
}

Given("a feed that has read them", async function (this: object) {
  await sceneOf(this).feed.start();
  await passTime(this, 100);
  assert.ok(sceneOf(this).feed.ready());
});

After({ name: "desired-feed" }, async function (this: object) {
  await scenes.get(this)?.feed.stop();
});

When("configuration {int} is written", function (this: object, version: number) {
  sceneOf(this).configurations.write(key, String(version));
});

When("an invalid configuration is written", function (this: object) {
  sceneOf(this).configurations.write(key, "broken");
});

When("the target {string} is written", function (this: object, id: string) {
  sceneOf(this).targets.write(id, "s");
});

When("the target {string} is deleted", function (this: object, id: string) {
  sceneOf(this).targets.write(id, undefined);
});

When("the history is truncated", function (this: object) {
  sceneOf(this).targets.compact();
  sceneOf(this).configurations.compact();
});

When(
  /^the store (refuses|serves) the feed$/,
  function (this: object, access: "refuses" | "serves") {
    sceneOf(this).configurations.setAccess(box, access);
    sceneOf(this).targets.setAccess(box, access);
  },
);

When("{int} ms pass in the feed", function (this: object, ms: number) {
  return passTime(this, ms);
});

When(
  /^a copy with configuration (\d+) and targets "(.*)" of (a later|an earlier) read comes from another box$/,
  function (this: object, version: string, ids: string, when: string) {
    const { feed } = sceneOf(this);
    feed.applyConfigurationCopy({ version: Number(version), text: version });
    feed.applyTargetChanges({
      end: feed.targetsPosition().end + (when === "a later" ? 5 : -1),
      whole: true,
      changed: idsOf(ids).map((id) => targetOf(id)),
      gone: [],
    });
  },
);

When("the feed is not a reader of the store", function (this: object) {
  sceneOf(this).reads = false;
});

When("the feed is a reader of the store again", function (this: object) {
  sceneOf(this).reads = true;
});

When(
  "another box sends {string} as changed and {string} as removed",
  function (this: object, changed: string, gone: string) {
    const { feed } = sceneOf(this);
    feed.applyTargetChanges({
      end: feed.targetsPosition().end + 2,
      whole: false,
      changed: idsOf(changed).map((id) => targetOf(id)),
      gone: idsOf(gone),
    });
  },
);

Then(
  "a box at the first offset receives the full list {string}",
  function (this: object, ids: string) {
    const changes = sceneOf(this).feed.targetChangesSince({ end: 0, generation: 0 });
    assert.ok(changes.whole);
    assert.deepEqual(changes.changed.map(({ id }) => id).sort(), idsOf(ids));
  },
);

Then(
  "a box that has received everything before receives {string} as changed and {string} as removed",
  function (this: object, changed: string, gone: string) {
    const changes = sceneOf(this).feed.targetChangesSince(sceneOf(this).received);
    assert.ok(!changes.whole);
    assert.deepEqual(changes.changed.map(({ id }) => id).sort(), idsOf(changed));
    assert.deepEqual([...changes.gone].sort(), idsOf(gone));
  },
);

Given("another box has received everything", function (this: object) {
  const scene = sceneOf(this);
  scene.received = scene.feed.targetsPosition();
});

Then("the store is not read", async function (this: object) {
  const { targets } = sceneOf(this);
  const before = targets.reads();
  await passTime(this, 2_000);
  assert.equal(targets.reads(), before);
});

Then("configuration {int} is active", function (this: object, version: number) {
  assert.equal(sceneOf(this).feed.activeConfiguration()?.configuration.version, version);
});

Then("{int} bad record has been logged", function (this: object, count: number) {
  const bad = sceneOf(this).events.filter((name) => name === "badRecord");
  assert.equal(bad.length, count);
});

Then("the feed reports the store as unreachable", function (this: object) {
  assert.ok(!sceneOf(this).feed.reachesStore());
});

Then("the feed reports the store as reachable", function (this: object) {
  assert.ok(sceneOf(this).feed.reachesStore());
});

Then("the targets {string} are known", function (this: object, ids: string) {
  const known = sceneOf(this)
    .fleet.all()
    .map((target) => target.listed.id);
  assert.deepEqual([...known].sort(), idsOf(ids));
});

Then("the target {string} is not known", function (this: object, id: string) {
  assert.equal(sceneOf(this).fleet.find(id), undefined);
});

When(
  "{string} is written as the entry of {string}",
  function (this: object, text: string, id: string) {
    sceneOf(this).targets.write(id, text);
  },
);

When("another box sends {string} as unreadable", function (this: object, id: string) {
  const { feed } = sceneOf(this);
  const end = feed.targetsPosition().end + 1;
  feed.applyTargetChanges({ end, whole: false, changed: [], gone: [], unreadable: [id] });
});

Then(
  "a box at the first offset receives the full list {string}, with {string} as unreadable",
  function (this: object, ids: string, bad: string) {
    const changes = sceneOf(this).feed.targetChangesSince({ end: 0, generation: 0 });
    assert.ok(changes.whole);
    assert.deepEqual(changes.changed.map(({ id }) => id).sort(), idsOf(ids));
    assert.deepEqual(changes.unreadable, [bad]);
  },
);

Then(
  "a box that has received everything before receives {string} as unreadable",
  function (this: object, bad: string) {
    const changes = sceneOf(this).feed.targetChangesSince(sceneOf(this).received);
    assert.deepEqual([changes.changed, changes.gone, changes.unreadable], [[], [], [bad]]);
  },
);

When("the store goes back by {int} records", function (this: object, count: number) {
  sceneOf(this).targets.goBack(count);
});

When(
  "the store of configurations goes back by {int} records",
  function (this: object, count: number) {
    sceneOf(this).configurations.goBack(count);
  },
);

When(
  "another box that has read generation {int} of the store up to {int} sends the whole list {string}",
  function (this: object, generation: number, end: number, ids: string) {
    const changed = idsOf(ids).map((id) => targetOf(id));
    sceneOf(this).feed.applyTargetChanges({ generation, end, whole: true, changed, gone: [] });
  },
);

Then("the target {string} is known", function (this: object, id: string) {
  assert.ok(sceneOf(this).fleet.find(id));
});

Then("the targets {string} may get requests", function (this: object, ids: string) {
  const usable = sceneOf(this).fleet.usableTargets("s");
  assert.deepEqual(usable.map(({ listed }) => listed.id).sort(), idsOf(ids));
});

Then("no target of the feed may get requests", function (this: object) {
  assert.deepEqual(sceneOf(this).fleet.usableTargets("s"), []);
});

Then(
  /^the feed (catches|can't catch) up with the targets$/,
  async function (this: object, result: string) {
    const catchingUp = sceneOf(this).feed.catchUpTargets();
    await passTime(this, 100);
    assert.equal(await catchingUp, result === "catches");
  },
);
