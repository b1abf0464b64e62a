import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { recordingLogger } from "@linkfall/logger";
import { createKeyedStore, type KeyedStore } from "@linkfall/test-support";
import { type CrashBlame, createCrashBlame, createHeldRequestStore } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly keyedStore: KeyedStore;
  readonly blame: CrashBlame;
}

const scenes = new WeakMap<object, Scene>();
/** Time in which decisions are written. */
const writeMs = 2_000;
/** Targets that crash under a request before it is held back. */
const crashedTargets = ["e1", "e2", "e3"];
const targetCount = 13;
const settleMs = 2_000;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

Given("a box with a store for held requests", async function (this: object) {
  const clock = createVirtualClock();
  const logger = recordingLogger(() => undefined);
  const keyedStore = createKeyedStore(clock);
  const blame = createCrashBlame(clock);
  const store = createHeldRequestStore(blame, keyedStore.portFor("a"), { clock, logger });
  await store.start();
  await clock.runUntil(clock.now() + writeMs);
  scenes.set(this, { clock, keyedStore, blame });
});

When("the box holds back the request {string}", async function (this: object, request: string) {
  const { clock, blame } = sceneOf(this);
  const attributes = { request, service: "s", route: "r" };
  for (const target of crashedTargets) {
    blame.recordCrash(`${target}-${request}`, attributes, { targetsInUse: targetCount });
    await clock.runUntil(clock.now() + settleMs);
  }
  assert.equal(blame.classify(attributes, targetCount).verdict, "guilty");
  await clock.runUntil(clock.now() + writeMs);
});

When(
  "the store of held requests goes back by {int} records",
  function (this: object, count: number) {
    sceneOf(this).keyedStore.goBack(count);
  },
);

Then("the store has the held requests {string}", function (this: object, requests: string) {
  const keys = sceneOf(this)
    .keyedStore.records()
    .map(({ key }) => key);
  assert.deepEqual([...new Set(keys)].sort(), requests.split(" "));
});
