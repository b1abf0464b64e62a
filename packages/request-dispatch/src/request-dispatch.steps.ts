import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type {
  AdoptedLoad,
  DispatchDecision,
  DispatchQueue,
  DispatchRequest,
} from "@linkfall/dispatch-queue";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import type { PeerUnreachable } from "@linkfall/errors";
import { type Either, Left, Right } from "purify-ts";
import {
  createRequestDispatch,
  type DispatchMessage,
  type DispatchOutcome,
  type DispatchReply,
  type RequestDispatch,
} from "./index.js";

type Link = "works" | "loses" | "refuses" | "unknown";

interface Box {
  readonly name: string;
  readonly dispatch: RequestDispatch;
  readonly queue: FakeQueue;
  link: Link;
  cutOff: boolean;
  gone: boolean;
  /** Sequence of what it has learned of targets. */
  learned: number;
  readonly received: Map<string, number>;
  sent: number;
}

interface Result {
  readonly outcome: DispatchOutcome;
  readonly askedAt: number;
  readonly waitedMs: number;
}

interface Scene {
  readonly clock: VirtualClock;
  readonly boxes: Map<string, Box>;
  linkMs: number;
  /** Time that the next message takes in addition. */
  nextDelayMs: number;
  loads: ReadonlyMap<string, AdoptedLoad>;
  results: Result[];
  byBox: Map<string, Result[]>;
}

const service = "s";
const slots = 2;
const unreachable = (reason: string): Either<PeerUnreachable, never> =>
  Left({ kind: "peer_unreachable", reason, mayHaveArrived: true });

interface FakeQueue extends DispatchQueue {
  readonly inUse: Map<string, string>;
  readonly waiting: Set<(place: string) => void>;
  capacity: number;
}

/** A queue of one target with a number of places, first come, first served. */
function createFakeQueue(): FakeQueue {
  const inUse = new Map<string, string>();
  const waiting = new Set<(place: string) => void>();
  let number = 0;
  const next = () => {
    const [first] = waiting;
    if (!first || inUse.size >= queue.capacity) return;
    waiting.delete(first);
    first(`place-${++number}`);
  };
  const queue: FakeQueue = {
    inUse,
    waiting,
    capacity: 20,
    submit(request: DispatchRequest, decide: (decision: DispatchDecision) => void) {
      const grant = (place: string) => {
        inUse.set(place, request.box);
        decide({ kind: "granted", target: "t1", place, expectedMs: 10 });
      };
      waiting.add(grant);
      next();
      return () => void waiting.delete(grant);
    },
    firstBytes: () => undefined,
    end({ place }) {
      inUse.delete(place);
      next();
    },
    adopt(loads) {
      queue.capacity -= loads.get("t1")?.inFlight ?? 0;
    },
    dropBox(box) {
      for (const [place, owner] of inUse) if (owner === box) inUse.delete(place);
      next();
    },
    summary: () => ({
      waiting: waiting.size,
      inFlight: inUse.size,
      granted: 0,
      expired: 0,
      rejected: { full: 0, displaced: 0, late: 0, no_target: 0 },
      accounts: [],
      targets: [{ target: "t1", inFlight: inUse.size, limit: queue.capacity }],
    }),
  };
  return queue;
}

function sceneOf(world: object): Scene {
  return scenarioState(world).get("dispatch") as Scene;
}

function boxOf(world: object, name: string): Box {
  const box = sceneOf(world).boxes.get(name);
  assert.ok(box);
  return box;
}

async function deliver(
  scene: Scene,
  to: string,
  message: DispatchMessage,
): Promise<Either<PeerUnreachable, DispatchReply>> {
  const { clock } = scene;
  const delay = () =>
    new Promise<void>((resolve) => void clock.after(scene.linkMs / 2, () => resolve()));
  const { nextDelayMs } = scene;
  scene.nextDelayMs = 0;
  const box = scene.boxes.get(to);
  if (!box || box.link === "refuses") return unreachable("refused");
  if (box.link === "unknown") return unreachable("the other box has no answer to such a message");
  // The stream fails once its request times out.
  if (box.link === "loses")
    return new Promise(
      (resolve) => void clock.after(400, () => resolve(unreachable("the request timed out"))),
    );
  if (nextDelayMs > 0)
    await new Promise<void>((resolve) => void clock.after(nextDelayMs, () => resolve()));
  if (scene.linkMs > 0) await delay();
  const reply = await box.dispatch.receive(message);
  if (scene.linkMs > 0) await delay();
  return Right(reply);
}

