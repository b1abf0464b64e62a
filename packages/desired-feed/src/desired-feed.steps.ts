import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createFleet, type Fleet } from "@linkfall/fleet";
import { clockName, createKernel, createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { createMetrics, metricsName } from "@linkfall/metrics";
import { loggerName, recordingLogger } from "@linkfall/logger";
import type { RecordCodec } from "@linkfall/ports";
import { createKeyedStore, type KeyedStore } from "@linkfall/test-support";
import type { ListedTarget, RoutedConfiguration } from "@linkfall/types";
import { Left, Right } from "purify-ts";
import { createDesiredFeed, type DesiredFeed } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly configurations: KeyedStore;
  readonly targets: KeyedStore;
  readonly feed: DesiredFeed;
  readonly fleet: Fleet;
  readonly events: string[];
  /** Whether this box is to read the store itself. */
  reads: boolean;
  /** How far another box was told of the list. */
  toldEnd: number;
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

/** Records are a version, or the name of a target's service. */
const codec: RecordCodec = {
  parseConfiguration: (text) =>
    Number.isFinite(Number(text))
      ? Right(configuration(Number(text)))
      : Left({ kind: "invalid_input", problems: [{ field: "version", reason: "no number" }] }),
  parseTarget: (id, text) =>
    text === "{"
      ? Left({ kind: "invalid_input", problems: [{ field: "", reason: "no JSON" }] })
      : Right({ id, service: text, address: "10.0.0.1:1", domain: "d", slots: 1, leaving: false }),
};

const words = (text: string) => text.split(" ");

function listedAs(id: string): ListedTarget {
  return { id, service: "s", address: "10.0.0.1:1", domain: "d", slots: 1, leaving: false };
}

Given(
  "a store with configuration {int} and targets {string}",
  function (this: object, version: number, ids: string) {
    const own: { scene?: Scene } = {};
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
      lapse: { graceMs: 1_600, minShare: 0.3 },
      ejection: { consecutiveFailures: 3, initialMs: 1_000, maxMs: 8_000 },
    });
    const configurations = createKeyedStore(clock);
    const targets = createKeyedStore(clock);
    configurations.write(key, String(version));
    for (const id of words(ids)) targets.write(id, "s");
    const feed = createDesiredFeed(kernel, {
      configurationStream: configurations.portFor(box),
      targetStream: targets.portFor(box),
      codec,
      fleet,
      peers: { readsStore: () => own.scene?.reads ?? true, anyReaderReachesStore: () => true },
      times: { maxWaitMs: 200, coalesceMs: 0, initialRetryPauseMs: 50, maxRetryPauseMs: 300 },
      coalesceTargetsMs: 0,
      configurationKey: key,
      settleMs: 1_000,
    });
    const rest = { events, reads: true, toldEnd: 0 };
    own.scene = { clock, configurations, targets, feed, fleet, ...rest };
    scenes.set(this, own.scene);
  },
);

async function pass(world: object, ms: number): Promise<void> {
  const { clock, fleet, feed } = sceneOf(world);
  const end = clock.now() + ms;
  while (clock.now() < end) {
    await clock.runUntil(clock.now() + 50);
    fleet.expireMissing(feed.storeUnsettled());
  }
}

Given("a feed that has read them", async function (this: object) {
  await sceneOf(this).feed.start();
  await pass(this, 100);
  assert.ok(sceneOf(this).feed.ready());
});

After({ name: "desired-feed" }, async function (this: object) {
  await scenes.get(this)?.feed.stop();
});

When("configuration {int} is written", function (this: object, version: number) {
  sceneOf(this).configurations.write(key, String(version));
});

When("a broken configuration is written", function (this: object) {
  sceneOf(this).configurations.write(key, "broken");
});

When("the target {string} is written", function (this: object, id: string) {
  sceneOf(this).targets.write(id, "s");
});

When("the target {string} is dropped", function (this: object, id: string) {
  sceneOf(this).targets.write(id, undefined);
});

