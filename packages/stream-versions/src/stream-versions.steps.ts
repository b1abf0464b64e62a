import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { rankNodes } from "@linkfall/rendezvous";
import {
  createStreamVersions,
  defaultKeeperCounts,
  type StreamKey,
  streamKey,
  type StreamVersion,
  type StreamVersions,
} from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  boxes: StreamVersions[];
  versions: readonly string[];
  /** Boxes that do not answer. */
  readonly down: Set<string>;
  /** Boxes that never answer. */
  readonly hanging: Set<string>;
  /** Boxes that the others no longer rank. */
  readonly left: Set<string>;
  keys: StreamKey[];
  messages: number;
}

const scenes = new WeakMap<object, Scene>();
const service = "engines";
/** Delay of a message, in milliseconds. */
const wireMs = 2;
/** Time in which messages are gathered, sent and answered. */
const settlingMs = 50;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const runFor = (clock: VirtualClock, ms: number) => clock.runUntil(clock.now() + ms);

const addressOf = (index: number) => `box-${index + 1}`;
const delay = (clock: VirtualClock, ms: number) =>
  new Promise<void>((resolve) => void clock.after(ms, resolve));

function createBox(scene: Scene, index: number): StreamVersions {
  const { clock, down, left } = scene;
  return createStreamVersions({
    clock,
    keeperCounts: defaultKeeperCounts,
    self: addressOf(index),
    rankKeepers: (key) => {
      const members = scene.boxes.map((_, other) => addressOf(other));
      return rankNodes(
        key,
        members.filter((address) => !left.has(address)),
      );
    },
    async send(address, message) {
      scene.messages += 1;
      await delay(clock, wireMs);
      if (scene.hanging.has(address)) await new Promise(() => undefined);
      if (down.has(address)) return undefined;
      const other = scene.boxes.findIndex((_, candidate) => addressOf(candidate) === address);
      return scene.boxes[other].receive(message);
    },
    hasMetOthers: () => Promise.resolve(),
    versionsOf: () => scene.versions,
  });
}

Given(
  "{int} boxes whose targets are of the versions {string}",
  function (this: object, count: number, versions: string) {
    const scene: Scene = {
      clock: createVirtualClock(),
      boxes: [],
      versions: versions.split(" "),
      down: new Set(),
      hanging: new Set(),
      left: new Set(),
      keys: [],
      messages: 0,
    };
    for (let index = 0; index < count; index++) scene.boxes.push(createBox(scene, index));
    scenes.set(this, scene);
  },
);

function begin(scene: Scene, box: number, softwareVersion: string): void {
  const target = `target of ${box}`;
  for (const key of scene.keys)
    scene.boxes[box - 1].recordBegun({ key, service, target, softwareVersion });
}

const identityOf = (index: number) => ({ service, account: "a", firstAttempt: `attempt ${index}` });

When(
  "box {int} begins {int} streams at version {string}",
  async function (this: object, box: number, count: number, version: string) {
    const scene = sceneOf(this);
    const from = scene.keys.length;
    scene.keys = Array.from({ length: count }, (_, index) => streamKey(identityOf(from + index)));
    begin(scene, box, version);
    await runFor(scene.clock, settlingMs);
  },
);

When(
  "box {int} begins the same streams at version {string}",
  async function (this: object, box: number, version: string) {
    const scene = sceneOf(this);
    begin(scene, box, version);
    await runFor(scene.clock, settlingMs);
  },
);

When("boxes {string} are down", function (this: object, numbers: string) {
  const { down, left } = sceneOf(this);
  for (const number of numbers.split(" ")) {
    down.add(`box-${number}`);
    left.add(`box-${number}`);
  }
});

When(
  "boxes {string} are down, and this is not known yet",
  function (this: object, numbers: string) {
    for (const number of numbers.split(" ")) sceneOf(this).down.add(`box-${number}`);
  },
);

When("boxes {string} hang, and this is not known yet", function (this: object, numbers: string) {
  for (const number of numbers.split(" ")) sceneOf(this).hanging.add(`box-${number}`);
});

Then(
  "box {int} finds within {int} ms that a stream is unknown",
  async function (this: object, box: number, maxMs: number) {
    const scene = sceneOf(this);
    let found: StreamVersion | undefined;
    void scene.boxes[box - 1]
      .lookUp(streamKey(identityOf(0)), service)
      .then((result) => (found = result));
    await runFor(scene.clock, maxMs);
    assert.equal(found?.kind, "unknown");
  },
);

function startAgain(scene: Scene, index: number): void {
  scene.boxes[index] = createBox(scene, index);
  scene.left.delete(addressOf(index));
}

When("boxes {string} have started again", function (this: object, numbers: string) {
  for (const number of numbers.split(" ")) startAgain(sceneOf(this), Number(number) - 1);
});

