import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Clock } from "@linkfall/kernel";
import { createMetrics } from "@linkfall/metrics";
import { scenarioState } from "@linkfall/test-support";
import { type AcceptQueueMonitor, createAcceptQueueMonitor } from "./accept-queue-monitor.js";
import { createRequestArrivals, type RequestArrivals } from "./request-arrivals.js";
import { createUnreadInput, type UnreadInput } from "./unread-input.js";

interface Scene {
  now: number;
  iteration: number;
  idleMs: number;
  blockedSince?: number;
  readonly monitor: AcceptQueueMonitor;
  readonly arrivals: RequestArrivals;
  readonly waits: number[];
  ownPort?: number;
  reportConnected?: () => void;
  lastAccepted?: Socket;
  countsFrom?: number;
}

const sceneOf = (world: object) => scenarioState(world).get<Scene>("late reads");

let lastPort = 0;

/** A connection as far as the monitor looks at it. */
function socketOf(
  ends: Partial<Socket>,
  onListener = (_name: string, _listener: () => void) => {},
) {
  const listen = (name: string, listener: () => void) => {
    onListener(name, listener);
    return socket;
  };
  const destroy = () => Object.assign(socket, { destroyed: true });
  const socket: object = { ...ends, on: listen, once: listen, destroyed: false, destroy };
  return socket as unknown as Socket;
}

const ownHost = "10.0.0.1";
const callerHost = "10.0.0.2";
const connectionOfCaller = () =>
  socketOf({ remoteAddress: callerHost, remotePort: (lastPort += 1) });

/** The box's own end of its connection to itself. */
function connectToSelf(scene: Scene): Socket {
  scene.ownPort = lastPort += 1;
  return socketOf({ localAddress: ownHost, localPort: scene.ownPort }, (name, listener) => {
    if (name === "connect") scene.reportConnected = listener;
  });
}

function accept(scene: Scene, socket: Socket): void {
  scene.monitor.connectionAccepted(socket);
  scene.arrivals.connectionAccepted(socket);
  scene.lastAccepted = socket;
}

function startIteration(scene: Scene, ms: number): void {
  scene.iteration += 1;
  scene.now += ms;
}

Given("a box at {int} ms", function (this: object, now: number) {
  const clock: Clock = {
    now: () => scene.now,
    elapsed: () => scene.now,
    wallTime: () => "",
    after: () => () => undefined,
  };
  const unreadSince = () => scene.blockedSince;
  const loopIterations = () => scene.iteration;
  const waits: number[] = [];
  const monitor = createAcceptQueueMonitor({
    clock,
    logger: { event: () => undefined },
    metrics: createMetrics(),
    loopIterations,
    loopIdleMs: () => scene.idleMs,
    unreadSince,
    connect: () => connectToSelf(scene),
    onWait: (waitMs) => void waits.push(waitMs),
  });
  const arrivals = createRequestArrivals({
    clock,
    unreadSince,
    connectionWaitingSince: monitor.waitingSince,
    loopIterations,
  });
  const scene: Scene = { now, iteration: 0, idleMs: 0, monitor, arrivals, waits };
  scenarioState(this).set("late reads", scene);
});

Given("its event loop was blocked since {int} ms", function (this: object, since: number) {
  sceneOf(this).blockedSince = since;
});

When("a connection is accepted", function (this: object) {
  accept(sceneOf(this), connectionOfCaller());
});

When("a connection is accepted in the next iteration", function (this: object) {
  startIteration(sceneOf(this), 0);
  accept(sceneOf(this), connectionOfCaller());
});

When(
  "connections are accepted in {int} consecutive iterations of {int} ms",
  function (this: object, count: number, iterationMs: number) {
    const scene = sceneOf(this);
    for (let index = 0; index < count; index++) {
      accept(scene, connectionOfCaller());
      startIteration(scene, iterationMs);
    }
  },
);

When(
  "{int} times connections are accepted in {int} consecutive iterations of {int} ms, with {int} ms for input in between",
  function (this: object, times: number, count: number, iterationMs: number, idleMs: number) {
    const scene = sceneOf(this);
    const ownPorts = new Set<number | undefined>();
    for (let time = 0; time < times; time++) {
      for (let index = 0; index < count; index++) {
        accept(scene, connectionOfCaller());
        startIteration(scene, iterationMs);
      }
      ownPorts.add(scene.ownPort);
      scene.reportConnected?.();
      accept(scene, socketOf({ remoteAddress: ownHost, remotePort: scene.ownPort }));
      scene.idleMs += idleMs;
      scene.now += idleMs;
    }
    scenarioState(this).set("own connections", ownPorts.size);
  },
);

