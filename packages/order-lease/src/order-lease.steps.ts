import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  clockName,
  createKernel,
  createVirtualClock,
  pick,
  randomName,
  seededRandom,
  type VirtualClock,
} from "@linkfall/kernel";
import { loggerName, recordingLogger } from "@linkfall/logger";
import type { KeyedStreamPort } from "@linkfall/ports";
import { createKeyedStore, type KeyedStore, type StoreAccess } from "@linkfall/test-support";
import { createOrderLease, type LeasePeers, type LeaseOptions, type OrderLease } from "./index.js";

const rules: LeaseOptions = {
  enginesFence: false,
  leaseMs: 3_000,
  holderTimeoutMs: 1_800,
  rankStepMs: 300,
  checkMs: 150,
};
const stepMs = 50;
/** How often a box is heard. */
const wordMs = 400;

interface LeaseBox {
  readonly name: string;
  readonly lease: OrderLease;
  silent: boolean;
  leaving: boolean;
  heardAt: number;
  /** Time that its machine slept. */
  suspendedMs: number;
  told: { ordersForMs: number };
}

interface Scene {
  readonly clock: VirtualClock;
  readonly store: KeyedStore;
  readonly boxes: LeaseBox[];
  readonly access: Map<string, StoreAccess>;
  /** Highest epoch under which orders were allowed. */
  highest: number;
}

const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

/** Marks each later life of a box in its name. */
const nextLife = (name: string) => `${name}'`;
const firstLife = (name: string) => name.replaceAll("'", "");

function addBox(
  scene: Scene,
  name: string,
  seed: number,
  port: KeyedStreamPort = scene.store.portFor(name),
): LeaseBox {
  const { clock, boxes, access } = scene;
  const rank = boxes.length;
  const kernel = createKernel();
  kernel.provide(clockName, { ...clock, elapsed: () => clock.now() + box.suspendedMs });
  kernel.provide(randomName, seededRandom(seed + rank));
  kernel.provide(
    loggerName,
    recordingLogger(() => undefined),
  );
  const find = (other: string) => boxes.find((box) => box.name === other);
  const peers: LeasePeers = {
    sinceLastMessageMs: (other) => {
      const box = find(other);
      return box && (other === name ? 0 : clock.now() - box.heardAt);
    },
    isOwnEarlierIncarnation: (other) => other !== name && firstLife(other) === firstLife(name),
    isLeaving: (other) => find(other)?.leaving ?? false,
    remainingLeaseMs: (other) => find(other)?.told.ordersForMs ?? 0,
    rank: () => rank,
    announceClaim: () => undefined,
    isStoreDownForAll: () =>
      boxes.every((box) => box.silent || access.get(box.name) === "refuses") &&
      boxes.filter((box) => !box.silent).length * 2 > boxes.length,
  };
  const told = { ordersForMs: 0 };
  const state = { name, silent: false, leaving: false, heardAt: 0, suspendedMs: 0, told };
  const box: LeaseBox = {
    ...state,
    get lease() {
      return lease;
    },
  };
  const lease = createOrderLease(kernel, name, port, peers, rules);
  boxes.push(box);
  return box;
}

function createScene(names: readonly string[], seed: number): Scene {
  const clock = createVirtualClock();
  const store = createKeyedStore(clock);
  const scene: Scene = { clock, store, boxes: [], access: new Map(), highest: 0 };
  for (const name of names) addBox(scene, name, seed);
  return scene;
}

/** Lets time pass; boxes that are not silent tell their word now and then. */
async function pass(scene: Scene, ms: number, look: () => void = () => undefined): Promise<void> {
  const { clock, boxes } = scene;
  const end = clock.now() + ms;
  while (clock.now() < end) {
    await clock.runUntil(clock.now() + stepMs);
    for (const box of boxes) {
      if (box.silent || clock.now() - box.heardAt < wordMs) continue;
      box.heardAt = clock.now();
      box.told = { ordersForMs: box.lease.remainingLeaseMs() };
      const word = box.lease.observedLease();
      if (word) for (const other of boxes) if (!other.silent) other.lease.observe(word);
    }
    look();
  }
}