When("all boxes have stopped one by one and started again", async function (this: object) {
  const scene = sceneOf(this);
  for (const [index, box] of scene.boxes.slice().entries()) {
    scene.left.add(addressOf(index));
    const handedOver = box.handOver();
    await runFor(scene.clock, settlingMs);
    await handedOver;
    startAgain(scene, index);
  }
});

When("all boxes are killed at once and have started again", function (this: object) {
  const scene = sceneOf(this);
  for (const index of scene.boxes.keys()) startAgain(scene, index);
});

When("{int} ms have gone by", async function (this: object, ms: number) {
  await runFor(sceneOf(this).clock, ms);
});

When("targets of version {string} are added", async function (this: object, version: string) {
  const scene = sceneOf(this);
  scene.versions = [...scene.versions, version];
  for (const box of scene.boxes) box.tellAll(service);
  await runFor(scene.clock, settlingMs);
});

async function find(scene: Scene, box: StreamVersions, key: StreamKey): Promise<StreamVersion> {
  const found = box.lookUp(key, service);
  await runFor(scene.clock, settlingMs);
  return found;
}

function boxesThatAreUp({ boxes, down }: Scene): readonly StreamVersions[] {
  return boxes.filter((_, index) => !down.has(addressOf(index)));
}

async function assertFound(
  scene: Scene,
  boxes: readonly StreamVersions[],
  check: (found: StreamVersion) => void,
): Promise<void> {
  for (const box of boxes) for (const key of scene.keys) check(await find(scene, box, key));
}

const assertBegunAt = (version: string) => (found: StreamVersion) => {
  assert.equal(found.kind, "known");
  assert.equal(found.version, version);
};

Then(
  "each box finds that they began at version {string}",
  async function (this: object, version: string) {
    const scene = sceneOf(this);
    await assertFound(scene, boxesThatAreUp(scene), assertBegunAt(version));
  },
);

Then("each box finds that they are unknown, and all have answered", async function (this: object) {
  const scene = sceneOf(this);
  await assertFound(scene, scene.boxes, (found) => {
    assert.equal(found.kind, "unknown");
    assert.equal(found.allAnswered, true);
    assert.deepEqual(found.servedElsewhere, ["v1", "v2"]);
  });
});

Then(
  "some box finds that a stream is unknown, and not all have answered",
  async function (this: object) {
    const scene = sceneOf(this);
    const found = await find(scene, scene.boxes[0], streamKey(identityOf(0)));
    assert.equal(found.kind, "unknown");
    assert.equal(found.allAnswered, false);
  },
);

Then(
  "no stream of another account or service with these ids is known",
  async function (this: object) {
    const scene = sceneOf(this);
    for (const index of scene.keys.keys()) {
      const own = identityOf(index);
      const others = [
        { ...own, account: "b" },
        { ...own, account: undefined },
        { ...own, service: "others" },
      ];
      for (const other of others)
        assert.equal((await find(scene, scene.boxes[0], streamKey(other))).kind, "unknown");
    }
  },
);

Then("box {int} finds that they are in doubt", async function (this: object, box: number) {
  const scene = sceneOf(this);
  await assertFound(scene, [scene.boxes[box - 1]], ({ kind }) => assert.equal(kind, "doubtful"));
});

async function changeTarget(scene: Scene, box: number, version = "v2"): Promise<void> {
  scene.boxes[box - 1].doubtLatest(`target of ${box}`, version);
  await runFor(scene.clock, settlingMs);
}

Then(
  "box {int} finds that they began at version {string} after the target of box {int} has become another version",
  async function (this: object, box: number, version: string, owner: number) {
    const scene = sceneOf(this);
    await changeTarget(scene, owner);
    await assertFound(scene, [scene.boxes[box - 1]], assertBegunAt(version));
  },
);

Then(
  "box {int} finds that they began at version {string} after the target of box {int} has started again with it",
  async function (this: object, box: number, version: string, owner: number) {
    const scene = sceneOf(this);
    await changeTarget(scene, owner, version);
    await assertFound(scene, [scene.boxes[box - 1]], assertBegunAt(version));
  },
);

Then(
  "box {int} finds that they are in doubt after the target of box {int} has become another version",
  async function (this: object, box: number, owner: number) {
    const scene = sceneOf(this);
    await changeTarget(scene, owner);
    await assertFound(scene, [scene.boxes[box - 1]], ({ kind }) => assert.equal(kind, "doubtful"));
  },
);

Then("no message was sent", function (this: object) {
  assert.equal(sceneOf(this).messages, 0);
});

Then("at most {int} messages were sent", function (this: object, max: number) {
  assert.ok(sceneOf(this).messages <= max, `${sceneOf(this).messages} were sent`);
});
