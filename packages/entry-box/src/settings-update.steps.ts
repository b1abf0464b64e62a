import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Peers } from "@linkfall/box-peers";
import { type EntrySettings, readEntrySettings } from "@linkfall/entry-settings";
import { createSettingsUpdater } from "./settings-update.js";

interface Scene {
  readonly take: (read: EntrySettings) => void;
  readonly learnt: string[];
  /** Details of the last line that was logged. */
  logged: Readonly<Record<string, unknown>>;
}

const scenes = new WeakMap<object, Scene>();
const seedsAtStart = "10.0.0.1:1";

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

function settingsWith(seeds: string, more: readonly string[] = []): EntrySettings {
  const addresses = ["front", "ready", "directory", "peer", "metrics"].map(
    (name, index) => `${name}_address = 10.0.0.1:${index + 1}`,
  );
  const lines = ["[box]", "name = b1", "domain = d1", ...addresses, `seeds = ${seeds}`];
  const text = [...lines, "[store]", "address = 10.0.0.9:1", ...more].join("\n");
  return readEntrySettings(text).unsafeCoerce();
}

Given("a box that started with seeds {string}", function (this: object, seeds: string) {
  const learnt: string[] = [];
  const peers: Pick<Peers, "learn"> = {
    addPeer: ({ peerAddress }) => void learnt.push(peerAddress),
  };
  const logger = {
    event: (_name: string, detail: Readonly<Record<string, unknown>> = {}) =>
      void (sceneOf(this).logged = detail),
  };
  const take = createSettingsUpdater(settingsWith(seeds), peers, logger);
  scenes.set(this, { take, learnt, logged: {} });
});

When("its settings are read with seeds {string}", function (this: object, seeds: string) {
  const { take, learnt } = sceneOf(this);
  learnt.length = 0;
  take(settingsWith(seeds));
});

When(
  "its settings are read with {string} in {string}",
  function (this: object, line: string, section: string) {
    sceneOf(this).take(settingsWith(seedsAtStart, [section, line]));
  },
);

Then("the seeds taken are {string}", function (this: object, seeds: string) {
  assert.equal(sceneOf(this).learnt.join(" "), seeds);
});

Then("{string} waits for the next start", function (this: object, keys: string) {
  assert.equal(sceneOf(this).logged.atNextStart, keys);
});
