import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { recordingLogger } from "@linkfall/logger";
import type { KeyedRecord, KeyedStreamPort } from "@linkfall/ports";
import { Left, Right } from "purify-ts";
import { createSoftwareVersions, type SoftwareVersions } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly records: Map<string, KeyedRecord>;
  readonly generationListeners: ((generation: number) => void)[];
  isAway: boolean;
  isWriter: boolean;
  hasCurrentList: boolean;
  writes: number;
  box: SoftwareVersions;
}

const scenes = new WeakMap<object, Scene>();
const service = "engines";
const millisecondsPerSecond = 1000;
const away = Left({ kind: "log_unavailable", reason: "away" } as const);

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const runFor = (clock: VirtualClock, ms: number) => clock.runUntil(clock.now() + ms);

/** Returns the offset of the record. */
function append(scene: Scene, key: string, value: string): number {
  const offset = scene.writes;
  scene.records.set(key, { key, value, offset });
  scene.writes += 1;
  return offset;
}

function streamOf(scene: Scene): KeyedStreamPort {
  return {
    readNewest: async () =>
      scene.isAway
        ? away
        : Right({ records: [...scene.records.values()], end: scene.writes, generation: 0 }),
    readChanges: async () => Right({ records: [], end: scene.writes, generation: 0 }),
    async put(key, value, at) {
      if (scene.isAway) return away;
      const end = scene.writes;
      if (at !== undefined && at !== end) return Left({ kind: "end_moved", end });
      return Right({ offset: append(scene, key, value), generation: 0 });
    },
    onNewGeneration: (listener) => void scene.generationListeners.push(listener),
  };
}

async function startBox(scene: Scene): Promise<void> {
  scene.box = createSoftwareVersions({
    clock: scene.clock,
    logger: recordingLogger(() => undefined),
    stream: streamOf(scene),
    lifeMs: 60 * millisecondsPerSecond,
    isWriter: () => scene.isWriter,
    hasCurrentList: () => scene.hasCurrentList,
  });
  await scene.box.start();
  await runFor(scene.clock, 1);
}

Given("a store and a box that has read it", async function (this: object) {
  const scene = {
    clock: createVirtualClock(),
    records: new Map<string, KeyedRecord>(),
    generationListeners: [],
    isAway: false,
    isWriter: true,
    hasCurrentList: true,
    writes: 0,
  } as unknown as Scene;
  scenes.set(this, scene);
  await startBox(scene);
});

Given("the store does not answer", function (this: object) {
  sceneOf(this).isAway = true;
});

Given("the box is not the writer", function (this: object) {
  sceneOf(this).isWriter = false;
});

When(
  /^target "([^"]*)" of (?:version "([^"]*)"|unknown version) is listed$/,
  function (this: object, id: string, version: string | null) {
    sceneOf(this).box.recordListed({ id, service, softwareVersion: version ?? undefined });
  },
);

When("target {string} has gone", function (this: object, id: string) {
  sceneOf(this).box.recordGone(id);
});

When(/^(\d+) s have gone by$/, async function (this: object, seconds: string) {
  await runFor(sceneOf(this).clock, Number(seconds) * millisecondsPerSecond);
});

When("the box hears nothing of the list", function (this: object) {
  sceneOf(this).hasCurrentList = false;
});

When(
  "the box starts again, and only target {string} of version {string} is listed",
  async function (this: object, id: string, softwareVersion: string) {
    const scene = sceneOf(this);
    await scene.box.stop();
    await startBox(scene);
    scene.box.recordListed({ id, service, softwareVersion });
  },
);

When("the store loses all records and comes back", function (this: object) {
  const { records, generationListeners } = sceneOf(this);
  records.clear();
  for (const listener of generationListeners) listener(1);
});

When("another box records the versions {string}", function (this: object, versions: string) {
  append(sceneOf(this), service, JSON.stringify({ versions: versions.split(" ") }));
});

Then("the versions {string} are recorded", function (this: object, versions: string) {
  const { value = "{}" } = sceneOf(this).records.get(service) ?? {};
  const record = JSON.parse(value) as { readonly versions: readonly string[] };
  assert.deepEqual([...record.versions].sort(), versions.split(" "));
});

When("the box reads the records again", async function (this: object) {
  assert.equal(await sceneOf(this).box.readRecords(), true);
});

Then("the box can't read the records again", async function (this: object) {
  assert.equal(await sceneOf(this).box.readRecords(), false);
});

Then("only version {string} can have begun a stream", function (this: object, version: string) {
  assert.equal(sceneOf(this).box.soleVersion(service), version);
});

Then("several versions may have begun a stream", function (this: object) {
  assert.equal(sceneOf(this).box.soleVersion(service), undefined);
});

Then(/^the store was written to (\d+) times?$/, function (this: object, count: string) {
  assert.equal(sceneOf(this).writes, Number(count));
});
