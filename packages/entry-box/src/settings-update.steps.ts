import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Peers } from "@linkfall/box-peers";
import { type EntrySettings, readEntrySettings } from "@linkfall/entry-settings";
import { createSettingsUpdater } from "./settings-update.js";

interface Scene {
  readonly update: (read: EntrySettings) => void;
  readonly addedSeeds: string[];
  /** Fields of the last logged event. */
  logged: Readonly<Record<string, unknown>>;
}

const scenes = new WeakMap<object, Scene>();
const seedsAtStart = "10.0.0.1:1";

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

function settingsWith(seeds: string, extraLines: readonly string[] = []): EntrySettings {
  const addresses = ["front", "ready", "directory", "peer", "metrics"].map(
    (name, index) => `${name}_address = 10.0.0.1:${index + 1}`,
  );
  const lines = ["[box]", "name = b1", "domain = d1", ...addresses, `seeds = ${seeds}`];
  const text = [...lines, "[store]", "address = 10.0.0.9:1", ...extraLines].join("\n");
  return readEntrySettings(text).unsafeCoerce();
}

Given("a box that started with seeds {string}", function (this: object, seeds: string) {
  const addedSeeds: string[] = [];
  const peers: Pick<Peers, "addPeer"> = {
    addPeer: ({ peerAddress }) => void addedSeeds.push(peerAddress),
  };
  const logger = {
    event: (_name: string, detail: Readonly<Record<string, unknown>> = {}) =>
      void (sceneOf(this).logged = detail),
  };
  const update = createSettingsUpdater(settingsWith(seeds), peers, logger);
  scenes.set(this, { update, addedSeeds, logged: {} });
});

When("its settings are read with seeds {string}", function (this: object, seeds: string) {
  const { update, addedSeeds } = sceneOf(this);
  addedSeeds.length = 0;
  update(settingsWith(seeds));
});

When(
  "its settings are read with {string} in {string}",
  function (this: object, line: string, section: string) {
    sceneOf(this).update(settingsWith(seedsAtStart, [section, line]));
  },
);

Then("the added seeds are {string}", function (this: object, seeds: string) {
  assert.equal(sceneOf(this).addedSeeds.join(" "), seeds);
});

Then(
  "the keys that take effect at the next start are {string}",
  function (this: object, keys: string) {
    assert.equal(sceneOf(this).logged.atNextStart, keys);
  },
);