function addBox(scene: Scene, name: string): void {
  const queue = createFakeQueue();
  const dispatch = createRequestDispatch(
    scene.clock,
    {
      self: name,
      selfAddress: name,
      dispatchers: () => ["A", "B", "C"],
      send: (address, message) => {
        box.sent += 1;
        return deliver(scene, address, message);
      },
      connected: () => !box.cutOff,
      isAlive: (other) => scene.boxes.get(other)?.gone === false,
      heldUpMs: () => 0,
      loads: () => scene.loads,
    },
    {
      holdMs: 60,
      askMs: 60,
      isActive: () => true,
      createQueue: () => queue,
      capacities: {
        recordsSince: () => ({ sequence: box.learned, targets: [], kinds: [] }),
        applyRecords: (from, { sequence }) => void box.received.set(from, sequence),
      },
    },
    {
      onOutcome: () => undefined,
      onDispatcherLost: () => undefined,
      onDispatcherFound: () => undefined,
      onTookOver: () => undefined,
    },
  );
  const state = { cutOff: false, gone: false, learned: 0, sent: 0 };
  const box: Box = { name, dispatch, queue, link: "works", received: new Map(), ...state };
  scene.boxes.set(name, box);
}

const requestOf = (box: string, timeLeftMs = 2_000): DispatchRequest => ({
  service,
  kind: "route",
  box,
  priority: 0,
  objectiveMs: 200,
  objectiveLeftMs: 200,
  timeLeftMs,
  candidates: [{ target: "t1", slots, sameDomain: true }],
});

/** Lets promises settle that wait for no time. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 50; turn++) await Promise.resolve();
}

async function advance(clock: VirtualClock, ms: number): Promise<void> {
  await settle();
  await clock.runUntil(clock.now() + ms);
  await settle();
}

/** Starts a request; its result is recorded when it ends. */
function ask(world: object, name: string, timeLeftMs?: number): { leave(): void } {
  const scene = sceneOf(world);
  const askedAt = scene.clock.now();
  let gone = false;
  const listeners: (() => void)[] = [];
  const waiter = {
    isGone: () => gone,
    onGone: (listener: () => void) => void listeners.push(listener),
  };
  const request = requestOf(name, timeLeftMs);
  void boxOf(world, name)
    .dispatch.acquire(request, waiter)
    .then((outcome) => {
      const result = { outcome, askedAt, waitedMs: scene.clock.now() - askedAt };
      scene.results.push(result);
      scene.byBox.set(name, [...(scene.byBox.get(name) ?? []), result]);
    });
  return {
    leave() {
      gone = true;
      for (const listener of listeners) listener();
    },
  };
}

/** Ends the places of the latest results after a time of work. */
function endGranted(world: object, name: string, afterMs: number): void {
  const { clock, results } = sceneOf(world);
  const { dispatch } = boxOf(world, name);
  for (const { outcome } of results) {
    if (outcome.kind !== "granted") continue;
    const { grant } = outcome;
    clock.after(afterMs, () => dispatch.end(grant, { result: "served", ms: afterMs }));
  }
}

Given(
  "3 boxes, of which {string} dispatches and {string} is next",
  function (this: object, _first, _next) {
    const scene: Scene = {
      clock: createVirtualClock(),
      boxes: new Map(),
      linkMs: 0,
      nextDelayMs: 0,
      loads: new Map(),
      results: [],
      byBox: new Map(),
    };
    for (const name of ["A", "B", "C"]) addBox(scene, name);
    scenarioState(this).set("dispatch", scene);
  },
);

When("{string} and {string} each ask for a place", async function (this: object, one, other) {
  ask(this, one);
  ask(this, other);
  await settle();
});

Then("both have a place at once", function (this: object) {
  assert.deepEqual(
    sceneOf(this).results.map(({ outcome, waitedMs }) => `${outcome.kind} ${waitedMs}`),
    ["granted 0", "granted 0"],
  );
});

Then(
  "{string} has sent {int} messages, and {string} {int}",
  function (this: object, one: string, oneCount: number, other: string, otherCount: number) {
    assert.equal(boxOf(this, one).sent, oneCount);
    assert.equal(boxOf(this, other).sent, otherCount);
  },
);

When(
  "{string} gets {int} places and ends them",
  async function (this: object, name: string, count: number) {
    for (let index = 0; index < count; index++) ask(this, name);
    await settle();
    endGranted(this, name, 5);
    await advance(sceneOf(this).clock, 5);
  },
);

Then(
  "{string} has sent {int} messages after {int} ms",
  async function (this: object, name, count, ms) {
    await advance(sceneOf(this).clock, ms);
    assert.equal(boxOf(this, name).sent, count);
  },
);

Then("{string} has {int} places in use", function (this: object, name: string, count: number) {
  assert.equal(boxOf(this, name).queue.inUse.size, count);
});

Then(
  "{string} has {int} places in use after {int} ms",
  async function (this: object, name: string, count: number, ms: number) {
    await advance(sceneOf(this).clock, ms);
    assert.equal(boxOf(this, name).queue.inUse.size, count);
  },
);