When("the history is dropped", function (this: object) {
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

When("{int} ms go by in the feed", function (this: object, ms: number) {
  return pass(this, ms);
});

When(
  /^a copy with configuration (\d+) and targets "(.*)" of (a later|an earlier) read comes from another box$/,
  function (this: object, version: string, ids: string, when: string) {
    const { feed } = sceneOf(this);
    feed.applyConfigurationCopy({ version: Number(version), text: version });
    feed.applyTargetChanges({
      end: feed.targetsEnd() + (when === "a later" ? 5 : -1),
      whole: true,
      changed: words(ids).map(listedAs),
      gone: [],
    });
  },
);

When("the feed leaves reading to other boxes", function (this: object) {
  sceneOf(this).reads = false;
});

When("the feed reads itself again", function (this: object) {
  sceneOf(this).reads = true;
});

When(
  "another box tells of {string} changed and {string} gone",
  function (this: object, changed: string, gone: string) {
    const { feed } = sceneOf(this);
    feed.applyTargetChanges({
      end: feed.targetsEnd() + 2,
      whole: false,
      changed: words(changed).map(listedAs),
      gone: words(gone),
    });
  },
);

Then(
  "a box that has read up to the start is told of {string}, the whole list",
  function (this: object, ids: string) {
    const changes = sceneOf(this).feed.targetChangesSince(0);
    assert.ok(changes.whole);
    assert.deepEqual(changes.changed.map(({ id }) => id).sort(), words(ids));
  },
);

Then(
  "a box that was told of all before is told of {string} changed and {string} gone",
  function (this: object, changed: string, gone: string) {
    const changes = sceneOf(this).feed.targetChangesSince(sceneOf(this).toldEnd);
    assert.ok(!changes.whole);
    assert.deepEqual(changes.changed.map(({ id }) => id).sort(), words(changed));
    assert.deepEqual([...changes.gone].sort(), words(gone));
  },
);

Given("another box has been told of all", function (this: object) {
  const scene = sceneOf(this);
  scene.toldEnd = scene.feed.targetsEnd();
});

Then("the store is not read", async function (this: object) {
  const { targets } = sceneOf(this);
  const before = targets.reads();
  await pass(this, 2_000);
  assert.equal(targets.reads(), before);
});

Then("configuration {int} is in force", function (this: object, version: number) {
  assert.equal(sceneOf(this).feed.activeConfiguration()?.configuration.version, version);
});

Then("{int} bad record has been logged", function (this: object, count: number) {
  const bad = sceneOf(this).events.filter((name) => name === "badRecord");
  assert.equal(bad.length, count);
});

Then("the feed knows that the store is away", function (this: object) {
  assert.ok(!sceneOf(this).feed.reachesStore());
});

Then("the targets {string} are known", function (this: object, ids: string) {
  const known = sceneOf(this)
    .fleet.all()
    .map((belief) => belief.listed.id);
  assert.deepEqual([...known].sort(), words(ids));
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

When("another box tells that {string} can't be read", function (this: object, id: string) {
  const { feed } = sceneOf(this);
  const end = feed.targetsEnd() + 1;
  feed.applyTargetChanges({ end, whole: false, changed: [], gone: [], unreadable: [id] });
});

Then(
  "a box that has read up to the start is told of {string}, the whole list, and that {string} can't be read",
  function (this: object, ids: string, bad: string) {
    const changes = sceneOf(this).feed.targetChangesSince(0);
    assert.ok(changes.whole);
    assert.deepEqual(changes.changed.map(({ id }) => id).sort(), words(ids));
    assert.deepEqual(changes.unreadable, [bad]);
  },
);

Then(
  "a box that was told of all before is told that {string} can't be read",
  function (this: object, bad: string) {
    const changes = sceneOf(this).feed.targetChangesSince(sceneOf(this).toldEnd);
    assert.deepEqual([changes.changed, changes.gone, changes.unreadable], [[], [], [bad]]);
  },
);
