import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { recordingLogger } from "@linkfall/logger";
import { rankNodes } from "@linkfall/rendezvous";
import { createKeyedStore, type KeyedStore } from "@linkfall/test-support";
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
  /** Where boxes record streams; without it they record none. */
  store?: KeyedStore;
  /** Versions of which the store tells a box that reads them; undefined while it does not answer. */
  storedVersions?: readonly string[];
  versionReads: number;
  reachesMajority: boolean;
  /** Boxes of an earlier version, which do not record. */
  readonly earlier: Set<string>;
}

const scenes = new WeakMap<object, Scene>();
export const service = "engines";
/** Delay of a message, in milliseconds. */
const wireMs = 2;
/** Time in which messages are gathered, sent and answered. */
const settlingMs = 50;

export function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

export const runFor = (clock: VirtualClock, ms: number) => clock.runUntil(clock.now() + ms);

const addressOf = (index: number) => `box-${index + 1}`;
const delay = (clock: VirtualClock, ms: number) =>
  new Promise<void>((resolve) => void clock.after(ms, resolve));

const recorderCount = 3;

function rankBoxes({ boxes, left }: Scene, key: string): readonly string[] {
  const members = boxes.map((_, other) => addressOf(other));
  return rankNodes(
    key,
    members.filter((address) => !left.has(address)),
  );
}

const recordersOf = (scene: Scene) => rankBoxes(scene, "recorders").slice(0, recorderCount);

function createBox(scene: Scene, index: number): StreamVersions {
  const { clock, down, store } = scene;
  return createStreamVersions({
    clock,
    logger: recordingLogger(() => undefined),
    log: (store ?? createKeyedStore(clock)).portFor(addressOf(index)),
    boxCount: () => scene.boxes.length,
    keeperCounts: defaultKeeperCounts,
    self: addressOf(index),
    rankKeepers: (key) => rankBoxes(scene, key),
    rankRecorders: (key) => (store ? rankNodes(key, recordersOf(scene)) : []),
    reachesMajority: () => scene.reachesMajority,
    async readVersions() {
      scene.versionReads += 1;
      await delay(clock, wireMs);
      if (scene.storedVersions) scene.versions = scene.storedVersions;
      return scene.storedVersions !== undefined;
    },
    soleVersion: () => (scene.versions.length === 1 ? scene.versions[0] : undefined),
    async send(address, message) {
      scene.messages += 1;
      await delay(clock, wireMs);
      if (scene.hanging.has(address)) await new Promise(() => undefined);
      if (down.has(address)) return undefined;
      const other = scene.boxes.findIndex((_, candidate) => addressOf(candidate) === address);
      const reply = await scene.boxes[other].receive(message);
      return scene.earlier.has(address) ? { ...reply, records: undefined } : reply;
    },
    hasMetOthers: () => Promise.resolve(),
    versionsOf: () => scene.versions,
  });
}

Given(
  /^(\d+) boxes( with a store)? whose targets are of the versions "(.*)"$/,
  function (this: object, count: string, withStore: string | null, versions: string) {
    const clock = createVirtualClock();
    const scene: Scene = {
      clock,
      store: withStore ? createKeyedStore(clock) : undefined,
      earlier: new Set(),
      boxes: [],
      versions: versions.split(" "),
      storedVersions: versions.split(" "),
      versionReads: 0,
      reachesMajority: true,
      down: new Set(),
      hanging: new Set(),
      left: new Set(),
      keys: [],
      messages: 0,
    };
    for (let index = 0; index < Number(count); index++) scene.boxes.push(createBox(scene, index));
    scenes.set(this, scene);
  },
);

function begin(scene: Scene, box: number, softwareVersion: string, resumable = true): void {
  const target = `target of ${box}`;
  for (const key of scene.keys)
    scene.boxes[box - 1].recordBegun({ key, service, target, softwareVersion, resumable });
}

export const identityOf = (index: number) => ({
  service,
  account: "a",
  firstAttempt: `attempt ${index}`,
});

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
  /^each box(?: that is up)? finds that they began at version "(.*)"$/,
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

function storeOf(world: object): KeyedStore {
  const { store } = sceneOf(world);
  assert.ok(store);
  return store;
}

