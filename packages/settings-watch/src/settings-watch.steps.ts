import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, seededRandom, type VirtualClock } from "@linkfall/kernel";
import { type Either, Left, Right } from "purify-ts";
import { createSettingsWatch, type SettingsWatch } from "./settings-watch.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly watch: SettingsWatch;
  readonly changes: string[];
  readonly failures: string[];
  file: Either<string, string>;
}

const scenes = new WeakMap<object, Scene>();
const intervalMs = 1_000;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

async function setFileAndWait(
  world: object,
  file: Either<string, string>,
  ms: number,
): Promise<void> {
  const scene = sceneOf(world);
  scene.file = file;
  await scene.clock.runUntil(scene.clock.now() + ms);
}

Given(
  "a watched settings file with the text {string}",
  async function (this: object, text: string) {
    const clock = createVirtualClock();
    const changes: string[] = [];
    const failures: string[] = [];
    const watch = createSettingsWatch({
      clock,
      random: seededRandom(1),
      intervalMs,
      text,
      readText: () => sceneOf(this).file,
      onChange: (changed) => void changes.push(changed),
      onReadFailure: (reason) => void failures.push(reason),
    });
    scenes.set(this, { clock, watch, changes, failures, file: Right(text) });
    await watch.start();
  },
);

When(
  "the file contains {string} and {int} ms pass",
  function (this: object, text: string, ms: number) {
    return setFileAndWait(this, Right(text), ms);
  },
);

When("the file cannot be read and {int} ms pass", function (this: object, ms: number) {
  return setFileAndWait(this, Left("no such file"), ms);
});

When(
  "the file contains {string} and a check is requested",
  async function (this: object, text: string) {
    await setFileAndWait(this, Right(text), 0);
    sceneOf(this).watch.checkNow();
  },
);

When("the watch is stopped", function (this: object) {
  return sceneOf(this).watch.stop();
});

Then("the reported settings changes are {string}", function (this: object, texts: string) {
  assert.equal(sceneOf(this).changes.join(" "), texts);
});

Then("{int} read failure(s) is/are reported", function (this: object, count: number) {
  assert.equal(sceneOf(this).failures.length, count);
});
