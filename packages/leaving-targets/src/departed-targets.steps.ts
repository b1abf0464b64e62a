import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { createDepartedTargets, type DepartedTargets } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly boxes: readonly DepartedTargets[];
}

const scenes = new WeakMap<object, Scene>();
const returnMs: Milliseconds = 2_200;
const stepMs: Milliseconds = 100;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const boxOf = (world: object, box: number) => sceneOf(world).boxes[box - 1];
const positionAt = (end: number) => ({ end, generation: 0 });

Given("two boxes without departures of targets", function (this: object) {
  const clock = createVirtualClock();
  const createBox = () => createDepartedTargets(clock, returnMs);
  scenes.set(this, { clock, boxes: [createBox(), createBox()] });
});

When(
  /^box (\d) reads at offset (\d+) that "([^"]*)" has departed(?: after heartbeat (\d+))?$/,
  function (this: object, box: string, offset: string, target: string, beat: string | null) {
    const departed = boxOf(this, Number(box));
    const heartbeats = beat === null ? undefined : Number(beat);
    departed.recordUnlisted(target);
    departed.record({ target, position: positionAt(Number(offset)), heartbeats }, "list");
  },
);

When(
  /^box (\d) reads at offset (\d+) that "([^"]*)" is listed(?: by heartbeat (\d+))?$/,
  function (this: object, box: string, offset: string, id: string, beat: string | null) {
    const heartbeats = beat === null ? undefined : Number(beat);
    boxOf(this, Number(box)).recordListed({ id, heartbeats }, positionAt(Number(offset)));
  },
);

When(
  /^(\d+) ms pass with (a settled|an unsettled) list$/,
  async function (this: object, ms: string, settled: string) {
    const { clock, boxes } = sceneOf(this);
    const end = clock.now() + Number(ms);
    while (clock.now() < end) {
      await clock.runUntil(clock.now() + stepMs);
      for (const box of boxes) box.confirmReturns(settled === "a settled");
    }
  },
);

/** Sends the departures that the receiver lacks; returns their number. */
function sendDepartures(world: object, receiver: number, sender: number): number {
  const from = `b${sender}@1`;
  const to = boxOf(world, receiver);
  const message = boxOf(world, sender).departuresSince(to.appliedSequence(from));
  to.applyDepartures(from, message);
  return message.departures.length;
}

When(
  "box {int} applies the departures of box {int}",
  function (this: object, receiver: number, sender: number) {
    sendDepartures(this, receiver, sender);
  },
);

Then(
  "box {int} applies {int} departures of box {int}, and none after that",
  function (this: object, receiver: number, count: number, sender: number) {
    assert.equal(sendDepartures(this, receiver, sender), count);
    assert.equal(sendDepartures(this, receiver, sender), 0);
  },
);

Then(
  /^"([^"]*)" has (departed|not departed) for box (\d)$/,
  function (this: object, target: string, expected: string, box: string) {
    const departed = boxOf(this, Number(box)).hasDeparted(target, undefined);
    assert.equal(departed ? "departed" : "not departed", expected);
  },
);
