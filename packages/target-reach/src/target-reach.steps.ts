import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  clockName,
  createKernel,
  createVirtualClock,
  pick,
  type Random,
  randomName,
  seededRandom,
  sleep,
  type VirtualClock,
} from "@linkfall/kernel";
import { type EventDetail, type EventName, loggerName, recordingLogger } from "@linkfall/logger";
import { createMetrics, type Metrics, metricsName } from "@linkfall/metrics";
import type { ListenerStatus } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { type CheckedTarget, createTargetReach, type TargetReach } from "./index.js";

type State = "works" | "refused" | "hanging";

interface ReachBox {
  readonly name: string;
  reach: TargetReach;
  readonly metrics: Metrics;
  readonly events: { readonly name: EventName; readonly detail: EventDetail }[];
  /** When it was first seen cut off without a pause since; undefined while it is not cut off. */
  cutSeenAt?: number;
  links: State;
  stopped: boolean;
  hasTraffic: boolean;
  /** The target that all of its traffic needs. */
  onlyTarget?: string;
  /** Interval of its traffic if it differs from that of the scene. */
  trafficEveryMs?: number;
  /** What the other boxes have heard of it. */
  saysItRelays: boolean;
}

interface Scene {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly targets: readonly CheckedTarget[];
  readonly targetStates: Map<string, State>;
  readonly boxes: ReachBox[];
  trafficEveryMs: number;
}

const checkTimeoutMs = 250;
const connectTimeoutMs = 400;
const roundTripMs = 2;
const heartbeatDelayMs = 12;
const heartbeatEveryMs = 400;
const verifiedForMs = 1_000;
const dropsMetric = "linkfall_target_reach_suspicions_dropped_total";

const sceneOf = (world: object) => scenarioState(world).get<Scene>("reach");
const boxOf = (world: object, number: number) => sceneOf(world).boxes[number - 1];
const running = ({ boxes }: Scene) => boxes.filter(({ stopped }) => !stopped);
const namesOfCut = (scene: Scene) =>
  running(scene)
    .filter(({ reach }) => reach.isCutOff())
    .map(({ name }) => name);
const countEvents = ({ events }: ReachBox, name: EventName) =>
  events.filter((event) => event.name === name).length;

/** Connects from a box to a target, as the state of the box's links and of the target allows. */
async function connect(
  { clock, targetStates }: Scene,
  box: ReachBox,
  target: string,
  timeoutMs: number,
): Promise<ListenerStatus> {
  const state = box.links === "works" ? (targetStates.get(target) ?? "works") : box.links;
  await sleep(clock, state === "hanging" ? timeoutMs : roundTripMs);
  if (state === "hanging") return "unknown";
  return state === "refused" ? "refuses" : "listens";
}

async function connectAsTraffic(scene: Scene, box: ReachBox): Promise<void> {
  const id = box.onlyTarget ?? pick(scene.random, scene.targets).id;
  const { reach } = box;
  const status = await connect(scene, box, id, connectTimeoutMs);
  if (status === "listens") reach.recordConnected(id);
  else reach.recordConnectFailure(id, status);
}

/** Sends a heartbeat, which the other boxes receive later. */
function sendHeartbeat(scene: Scene, box: ReachBox): void {
  const relays = box.reach.reachesTargets();
  scene.clock.after(heartbeatDelayMs, () => {
    if (box.stopped) return;
    box.saysItRelays = relays;
    for (const { reach } of running(scene).filter((other) => other !== box)) {
      reach.reassess();
      if (!relays) void reach.verify(verifiedForMs);
    }
  });
}

function createReach(scene: Scene, box: ReachBox, seed: number): TargetReach {
  const kernel = createKernel();
  kernel.provide(clockName, scene.clock);
  kernel.provide(randomName, seededRandom(seed));
  kernel.provide(
    loggerName,
    recordingLogger((name, detail) => box.events.push({ name, detail })),
  );
  kernel.provide(metricsName, box.metrics);
  const reach = createTargetReach(kernel, {
    targets: () => scene.targets,
    isListening: (address) => connect(scene, box, address, checkTimeoutMs),
    relayingBoxes: () =>
      running(scene)
        .filter((other) => other !== box && other.saysItRelays)
        .map(({ name }) => name),
  });
  reach.onReachChange(() => sendHeartbeat(scene, box));
  return reach;
}

