import assert from "node:assert/strict";
import { createServer, type AddressInfo } from "node:net";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  clockName,
  createKernel,
  createVirtualClock,
  randomName,
  seededRandom,
  systemClock,
  type VirtualClock,
} from "@linkfall/kernel";
import { loggerName, recordingLogger } from "@linkfall/logger";
import { Left, Right } from "purify-ts";
import {
  type BoxStatus,
  createPeerClient,
  createPeers,
  type Heartbeat,
  type HeartbeatSource,
  type PeerClient,
  type Peers,
} from "./index.js";
import { createMember, type Member, applyStatus } from "./member.js";
import { selectPartners, computeRoundIntervalMs } from "./partners.js";

interface SceneBox {
  readonly address: string;
  readonly peers: Peers;
  stopped: boolean;
  sent: number;
}

interface Scene {
  readonly clock: VirtualClock;
  readonly boxes: SceneBox[];
  holder: string;
  passedMs: number;
}

const scenes = new WeakMap<object, Scene>();
const wireMs = 1;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const nameOf = (index: number) => `box-${index}`;
const addressOf = (index: number) => `10.0.0.1:${index + 1}`;

function statusOf(scene: Scene, index: number, beat: number): BoxStatus {
  return {
    box: nameOf(index),
    incarnation: nameOf(index),
    beat,
    frontAddress: addressOf(index),
    peerAddress: addressOf(index),
    domain: "d",
    capacity: 1,
    ready: true,
    leaving: false,
    strained: false,
    takesRequests: index <= 9,
    reading: index < 3,
    relays: index !== 7,
    reachesStore: true,
    configurationVersion: 1,
    targetsEnd: 1,
    loads: {},
    demand: [],
    followed: { holder: scene.holder, engines: 0, members: 0 },
  };
}

/** Creates a box's heartbeats; the lease holder reports all boxes that it knows. */
function sourceOf(scene: Scene, index: number, peers: () => Peers): HeartbeatSource {
  let beat = 0;
  const followed = { holder: nameOf(index), engines: 0, members: 0 };
  return {
    holder: () => scene.holder,
    isIdle: () => index > 9,
    createHeartbeat(_reader, sightings): Heartbeat {
      beat += 1;
      const status = statusOf(scene, index, beat);
      if (scene.holder !== nameOf(index) || peers().isFullMesh()) return { status, sightings };
      const members = peers().sightings();
      return {
        status,
        sightings,
        report: { engines: [], members, followed, hearsMost: true, withheld: {}, expected: {} },
      };
    },
  };
}

function clientOf(scene: Scene, index: number): PeerClient {
  const unreachable = Left({
    kind: "peer_unreachable",
    reason: "stopped",
    mayHaveArrived: false,
  } as const);
  return {
    async exchange(address, heartbeat) {
      scene.boxes[index].sent += 1;
      await new Promise<void>((resolve) => {
        scene.clock.after(wireMs, resolve);
      });
      const other = scene.boxes.find((box) => box.address === address);
      if (!other || other.stopped || scene.boxes[index].stopped) return unreachable;
      return Right(other.peers.receive(heartbeat));
    },
    quota: async () => Left({ kind: "peer_unreachable", reason: "none", mayHaveArrived: false }),
    permit: async () => Left({ kind: "peer_unreachable", reason: "none", mayHaveArrived: false }),
    place: async () => Left({ kind: "peer_unreachable", reason: "none", mayHaveArrived: false }),
    streams: async () => Left({ kind: "peer_unreachable", reason: "none", mayHaveArrived: false }),
    dispatch: async () => Left({ kind: "peer_unreachable", reason: "none", mayHaveArrived: false }),
    configuration: async () => unreachable,
    close: () => undefined,
  };
}

function addBox(scene: Scene, index: number): void {
  const kernel = createKernel();
  kernel.provide(clockName, scene.clock);
  kernel.provide(randomName, seededRandom(index + 1));
  kernel.provide(
    loggerName,
    recordingLogger(() => undefined),
  );
  const source = sourceOf(scene, index, () => peers);
  const peers: Peers = createPeers(kernel, clientOf(scene, index), source, {
    selfAddress: addressOf(index),
    minRoundIntervalMs: 400,
    roundIntervalPerBoxMs: 4,
    baseSuspicionTimeoutMs: 1_500,
    holderReportTtlMs: 4_500,
    removeAfterMs: 60_000,
    maxFullMeshPeers: 8,
    searchFanout: 4,
    randomPartnerPeriod: 5,
    maxSightings: 8,
  });
  scene.boxes.push({ address: addressOf(index), peers, stopped: false, sent: 0 });
}

Given(
  "{int} boxes of which one holds the order lease",
  async function (this: object, count: number) {
    const scene: Scene = { clock: createVirtualClock(), boxes: [], holder: nameOf(0), passedMs: 0 };
    scenes.set(this, scene);
    for (let index = 0; index < count; index++) addBox(scene, index);
    for (const { peers } of scene.boxes) {
      for (const seed of [0, 1, 2]) peers.addPeer({ box: "seed", peerAddress: addressOf(seed) });
      await peers.start();
    }
  },
);

When("{int} ms pass for all boxes", async function (this: object, ms: number) {
  const scene = sceneOf(this);
  scene.passedMs += ms;
  await scene.clock.runUntil(scene.clock.now() + ms);
});