Given("all places are in use", function (this: object) {
  boxOf(this, "A").queue.capacity = 0;
});

When(
  "{string} asks for a place, and one becomes free after {int} ms",
  async function (this: object, name: string, ms: number) {
    const { queue } = boxOf(this, "A");
    ask(this, name);
    await advance(sceneOf(this).clock, ms);
    queue.capacity = 1;
    queue.end({ place: "", result: "served", ms });
    await settle();
  },
);

Then(
  "{string} gets it after {int} ms, with {int} messages",
  function (this: object, name: string, ms: number, count: number) {
    const [{ outcome, waitedMs }] = sceneOf(this).results;
    assert.equal(outcome.kind, "granted");
    assert.equal(waitedMs, ms);
    assert.equal(boxOf(this, name).sent, count);
  },
);

When(
  "{string} asks for a place, and its caller leaves after {int} ms",
  async function (this: object, name: string, ms: number) {
    const caller = ask(this, name);
    await advance(sceneOf(this).clock, ms);
    assert.equal(boxOf(this, "A").queue.waiting.size, 1);
    caller.leave();
    await settle();
  },
);

Then(
  "no request waits at {string} after {int} ms",
  async function (this: object, name: string, ms: number) {
    const { clock } = sceneOf(this);
    await advance(clock, ms - clock.now());
    assert.equal(boxOf(this, name).queue.waiting.size, 0);
  },
);

Given("the links to {string} lose every message", function (this: object, name: string) {
  boxOf(this, name).link = "loses";
});

Given("the links to {string} refuse connections", function (this: object, name: string) {
  boxOf(this, name).link = "refuses";
});

Given("the links to {string} take {int} ms", function (this: object, _name: string, ms: number) {
  sceneOf(this).linkMs = ms;
});

When("the links to {string} work again", function (this: object, name: string) {
  boxOf(this, name).link = "works";
  sceneOf(this).results = [];
});

When(
  "{string} asks for a place with {int} ms left",
  async function (this: object, name: string, ms: number) {
    ask(this, name, ms);
    await advance(sceneOf(this).clock, ms + 1);
  },
);

Then(
  "the request of {string} ends after {int} ms as {string}",
  function (this: object, _name: string, ms: number, kind: string) {
    const [{ outcome, waitedMs }] = sceneOf(this).results;
    assert.equal(outcome.kind, kind);
    assert.equal(waitedMs, ms);
  },
);

When(
  "{string} asks for a place every {int} ms for {float} s",
  async function (this: object, name: string, everyMs: number, seconds: number) {
    const scene = sceneOf(this);
    const { dispatch } = boxOf(this, name);
    const until = scene.clock.now() + seconds * 1_000;
    let ended = scene.results.length;
    while (scene.clock.now() < until) {
      ask(this, name);
      await advance(scene.clock, everyMs);
      for (const { outcome } of scene.results.slice(ended)) {
        if (outcome.kind === "granted") dispatch.end(outcome.grant, { result: "served", ms: 5 });
      }
      ended = scene.results.length;
    }
    await advance(scene.clock, 130);
    for (const { outcome } of scene.results.slice(ended)) {
      if (outcome.kind === "granted") dispatch.end(outcome.grant, { result: "served", ms: 5 });
    }
  },
);

Then(
  "the first one is {string} after at most {int} ms",
  function (this: object, kind: string, ms: number) {
    const [first] = [...sceneOf(this).results].sort((a, b) => a.askedAt - b.askedAt);
    assert.equal(first.outcome.kind, kind);
    assert.ok(first.waitedMs <= ms, `${first.waitedMs} ms`);
    scenarioState(this).set("limit", ms);
  },
);

Then("none of the later ones waits longer than that", function (this: object) {
  const limit = scenarioState(this).get("limit") as number;
  const waits = sceneOf(this).results.map(({ waitedMs }) => waitedMs);
  assert.ok(Math.max(...waits) <= limit, `${Math.max(...waits)} ms`);
});

const dispatcherOf = ({ outcome }: Result) =>
  outcome.kind === "granted" ? outcome.grant.dispatcher : outcome.kind;

Then(
  "the ones after {int} ms are granted by {string}",
  function (this: object, ms: number, name: string) {
    const later = sceneOf(this).results.filter(({ askedAt }) => askedAt >= ms);
    assert.ok(later.length > 10);
    assert.deepEqual(new Set(later.map(dispatcherOf)), new Set([name]));
  },
);

Then(
  /^at most (\d+) requests? (?:were|was) "([^"]*)"$/,
  function (this: object, max: string, kind: string) {
    const { results } = sceneOf(this);
    const count = results.filter(({ outcome }) => outcome.kind === kind).length;
    assert.ok(results.length > 10);
    assert.ok(count <= Number(max), `${count} requests`);
  },
);