function addBox(scene: Scene, name: string, seed: number): void {
  const box: ReachBox = {
    name,
    metrics: createMetrics(),
    events: [],
    links: "works",
    stopped: false,
    hasTraffic: true,
    saysItRelays: true,
    get reach(): TargetReach {
      return reach;
    },
    set reach(next: TargetReach) {
      reach = next;
    },
  };
  let reach = createReach(scene, box, seed);
  scene.boxes.push(box);
}

function createScene(boxes: number, targets: number, groups: number, seed: number): Scene {
  const scene: Scene = {
    clock: createVirtualClock(),
    random: seededRandom(seed),
    targets: Array.from({ length: targets }, (_, index) => ({
      id: `t${index + 1}`,
      address: `t${index + 1}`,
      service: `s${(index % groups) + 1}`,
      domain: `d${(Math.floor(index / groups) % groups) + 1}`,
    })),
    targetStates: new Map(),
    boxes: [],
    trafficEveryMs: Infinity,
  };
  for (let index = 1; index <= boxes; index++) addBox(scene, String(index), seed * 100 + index);
  return scene;
}

/** Lets time pass in steps, with traffic and heartbeats. */
async function passTime(scene: Scene, ms: number): Promise<void> {
  const { clock, trafficEveryMs } = scene;
  const end = clock.now() + ms;
  const stepMs = Math.min(10, trafficEveryMs);
  while (clock.now() < end) {
    const next = Math.min(end, clock.now() + stepMs);
    for (const box of running(scene)) {
      const everyMs = box.trafficEveryMs ?? trafficEveryMs;
      if (box.hasTraffic && clock.now() % everyMs === 0) void connectAsTraffic(scene, box);
      if (clock.now() % heartbeatEveryMs === 0) sendHeartbeat(scene, box);
    }
    await clock.runUntil(next);
    for (const box of scene.boxes) {
      if (box.reach.isCutOff()) box.cutSeenAt ??= clock.now();
      else box.cutSeenAt = undefined;
    }
  }
}

function setTargets(
  scene: Scene,
  state: State,
  filter: (target: CheckedTarget) => boolean = () => true,
): void {
  for (const { id } of scene.targets.filter(filter)) scene.targetStates.set(id, state);
}

const stateNamed: Readonly<Record<string, State>> = { down: "refused", silent: "hanging" };

Given(
  "{int} boxes and {int} targets of {int} services in 3 failure domains",
  async function (this: object, boxes: number, targets: number, services: number) {
    scenarioState(this).set("reach", createScene(boxes, targets, services, 1));
  },
);

Given("every box connects to a target every {int} ms", async function (this: object, ms: number) {
  sceneOf(this).trafficEveryMs = ms;
  await passTime(sceneOf(this), 1_000);
});

Given("only box 1 has traffic", async function (this: object) {
  for (const box of sceneOf(this).boxes.slice(1)) box.hasTraffic = false;
  await passTime(sceneOf(this), 2_000);
});

Given(
  "the traffic of box {int} needs target {int} only, and comes every {int} ms",
  function (this: object, number: number, target: number, everyMs: number) {
    const box = boxOf(this, number);
    box.onlyTarget = `t${target}`;
    box.trafficEveryMs = everyMs;
  },
);

Given("box {int} has no traffic", function (this: object, number: number) {
  boxOf(this, number).hasTraffic = false;
});

When(
  "box {int} fails to connect to {string}",
  function (this: object, number: number, ids: string) {
    const { reach } = boxOf(this, number);
    for (const id of ids.split(" ")) reach.recordConnectFailure(id, "test");
  },
);

Then(
  "each return of box {int} is reported after less than {int} ms",
  function (this: object, number: number, ms: number) {
    const returns = boxOf(this, number).events.filter(
      ({ name }) => name === "boxReachesTargetsAgain",
    );
    const times = returns.map(({ detail }) => Number(detail.afterMs));
    assert.ok(
      times.every((afterMs) => afterMs < ms),
      times.join(" "),
    );
  },
);

