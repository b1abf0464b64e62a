import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { BoxStatus } from "@linkfall/box-peers";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { type ConfigurationCopies, createConfigurationCopies } from "./configuration-copies.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly copies: ConfigurationCopies;
  version: number;
}

const sceneOf = (world: object) => scenarioState(world).get<Scene>("configuration copies");

Given("a box with configuration {int}", function (this: object, version: number) {
  const clock = createVirtualClock();
  const copies = createConfigurationCopies(clock, () => ({
    version: scene.version,
    text: `configuration ${scene.version}`,
  }));
  const scene: Scene = { clock, copies, version };
  scenarioState(this).set("configuration copies", scene);
});

When("the box has configuration {int}", function (this: object, version: number) {
  sceneOf(this).version = version;
});

Then(
  /^a heartbeat to "(\w+)" with configuration (\d+) brings (none|configuration \d+)(?: after (\d+) ms)?$/,
  async function (
    this: object,
    incarnation: string,
    known: string,
    expected: string,
    afterMs: string | null,
  ) {
    const { clock, copies } = sceneOf(this);
    await clock.runUntil(clock.now() + Number(afterMs ?? 0));
    const recipient = { incarnation, configurationVersion: Number(known) } as BoxStatus;
    assert.equal(copies.copyFor(recipient)?.text ?? "none", expected);
  },
);