When(
  /^box (\d+) begins (\d+) streams at version "(.*)" that cannot be taken up$/,
  async function (this: object, box: string, count: string, version: string) {
    const scene = sceneOf(this);
    scene.keys = Array.from({ length: Number(count) }, (_, index) => streamKey(identityOf(index)));
    begin(scene, Number(box), version, false);
    await runFor(scene.clock, settlingMs);
  },
);

When("the first recorder is down, and this is not known yet", function (this: object) {
  const scene = sceneOf(this);
  scene.down.add(recordersOf(scene)[0]);
});

When("the first recorder is of an earlier version", function (this: object) {
  const scene = sceneOf(this);
  scene.earlier.add(recordersOf(scene)[0]);
});

When(/^the store (is away|is back|loses its answers)$/, async function (this: object, how: string) {
  const scene = sceneOf(this);
  const access = { "is away": "refuses", "is back": "serves" }[how] ?? "loses_answers";
  for (const index of scene.boxes.keys())
    storeOf(this).setAccess(addressOf(index), access as "refuses" | "serves" | "loses_answers");
  await runFor(scene.clock, settlingMs);
});

When("the store comes back from an older copy without these", async function (this: object) {
  const { clock } = sceneOf(this);
  const store = storeOf(this);
  store.goBack(store.records().length);
  // The next call of each box shows it.
  store.write("other", "not a record of streams");
  await runFor(clock, settlingMs);
});

When("each box has called the store", async function (this: object) {
  const scene = sceneOf(this);
  for (const box of scene.boxes) await find(scene, box, streamKey(identityOf(1_000_000)));
});

When("the store drops its oldest records", function (this: object) {
  storeOf(this).compact();
});

When(
  "each box begins {int} streams a second at version {string} for {int} s",
  async function (this: object, rate: number, version: string, seconds: number) {
    const scene = sceneOf(this);
    const target = "target";
    for (const [index, box] of scene.boxes.entries())
      for (let number = 0; number < rate * seconds; number++) {
        const key = streamKey(identityOf(index * rate * seconds + number));
        const begun = { key, service, target, softwareVersion: version, resumable: true };
        scene.clock.after((number * 1_000) / rate, () => box.recordBegun(begun));
      }
    await runFor(scene.clock, seconds * 1_000);
  },
);

Then(
  "at most {int} records were written in {int} s",
  function (this: object, max: number, _seconds: number) {
    const { length } = storeOf(this).records();
    assert.ok(length > 0 && length <= max, `${length} records`);
  },
);

Then("no record was written", function (this: object) {
  assert.equal(storeOf(this).records().length, 0);
});

Then("each box finds that they are in doubt", async function (this: object) {
  const scene = sceneOf(this);
  await assertFound(scene, scene.boxes, ({ kind }) => assert.equal(kind, "doubtful"));
});

/** Time in which the store answers or is given up. */
const storeWaitMs = 1_000;

Then("each box finds that they are unknown for now", async function (this: object) {
  const scene = sceneOf(this);
  for (const box of scene.boxes) {
    const found = box.lookUp(scene.keys[0], service);
    await runFor(scene.clock, storeWaitMs);
    const { kind, allAnswered } = (await found) as Extract<StreamVersion, { kind: "unknown" }>;
    assert.deepEqual({ kind, allAnswered }, { kind: "unknown", allAnswered: false });
  }
});

Then(
  "{int} look-ups of unknown streams at box {int} in {int} ms read the store at most {int} times",
  async function (this: object, count: number, box: number, ms: number, maxReads: number) {
    const scene = sceneOf(this);
    const before = storeOf(this).reads();
    const lookUps = Array.from({ length: count }, (_, index) =>
      delay(scene.clock, (index * ms) / count).then(() =>
        scene.boxes[box - 1].lookUp(streamKey(identityOf(1_000 + index)), service),
      ),
    );
    await runFor(scene.clock, ms + storeWaitMs);
    for (const { kind } of await Promise.all(lookUps)) assert.equal(kind, "unknown");
    const reads = storeOf(this).reads() - before;
    assert.ok(reads > 0 && reads <= maxReads, `${reads} reads`);
  },
);