Given("boxes 2, 3 and 4 have stopped", function (this: object) {
  for (const box of sceneOf(this).boxes.slice(1)) box.stopped = true;
});

Given(
  "box {int} starts again with refused connections and without traffic",
  async function (this: object, number: number) {
    const scene = sceneOf(this);
    const box = boxOf(this, number);
    await box.reach.stop();
    box.links = "refused";
    box.hasTraffic = false;
    box.reach = createReach(scene, box, 7);
    void box.reach.verify();
  },
);

When("box {int} is replaced by a new process", async function (this: object, number: number) {
  const scene = sceneOf(this);
  const box = boxOf(this, number);
  await box.reach.stop();
  box.reach = createReach(scene, box, 7);
  box.saysItRelays = true;
});

When(
  "new connections of box {int} are {word}",
  function (this: object, number: number, state: string) {
    boxOf(this, number).links = state as State;
  },
);

When("the links of box {int} work again", function (this: object, number: number) {
  boxOf(this, number).links = "works";
});

When("{int} ms of traffic pass", function (this: object, ms: number) {
  return passTime(sceneOf(this), ms);
});

When(/^target (\d+) is (down|silent)$/, function (this: object, number: string, state: string) {
  sceneOf(this).targetStates.set(`t${number}`, stateNamed[state]);
});

When("target {int} answers again", function (this: object, number: number) {
  sceneOf(this).targetStates.set(`t${number}`, "works");
});

When("all targets of service {int} are down", function (this: object, number: number) {
  setTargets(sceneOf(this), "refused", ({ service }) => service === `s${number}`);
});

When(/^all targets are (down|silent)$/, function (this: object, state: string) {
  setTargets(sceneOf(this), stateNamed[state]);
});

When("all targets work again", function (this: object) {
  setTargets(sceneOf(this), "works");
});

/** Lets the links of a box fail and work in turn. */
async function alternate(
  scene: Scene,
  box: ReachBox,
  phases: readonly (readonly [State, number])[],
  times: number,
): Promise<void> {
  for (let turn = 0; turn < times; turn++) {
    for (const [state, ms] of phases) {
      box.links = state;
      await passTime(scene, ms);
    }
  }
}

When(
  "the links of box {int} work for {int} ms and are refused for {int} ms, {int} times",
  function (this: object, number: number, worksMs: number, refusedMs: number, times: number) {
    const phases = [["works", worksMs] as const, ["refused", refusedMs] as const];
    return alternate(sceneOf(this), boxOf(this, number), phases, times);
  },
);

When(
  "the links of box {int} are refused for {int} ms and work for {int} ms, {int} times",
  function (this: object, number: number, refusedMs: number, worksMs: number, times: number) {
    const phases = [["refused", refusedMs] as const, ["works", worksMs] as const];
    return alternate(sceneOf(this), boxOf(this, number), phases, times);
  },
);

Then("only box {int} is cut off", function (this: object, number: number) {
  assert.deepEqual(namesOfCut(sceneOf(this)), [String(number)]);
});

Then("boxes 1, 2 and 3 are cut off", function (this: object) {
  assert.deepEqual(namesOfCut(sceneOf(this)), ["1", "2", "3"]);
});

Then("no box is cut off", function (this: object) {
  assert.deepEqual(namesOfCut(sceneOf(this)), []);
});

Then("no box has ever been cut off", function (this: object) {
  for (const box of sceneOf(this).boxes)
    assert.equal(countEvents(box, "boxCutOffFromTargets"), 0, box.name);
});

Then("suspicions were dropped", function (this: object) {
  for (const { metrics } of sceneOf(this).boxes) assert.ok(metrics.counterValue(dropsMetric) > 0);
});

Then("no box says that it relays", function (this: object) {
  assert.ok(sceneOf(this).boxes.every(({ saysItRelays }) => !saysItRelays));
});

Then("every box says that it relays", function (this: object) {
  assert.ok(sceneOf(this).boxes.every(({ saysItRelays }) => saysItRelays));
});