When("the event loop waits for {int} ms for input", function (this: object, ms: number) {
  const scene = sceneOf(this);
  scene.idleMs += ms;
  scene.now += ms;
});

When(
  "the box's own connection is accepted {word} it is reported as connected",
  function (this: object, order: string) {
    const scene = sceneOf(this);
    if (order === "after") scene.reportConnected?.();
    accept(scene, socketOf({ remoteAddress: ownHost, remotePort: scene.ownPort }));
    if (order === "before") scene.reportConnected?.();
  },
);

When("a caller's connection from the same port number is accepted", function (this: object) {
  const scene = sceneOf(this);
  scene.reportConnected?.();
  accept(scene, socketOf({ remoteAddress: callerHost, remotePort: scene.ownPort }));
});

function readRequest(scene: Scene, socket: Socket): void {
  scene.countsFrom = scene.arrivals.arrivedAt(socket);
}

When("a request is read on a kept connection", function (this: object) {
  readRequest(sceneOf(this), connectionOfCaller());
});

function readFirstRequest(scene: Scene, iterations: number, ms: number): void {
  scene.blockedSince = undefined;
  scene.iteration += iterations;
  scene.now += ms;
  assert.ok(scene.lastAccepted);
  readRequest(scene, scene.lastAccepted);
}

When(
  "its first request is read in the next iteration, {int} ms later",
  function (this: object, ms: number) {
    readFirstRequest(sceneOf(this), 1, ms);
  },
);

When(
  "its first request is read {int} iterations and {int} ms later",
  function (this: object, iterations: number, ms: number) {
    readFirstRequest(sceneOf(this), iterations, ms);
  },
);

Then("the request counts from {int} ms", function (this: object, at: number) {
  assert.equal(sceneOf(this).countsFrom, at);
});

Then(
  "the last connection may have been waiting since {int} ms",
  function (this: object, at: number) {
    assert.equal(sceneOf(this).monitor.waitingSince(), at);
  },
);

Then("the box has connected to itself", function (this: object) {
  assert.ok(sceneOf(this).ownPort);
});

Then("a wait of {int} ms was measured", function (this: object, ms: number) {
  assert.equal(sceneOf(this).waits.at(-1), ms);
});

interface Iteration {
  readonly unreadInput: UnreadInput;
  readonly afterIteration: (() => void)[];
}
const iterationOf = (world: object) => scenarioState(world).get<Iteration>("iteration");

Given(
  "input is read in an iteration whose timers were due at {int} and {int} ms",
  function (this: object, first: number, second: number) {
    const afterIteration: (() => void)[] = [];
    const unreadInput = createUnreadInput((action) => void afterIteration.push(action));
    unreadInput.recordLateTimer(first);
    unreadInput.recordLateTimer(second);
    scenarioState(this).set("iteration", { unreadInput, afterIteration });
  },
);

Then("it may have been waiting since {int} ms", function (this: object, since: number) {
  assert.equal(iterationOf(this).unreadInput.since(), since);
});

Then("input of the next iteration has not been waiting", function (this: object) {
  const { unreadInput, afterIteration } = iterationOf(this);
  for (const action of afterIteration) action();
  assert.equal(unreadInput.since(), undefined);
});

Then("the caller's connection stays open", function (this: object) {
  assert.equal(sceneOf(this).lastAccepted?.destroyed, false);
});

Then(
  "the box connects to itself again after {int} connections in iterations of {int} ms, not before",
  function (this: object, count: number, iterationMs: number) {
    const scene = sceneOf(this);
    const { ownPort } = scene;
    // One has been accepted since the box's own one.
    for (let accepted = 2; accepted < count; accepted++) {
      startIteration(scene, iterationMs);
      accept(scene, connectionOfCaller());
    }
    assert.equal(scene.ownPort, ownPort);
    startIteration(scene, iterationMs);
    accept(scene, connectionOfCaller());
    assert.notEqual(scene.ownPort, ownPort);
  },
);

Then("the box has connected to itself at most {int} times", function (this: object, times: number) {
  const connections = scenarioState(this).get<number>("own connections");
  assert.ok(connections > 0 && connections <= times, `${connections} times`);
});