/** Ends the box's process and starts another in its place. */
async function beginNewLife(
  scene: Scene,
  name: string,
  seed: number,
  access: StoreAccess = "serves",
): Promise<LeaseBox> {
  const old = boxOf(scene, name);
  await old.lease.stop();
  scene.boxes.splice(scene.boxes.indexOf(old), 1);
  const box = addBox(scene, nextLife(name), seed);
  setAccess(scene, box.name, access);
  await box.lease.start();
  return box;
}

const holders = ({ boxes }: Scene) => boxes.filter((box) => box.lease.epoch() !== undefined);

function setAccess(scene: Scene, box: string, access: StoreAccess): void {
  scene.access.set(box, access);
  scene.store.setAccess(box, access);
}

function boxOf(scene: Scene, name: string): LeaseBox {
  const box = scene.boxes.find((candidate) => candidate.name === name);
  assert.ok(box);
  return box;
}

async function passUntilHolder(scene: Scene, ms: number, allowed: (box: LeaseBox) => boolean) {
  const end = scene.clock.now() + ms;
  while (scene.clock.now() < end) {
    await pass(scene, stepMs);
    const holder = holders(scene).find(allowed);
    if (holder) return holder;
  }
  return assert.fail("no other box may give orders");
}

Given(
  "boxes {string} that hear each other and reach the store",
  async function (this: object, names: string) {
    const scene = createScene(names.split(" "), 1);
    scenes.set(this, scene);
    for (const box of scene.boxes) await box.lease.start();
  },
);

Given("{string} holds the lease", async function (this: object, name: string) {
  const scene = sceneOf(this);
  await pass(scene, 2_000);
  assert.deepEqual(
    holders(scene).map((box) => box.name),
    [name],
  );
  scene.highest = boxOf(scene, name).lease.epoch() ?? 0;
});

When("{int} s go by", function (this: object, seconds: number) {
  return pass(sceneOf(this), seconds * 1_000);
});

When("{string} falls silent", function (this: object, name: string) {
  const scene = sceneOf(this);
  boxOf(scene, name).silent = true;
  setAccess(scene, name, "refuses");
});

When("the store refuses {string}", function (this: object, name: string) {
  setAccess(sceneOf(this), name, "refuses");
});

When("the store loses the answers to {string}", function (this: object, name: string) {
  setAccess(sceneOf(this), name, "loses_answers");
});

When("the store serves {string}", function (this: object, name: string) {
  setAccess(sceneOf(this), name, "serves");
});

When(
  "{string} hears of a newer claim of {string}",
  function (this: object, name: string, other: string) {
    const { lease } = boxOf(sceneOf(this), name);
    lease.observe({ epoch: (lease.epoch() ?? 0) + 5, holder: other });
  },
);

When("an engine refuses the epoch of {string}", function (this: object, name: string) {
  const { lease } = boxOf(sceneOf(this), name);
  lease.recordRefusal(lease.epoch() ?? 0);
});

When(
  "box {string} starts and hears of the claim while it reads",
  async function (this: object, name: string) {
    const scene = sceneOf(this);
    const word = boxOf(scene, "a").lease.observedLease();
    assert.ok(word);
    const port = scene.store.portFor(name);
    const box: LeaseBox = addBox(scene, name, 1, {
      ...port,
      async readNewest() {
        box.lease.observe(word);
        return port.readNewest();
      },
    });
    // It hears of the claim then and not before.
    box.silent = true;
    await box.lease.start();
  },
);

Then("the epoch is as before", function (this: object) {
  const scene = sceneOf(this);
  assert.equal(boxOf(scene, "a").lease.epoch(), scene.highest);
});

When("{string} begins a new life", async function (this: object, name: string) {
  await beginNewLife(sceneOf(this), name, 1);
});

When("{string} begins a new life, which the store refuses", async function (this: object, name) {
  await beginNewLife(sceneOf(this), String(name), 1, "refuses");
});

Then(
  "within {int} s its new life may give orders under a higher epoch",
  async function (this: object, seconds: number) {
    const scene = sceneOf(this);
    const holder = await passUntilHolder(scene, seconds * 1_000, () => true);
    assert.equal(holder.name, nextLife("a"));
    assert.ok((holder.lease.epoch() ?? 0) > scene.highest);
  },
);