Then(
  "box {int} has logged which targets failed, which were checked and that boxes {string} relay",
  function (this: object, number: number, relaying: string) {
    const { events } = boxOf(this, number);
    const logged = events.filter(({ name }) => name === "boxCutOffFromTargets");
    assert.equal(logged.length, 1);
    const { detail } = logged[0];
    assert.match(String(detail.failed), /t\d+ \((refuses|unknown)\), t\d+/);
    assert.match(String(detail.checked), /t\d+, t\d+, t\d+/);
    assert.equal(detail.relaying, relaying);
  },
);

Then("box {int} has logged that it reaches targets again", function (this: object, number: number) {
  const box = boxOf(this, number);
  const logged = box.events.find(({ name }) => name === "boxReachesTargetsAgain");
  assert.ok(Number(logged?.detail.afterMs) > 0);
});

Then(
  "a caller of box {int} learns within {int} ms that it is cut off",
  async function (this: object, number: number, ms: number) {
    const scene = sceneOf(this);
    const { reach } = boxOf(this, number);
    const learnt = reach.whenSettled().then(reach.isCutOff);
    assert.ok(!reach.isCutOff());
    const result = await Promise.race([learnt, passTime(scene, ms).then(() => "no verdict")]);
    assert.equal(result, true);
  },
);

Then("box {int} has reported {int} cuts", function (this: object, number: number, cuts: number) {
  assert.equal(countEvents(boxOf(this, number), "boxCutOffFromTargets"), cuts);
});

Then(
  "box {int} has reported at most {int} cuts",
  function (this: object, number: number, cuts: number) {
    const reported = countEvents(boxOf(this, number), "boxCutOffFromTargets");
    assert.ok(reported >= 1 && reported <= cuts, `${reported} cuts`);
  },
);

const minLiving = 4;

/** Crashes up to all but `minLiving` targets at once, or restarts some. */
function crashOrRestart(scene: Scene): void {
  const { random, targets, targetStates } = scene;
  const isWave = random.nextInt(3) === 0;
  const ways: readonly State[] = ["refused", "refused", "hanging"];
  for (const { id } of targets) {
    const living = targets.filter((target) => (targetStates.get(target.id) ?? "works") === "works");
    if (random.nextInt(2) === 0) targetStates.set(id, "works");
    else if (isWave && living.length > minLiving) targetStates.set(id, pick(random, ways));
  }
}

function createRandomScene(seed: number): Scene {
  const scene = createScene(4, 12, 3, seed);
  scene.trafficEveryMs = 20;
  return scene;
}

Then(
  "for {int} seeds of crashes and restarts no box is cut off for more than {int} ms",
  async (seeds: number, ms: number) => {
    for (let seed = 1; seed <= seeds; seed++) {
      const scene = createRandomScene(seed);
      for (let turn = 0; turn < 20; turn++) {
        crashOrRestart(scene);
        for (let step = 0; step < 4; step++) {
          await passTime(scene, 100 + scene.random.nextInt(10) * 10);
          for (const { name, cutSeenAt } of scene.boxes) {
            const forMs = scene.clock.now() - (cutSeenAt ?? scene.clock.now());
            assert.ok(forMs <= ms, `seed ${seed}: box ${name} is cut off for ${forMs} ms`);
          }
        }
      }
    }
  },
);

Then(
  "for {int} seeds of crashes and restarts a box is cut off within {int} ms of its cut and not {int} ms after it",
  async (seeds: number, noticedMs: number, endedMs: number) => {
    for (let seed = 1; seed <= seeds; seed++) {
      const scene = createRandomScene(seed);
      await passTime(scene, 500);
      const [box] = scene.boxes;
      for (let turn = 0; turn < 3; turn++) {
        crashOrRestart(scene);
        box.links = pick(scene.random, ["refused", "hanging"] as const);
        await passTime(scene, noticedMs);
        for (let step = 0; step < 4; step++) {
          assert.ok(box.reach.isCutOff(), `seed ${seed}, turn ${turn}: not cut off`);
          crashOrRestart(scene);
          await passTime(scene, 300);
        }
        box.links = "works";
        await passTime(scene, endedMs);
        assert.ok(!box.reach.isCutOff(), `seed ${seed}, turn ${turn}: still cut off`);
        await passTime(scene, 12_000);
      }
    }
  },
);
