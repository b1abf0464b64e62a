import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { createLeavingTargets, type LeavingTargets } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly boxes: LeavingTargets[];
}

const scenes = new WeakMap<object, Scene>();
const incarnationOf = (box: number) => `b${box}/1`;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const boxOf = (world: object, box: number) => sceneOf(world).boxes[box - 1];

Given("two boxes without notices of leaving targets", function (this: object) {
  const clock = createVirtualClock();
  scenes.set(this, { clock, boxes: [createLeavingTargets(clock), createLeavingTargets(clock)] });
});

When(
  /^box (\d) hears from target "([^"]*)" of (?:incarnation (\d+)|an unknown incarnation) that it is leaving$/,
  function (this: object, box: string, target: string, born: string | null) {
    const notice = { target, born: born === null ? undefined : Number(born) };
    boxOf(this, Number(box)).record(notice, "target");
  },
);

When(
  "box {int} hears from {int} targets that they are leaving",
  function (this: object, box: number, count: number) {
    for (let index = 0; index < count; index++)
      boxOf(this, box).record({ target: `t${index}` }, "target");
  },
);

/** Sends the notices that the receiver lacks; returns their number. */
function sendNotices(world: object, receiver: number, sender: number): number {
  const to = boxOf(world, receiver);
  const message = boxOf(world, sender).noticesSince(to.appliedSequence(incarnationOf(sender)));
  to.applyNotices(incarnationOf(sender), message);
  return message.notices.length;
}

When(
  "box {int} is sent the notices of box {int}",
  function (this: object, receiver: number, sender: number) {
    sendNotices(this, receiver, sender);
  },
);

When("box {int} starts again", function (this: object, box: number) {
  const { clock, boxes } = sceneOf(this);
  boxes[box - 1] = createLeavingTargets(clock);
});

When(
  "box {int} learns that {string} has started as incarnation {int}",
  function (this: object, box: number, target: string, born: Milliseconds) {
    boxOf(this, box).startIncarnation(target, born);
  },
);

When("{int} s pass without any target", async function (this: object, seconds: number) {
  const { clock, boxes } = sceneOf(this);
  await clock.runUntil(clock.now() + seconds * 1000);
  for (const box of boxes) box.expire(() => false);
});

Then(
  /^box (\d) is sent (\d+) notices? by box (\d), and none after that$/,
  function (this: object, receiver: string, count: string, sender: string) {
    assert.equal(sendNotices(this, Number(receiver), Number(sender)), Number(count));
    assert.equal(sendNotices(this, Number(receiver), Number(sender)), 0);
  },
);

Then(
  /^box (\d) knows that "([^"]*)" of incarnation (\d+) is (leaving|staying)$/,
  function (this: object, box: string, target: string, born: string, expected: string) {
    const leaving = boxOf(this, Number(box)).isLeaving(target, Number(born));
    assert.equal(leaving ? "leaving" : "staying", expected);
  },
);