When(
  "{string} wakes after a suspension of {int} ms",
  function (this: object, name: string, ms: number) {
    boxOf(sceneOf(this), name).suspendedMs += ms;
  },
);

Then(
  "within {int} s {string} has proven its lease and may give orders",
  async function (this: object, seconds: number, name: string) {
    const holder = await passUntilHolder(sceneOf(this), seconds * 1_000, () => true);
    assert.equal(holder.name, name);
  },
);

When("{string} leaves", function (this: object, name: string) {
  const box = boxOf(sceneOf(this), name);
  box.leaving = true;
  // Its answer needs the virtual clock to move.
  void box.lease.release();
});

Then("exactly one box may give orders", function (this: object) {
  assert.equal(holders(sceneOf(this)).length, 1);
});

Then(
  "no other box gives orders before the lease of {string} has run out",
  async function (this: object, name: string) {
    const scene = sceneOf(this);
    const { lease } = boxOf(scene, name);
    while (lease.epoch() !== undefined) {
      assert.equal(holders(scene).length, 1);
      await pass(scene, stepMs);
    }
  },
);

Then(
  /^within (\d+) s (another|a) box may give orders under a higher epoch$/,
  async function (this: object, seconds: string, which: string) {
    const scene = sceneOf(this);
    const before = scene.boxes.find((box) => box.name === "a");
    const holder = await passUntilHolder(
      scene,
      Number(seconds) * 1_000,
      (box) => which === "a" || box !== before,
    );
    assert.ok((holder.lease.epoch() ?? 0) > scene.highest);
  },
);

Then("{string} may give no orders", function (this: object, name: string) {
  assert.equal(boxOf(sceneOf(this), name).lease.epoch(), undefined);
});

Then("{string} may give orders and nobody else", function (this: object, name: string) {
  assert.deepEqual(
    holders(sceneOf(this)).map((box) => box.name),
    [name],
  );
});

/** Many seeds take their time where the machine is busy; nothing here is measured by the clock. */
const manySeeds = { timeout: 120_000 };

type Disturb = (scene: Scene, box: LeaseBox, seed: number) => Promise<void> | void;

const disturbances: readonly Disturb[] = [
  (scene, box) => setAccess(scene, box.name, "refuses"),
  (scene, box) => setAccess(scene, box.name, "serves"),
  (_scene, box) => void (box.silent = !box.silent),
  (scene, box) => setAccess(scene, box.name, "loses_answers"),
];
const withNewLives: readonly Disturb[] = [
  ...disturbances,
  (scene, box, seed) => beginNewLife(scene, box.name, seed).then(() => undefined),
];

async function checkOneHolder(seed: number, choices: readonly Disturb[]): Promise<void> {
  const random = seededRandom(seed);
  const scene = createScene(["a", "b", "c", "d"], seed);
  for (const box of scene.boxes) await box.lease.start();
  let highest = 0;
  const look = () => {
    const now = holders(scene);
    const names = now.map((box) => box.name).join(" ");
    assert.ok(now.length <= 1, `seed ${seed}: ${names} may give orders at once`);
    for (const box of now) {
      const epoch = box.lease.epoch() ?? 0;
      assert.ok(epoch >= highest, `seed ${seed}: epoch ${epoch} after ${highest}`);
      highest = epoch;
    }
  };
  for (let step = 0; step < 12; step++) {
    const box = pick(random, scene.boxes);
    await choices[random.nextInt(choices.length)](scene, box, seed);
    await pass(scene, 300 + random.nextInt(3_000), look);
  }
  for (const box of scene.boxes) {
    box.silent = false;
    setAccess(scene, box.name, "serves");
  }
  await pass(scene, 9_000, look);
  assert.equal(holders(scene).length, 1, `seed ${seed}: nobody may give orders in the end`);
  for (const box of scene.boxes) await box.lease.stop();
}

Then("for {int} seeds no two boxes may give orders at once", manySeeds, async (seeds: number) => {
  for (let seed = 1; seed <= seeds; seed++) await checkOneHolder(seed, disturbances);
});

Then(
  "for {int} seeds with new lives no two boxes may give orders at once",
  manySeeds,
  async (seeds: number) => {
    for (let seed = 1; seed <= seeds; seed++) await checkOneHolder(seed, withNewLives);
  },
);