When("all machines are suspended for {int} ms", function (this: object, ms: number) {
  sceneOf(this).clock.suspend(ms);
});

async function stopBox(scene: Scene, index: number): Promise<void> {
  scene.boxes[index].stopped = true;
  await scene.boxes[index].peers.stop();
}

When("box {int} stops", function (this: object, index: number) {
  return stopBox(sceneOf(this), index);
});

When("the lease holder stops", function (this: object) {
  return stopBox(sceneOf(this), 0);
});

When("box {int} holds the order lease", function (this: object, index: number) {
  sceneOf(this).holder = nameOf(index);
});

const running = (scene: Scene) => scene.boxes.filter((box) => !box.stopped);

Then("every box considers {int} others alive", function (this: object, count: number) {
  for (const { address, peers } of running(sceneOf(this))) {
    assert.equal(peers.alive().length, count, address);
  }
});

Then("every box considers at least {int} others alive", function (this: object, count: number) {
  for (const { address, peers } of running(sceneOf(this))) {
    assert.ok(peers.alive().length >= count, `${address} ${peers.alive().length}`);
  }
});

Then("every box knows that only box {int} does not relay", function (this: object, index: number) {
  for (const { address, peers } of running(sceneOf(this))) {
    const others = peers.alive().filter(({ relays }) => relays !== true);
    const expected = address === addressOf(index) ? [] : [nameOf(index)];
    assert.deepEqual(
      others.map(({ box }) => box),
      expected,
      address,
    );
  }
});

Then("every box has recent heartbeats from {int} others", function (this: object, count: number) {
  for (const { peers } of sceneOf(this).boxes) assert.equal(peers.statuses().length, count);
});

Then(
  "a box sends less than {int} heartbeats per second",
  function (this: object, maxPerSecond: number) {
    const { boxes, passedMs } = sceneOf(this);
    const sent = boxes.reduce((sum, box) => sum + box.sent, 0);
    assert.ok((sent * 1_000) / passedMs / boxes.length < maxPerSecond);
  },
);

Then(
  "with {int}, {int} and {int} others a round of at least {int} ms and {int} ms per box takes {int}, {int} and {int} ms",
  (
    few: number,
    some: number,
    many: number,
    base: number,
    perBox: number,
    ofFew: number,
    ofSome: number,
    ofMany: number,
  ) => {
    const rounds = [few, some, many].map((others) => computeRoundIntervalMs(base, perBox, others));
    assert.deepEqual(rounds, [ofFew, ofSome, ofMany]);
  },
);

Then(
  "box {int} has sent fewer heartbeats than box {int}",
  function (this: object, idle: number, busy: number) {
    const { boxes } = sceneOf(this);
    assert.ok(boxes[idle].sent < boxes[busy].sent);
  },
);

const partnerScenes = new WeakMap<object, Map<string, boolean>>();

/** Members by name, with whether they can reach the store. */
function membersOf(world: object): readonly Member[] {
  return [...(partnerScenes.get(world) ?? [])].map(([box, reachesStore]) => {
    const member = createMember({ box, peerAddress: box }, 0);
    const status = { box, incarnation: box, beat: 1, reading: true, reachesStore };
    applyStatus(member, status as BoxStatus, 0, 0);
    return member;
  });
}

Given(
  "a holder and the readers {string}, of which {string} cannot reach the store",
  function (this: object, readers: string, unreachable: string) {
    const members = ["holder", ...readers.split(" ")].map(
      (box) => [box, box !== unreachable] as const,
    );
    partnerScenes.set(this, new Map(members));
  },
);

Given("the holder cannot reach the store either", function (this: object) {
  partnerScenes.get(this)?.set("holder", false);
});

Given("no reader can reach the store", function (this: object) {
  const known = partnerScenes.get(this) ?? new Map<string, boolean>();
  for (const box of known.keys()) known.set(box, false);
});

Then(/^rounds 0 to \d+ go to the holder and (.+)$/, function (this: object, listed: string) {
  const expected = [...listed.matchAll(/"([^"]+)"/g)].map(([, boxes]) => boxes);
  const options = { maxFullMeshPeers: 1, searchFanout: 1, randomPartnerPeriod: 1_000 };
  const rounds = expected.map((_, round) => {
    // Round 0 also adds a random partner, hence an equivalent later round is used.
    const input = { members: membersOf(this), holder: "holder", holderReachable: true };
    const candidates = { ...input, round: round + 12 };
    const partners = selectPartners(candidates, options, seededRandom(1));
    return partners.slice(1).map(({ address }) => address.box);
  });
  assert.deepEqual(
    rounds.map((boxes) => boxes.join(" ")),
    expected,
  );
});

const closedClients = new WeakMap<object, PeerClient>();
const callTimeoutMs = 1_000;

Given("a client of other boxes that was closed", function (this: object) {
  const client = createPeerClient(systemClock(), callTimeoutMs, () => undefined);
  client.close();
  closedClients.set(this, client);
});

Then("a message to a box that listens is not sent", async function (this: object) {
  let connections = 0;
  const server = createServer(() => void (connections += 1));
  await new Promise<void>((resolve) => void server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const message = { told: [], wanted: [] };
  const reply = await closedClients.get(this)?.streams(`127.0.0.1:${port}`, message);
  assert.equal(reply?.isLeft(), true);
  assert.equal(connections, 0);
  server.close();
});
