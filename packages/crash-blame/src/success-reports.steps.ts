import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import type { BlameRecord } from "@linkfall/types";
import { createCrashBlame, type CrashBlame, sharedTrait } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly boxes: ReadonlyMap<string, CrashBlame>;
  /** Early heartbeats that each box has asked for since the crashes. */
  readonly notices: Map<string, number>;
  readonly parts: readonly string[];
}

const scenes = new WeakMap<object, Scene>();
const targetCount = 93;
let requests = 0;

const sceneOf = (world: object): Scene => scenes.get(world) ?? assert.fail();
const boxOf = ({ boxes }: Scene, name: string): CrashBlame => boxes.get(name) ?? assert.fail();

function createScene(parts: readonly string[]): Scene {
  const clock = createVirtualClock();
  const boxes = new Map(["a", "b", "c"].map((name) => [name, createCrashBlame(clock, name)]));
  const notices = new Map<string, number>();
  for (const [name, box] of boxes)
    box.onChange(() => void notices.set(name, (notices.get(name) ?? 0) + 1));
  return { clock, boxes, notices, parts };
}

const attributes = (part: string) => ({
  request: `s${(requests += 1)}`,
  service: "engines",
  route: "r",
  shared: [sharedTrait("prompt part", part)],
});

function crash(scene: Scene, box: string, target: string, part: string): void {
  const details = { targetsInUse: targetCount };
  boxOf(scene, box).recordCrash(target, attributes(part), details);
}

function tell(scene: Scene, from: string, to: string): void {
  const receiver = boxOf(scene, to);
  const changes = boxOf(scene, from).changesSince(receiver.appliedSequence(from), to);
  receiver.applyChanges(from, changes);
}

const successesOf = (scene: Scene, box: string): readonly BlameRecord[] =>
  boxOf(scene, box)
    .changesSince(0)
    .records.filter((record) => record.kind === "served" && record.by === box);
const countOf = (records: readonly BlameRecord[]): number =>
  records.reduce((sum, record) => sum + (record.kind === "served" ? (record.count ?? 1) : 0), 0);

When(
  /^(\d+) targets crash at the same time at box "(.*)", every (?:second|fourth) of them with each of the parts "(.*)"$/,
  function (this: object, count: string, box: string, text: string) {
    const scene = createScene(text.split(", "));
    scenes.set(this, scene);
    for (let index = 0; index < Number(count); index++)
      crash(scene, box, `e${index}`, scene.parts[index % scene.parts.length]);
    tell(scene, box, "b");
    scene.notices.clear();
  },
);

When(
  "{int} targets crash {int} ms apart at box {string}, each with the part {string}",
  async function (this: object, count: number, ms: number, box: string, part: string) {
    const scene = createScene([part]);
    scenes.set(this, scene);
    for (let index = 0; index < count; index++) {
      crash(scene, box, `e${index}`, part);
      await scene.clock.runUntil(scene.clock.now() + ms);
    }
    tell(scene, box, "b");
    scene.notices.clear();
  },
);

When(
  "box {string} serves {int} requests with each of these parts",
  function (this: object, box: string, count: number) {
    const scene = sceneOf(this);
    for (let index = 0; index < count; index++)
      for (const part of scene.parts) boxOf(scene, box).recordServed(attributes(part), 300);
  },
);

When(
  "the part {string} is held back by box {string}",
  async function (this: object, part: string, box: string) {
    const scene = sceneOf(this);
    // Two further crashes apart from the others suffice for a decision.
    for (const target of ["f1", "f2"]) {
      await scene.clock.runUntil(scene.clock.now() + 1_000);
      crash(scene, box, target, part);
    }
    await scene.clock.runUntil(scene.clock.now() + 1_000);
    const { verdict } = boxOf(scene, box).classify(attributes(part), targetCount);
    assert.equal(verdict, "guilty");
    tell(scene, box, "b");
  },
);

Then(
  "box {string} has reported no successes and asked for no early heartbeat",
  function (this: object, box: string) {
    const scene = sceneOf(this);
    assert.deepEqual(successesOf(scene, box), []);
    assert.equal(scene.notices.get(box) ?? 0, 0);
  },
);

Then(
  "box {string} has reported {int} successes and asked for {int} early heartbeats",
  function (this: object, box: string, successes: number, notices: number) {
    const scene = sceneOf(this);
    assert.equal(countOf(successesOf(scene, box)), successes);
    assert.equal(scene.notices.get(box) ?? 0, notices);
  },
);

Then(
  "box {string} has asked for {int} early heartbeats and reports more than {int} successes",
  function (this: object, box: string, notices: number, successes: number) {
    const scene = sceneOf(this);
    assert.equal(scene.notices.get(box) ?? 0, notices);
    const count = countOf(successesOf(scene, box));
    assert.ok(count > successes, `${count} successes reported`);
  },
);

Then(
  "box {string} reports more than {int} successes",
  function (this: object, box: string, successes: number) {
    const count = countOf(successesOf(sceneOf(this), box));
    assert.ok(count > successes, `${count} successes reported`);
  },
);

Then(
  "box {string} has no records for box {string} but {int} for box {string}",
  function (this: object, box: string, sender: string, count: number, other: string) {
    const blame = boxOf(sceneOf(this), box);
    assert.deepEqual(blame.changesSince(0, sender).records, []);
    assert.equal(blame.changesSince(0, other).records.length, count);
  },
);