Then(
  "no request was {string}, and the last one was granted by {string}",
  function (this: object, kind: string, name: string) {
    const { results } = sceneOf(this);
    assert.equal(results.filter(({ outcome }) => outcome.kind === kind).length, 0);
    assert.equal(dispatcherOf(results[results.length - 1]), name);
  },
);

When(
  "{string} asks for a place, and {string} stops after {int} ms",
  async function (this: object, name: string, stopping: string, ms: number) {
    ask(this, name);
    await advance(sceneOf(this).clock, ms);
    boxOf(this, stopping).dispatch.stop();
    await advance(sceneOf(this).clock, 10);
  },
);

Then(
  "the request of {string} is granted by {string} after at most {int} ms",
  function (this: object, _name: string, dispatcher: string, ms: number) {
    const [result] = sceneOf(this).results;
    assert.equal(dispatcherOf(result), dispatcher);
    assert.ok(result.waitedMs <= ms, `${result.waitedMs} ms`);
  },
);

Given("{string} is cut off from the majority", function (this: object, name: string) {
  boxOf(this, name).cutOff = true;
});

Then(
  "{string} chooses alone, and {string} has a place from {string}",
  function (this: object, alone: string, other: string, dispatcher: string) {
    const { byBox } = sceneOf(this);
    assert.deepEqual(byBox.get(alone)?.map(dispatcherOf), ["unavailable"]);
    assert.deepEqual(byBox.get(other)?.map(dispatcherOf), [dispatcher]);
  },
);

When("{string} waits for a place", async function (this: object, name: string) {
  ask(this, name);
  await settle();
  assert.equal(sceneOf(this).results.length, 0);
});

When(
  "{string} is cut off from the majority after {int} ms",
  async function (this: object, name: string, ms: number) {
    await advance(sceneOf(this).clock, ms);
    boxOf(this, name).cutOff = true;
  },
);

When(
  "a place becomes free at {string} after {int} ms",
  async function (this: object, name: string, ms: number) {
    await advance(sceneOf(this).clock, ms);
    const { queue } = boxOf(this, name);
    queue.capacity = 1;
    queue.end({ place: "", result: "served", ms });
    await settle();
  },
);

When("{string} stops after {int} ms", async function (this: object, name: string, ms: number) {
  await advance(sceneOf(this).clock, ms);
  boxOf(this, name).dispatch.stop();
  await settle();
});

When("further {int} ms pass", async function (this: object, ms: number) {
  await advance(sceneOf(this).clock, ms);
});

Then(
  "the request of {string} has ended as {string}",
  function (this: object, name: string, dispatcher: string) {
    assert.deepEqual(sceneOf(this).byBox.get(name)?.map(dispatcherOf), [dispatcher]);
  },
);

Given(
  "heartbeats tell that {int} of {int} places are in use",
  function (this: object, inFlight: number, places: number) {
    for (const { queue } of sceneOf(this).boxes.values()) queue.capacity = places;
    sceneOf(this).loads = new Map([["t1", { inFlight, promptTokens: 0 }]]);
  },
);

Then("none of them got a place from {string}", function (this: object, name: string) {
  const { results } = sceneOf(this);
  assert.ok(results.length > 0);
  assert.equal(results.filter((result) => dispatcherOf(result) === name).length, 0);
});

Given("{string} has all places and is gone", async function (this: object, name: string) {
  const { queue } = boxOf(this, "A");
  queue.capacity = slots;
  for (let index = 0; index < slots; index++) ask(this, name);
  await settle();
  assert.equal(queue.inUse.size, slots);
  boxOf(this, name).gone = true;
  sceneOf(this).results = [];
});

Then("the last request of {string} has a place", function (this: object, name: string) {
  const results = sceneOf(this).byBox.get(name) ?? [];
  assert.ok(results.length > 0);
  assert.equal(results[results.length - 1].outcome.kind, "granted");
});

Given("{string} is of a build that does not know asks", function (this: object, name: string) {
  boxOf(this, name).link = "unknown";
});

When(
  "{string} asks for {int} places and waits for {int} ms",
  async function (this: object, name: string, count: number, ms: number) {
    for (let index = 0; index < count; index++) ask(this, name);
    await advance(sceneOf(this).clock, ms - 1);
  },
);

Then("{string} has sent {int} messages", function (this: object, name: string, count: number) {
  assert.equal(boxOf(this, name).sent, count);
});

Given(
  "the next message to {string} takes {int} ms",
  function (this: object, _name: string, ms: number) {
    sceneOf(this).nextDelayMs = ms;
  },
);

When(
  "{string} has learned {int} changes of capacities",
  function (this: object, name: string, count: number) {
    boxOf(this, name).learned = count;
  },
);

Then(
  "{string} has received {int} changes from {string}",
  function (this: object, name: string, count: number, from: string) {
    assert.equal(boxOf(this, name).received.get(from), count);
  },
);
