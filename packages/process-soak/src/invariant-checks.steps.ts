import assert from "node:assert/strict";
import { connect, createServer, type Server, Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { seededRandom } from "@linkfall/kernel";
import { freeAddresses } from "@linkfall/stand-ins";
import {
  type ReceivedOrder,
  type TargetRun,
  checkAccountsOfRuns,
  checkAllAnswered,
  checkAtMostOnce,
  checkDraining,
  checkNoForgedHeaders,
  checkNoConfigurationRollback,
  checkRejectedNotRun,
  checkHoldersKeepLease,
  checkNoTurns,
  type LeaseRecord,
  checkOneHolderPerEpoch,
  checkCompleteAnswers,
  checkContinuousStreams,
  checkCutBoxesServe,
  drawFaults,
  type Finding,
  type Link,
  openLink,
  type Outcome,
  type RouteProbe,
  startUnansweringListener,
  type UnansweringListener,
} from "./index.js";

interface ScenarioState {
  readonly outcomes: Outcome[];
  readonly runs: TargetRun[];
  readonly orders: ReceivedOrder[];
  readonly leaseRecords: LeaseRecord[];
  readonly probes: RouteProbe[];
  readonly cutBoxes: Set<string>;
}

const states = new WeakMap<object, ScenarioState>();

function stateOf(world: object): ScenarioState {
  const state = states.get(world) ?? {
    outcomes: [],
    runs: [],
    orders: [],
    leaseRecords: [],
    probes: [],
    cutBoxes: new Set(),
  };
  states.set(world, state);
  return state;
}

const answer = {
  sentAt: 0,
  endedAt: 1,
  status: 200,
  complete: true,
  matchesRequest: true,
  box: "b1",
};

Given(
  /^a request "(.*)" that may (not )?be repeated, answered whole with 200$/,
  function (this: object, id: string, not: string | undefined) {
    stateOf(this).outcomes.push({ ...answer, id, repeatable: not === undefined });
  },
);

Given(
  "a request {string} that may be repeated, rejected with {int}",
  function (this: object, id: string, status: number) {
    stateOf(this).outcomes.push({ ...answer, id, repeatable: true, status, matchesRequest: false });
  },
);

Given(
  "a request {string} with a complete answer to another request",
  function (this: object, id: string) {
    stateOf(this).outcomes.push({ ...answer, id, repeatable: true, matchesRequest: false });
  },
);

Given(
  /^a stream "(.*)" that is broken off after (whole events|a part of an event)$/,
  function (this: object, id: string, end: string) {
    const isContinuous = end === "whole events";
    const brokenOff = { ...answer, complete: false, matchesRequest: false };
    stateOf(this).outcomes.push({ ...brokenOff, id, repeatable: true, isContinuous });
  },
);

Given(
  "{int} requests at {string} and {int} at {string}, of which {int} and {int} fail",
  function (
    this: object,
    firstCount: number,
    firstBox: string,
    secondCount: number,
    secondBox: string,
    firstFailures: number,
    secondFailures: number,
  ) {
    const { outcomes } = stateOf(this);
    const add = (box: string, count: number, failures: number) => {
      for (let index = 0; index < count; index++) {
        const status = index < failures ? 503 : 200;
        outcomes.push({ ...answer, id: `${box}-${index}`, repeatable: true, status, box });
      }
    };
    add(firstBox, firstCount, firstFailures);
    add(secondBox, secondCount, secondFailures);
  },
);

When(
  "the box {string} was cut off from all targets meanwhile",
  function (this: object, box: string) {
    stateOf(this).cutBoxes.add(box);
  },
);

Given("{string} started at {string}", function (this: object, id: string, target: string) {
  stateOf(this).runs.push({ id, target, at: 0 });
});

Given(
  "{string} started at {string} with the header value {string}",
  function (this: object, id: string, target: string, value: string) {
    stateOf(this).runs.push({ id, target, at: 0, headerValues: [value] });
  },
);

Given(
  "a request {string} of the account {string}",
  function (this: object, id: string, account: string) {
    stateOf(this).outcomes.push({ ...completeAnswer, id, account });
  },
);

Given("a request {string} with a key that nobody holds", function (this: object, id: string) {
  stateOf(this).outcomes.push({ ...completeAnswer, id });
});

Given(
  "{string} started at {string} with account {string} and the header value {string}",
  function (this: object, id: string, target: string, account: string, value: string) {
    stateOf(this).runs.push({ id, target, at: 0, account, headerValues: [value] });
  },
);

When(
  "{int} ms later {string} started at {string}",
  function (this: object, ms: number, id: string, target: string) {
    stateOf(this).runs.push({ id, target, at: ms });
  },
);

Given(
  "an order from {string} in epoch {int} at {string}",
  function (this: object, holder: string, epoch: number, engine: string) {
    stateOf(this).orders.push({ engine, holder, epoch, at: 0 });
  },
);

Given(
  "an order from {string} in epoch {int} at {string} after {int} ms",
  function (this: object, holder: string, epoch: number, engine: string, at: number) {
    stateOf(this).orders.push({ engine, holder, epoch, at });
  },
);

Given(
  "{string} claims the lease after {int} ms",
  function (this: object, holder: string, at: number) {
    stateOf(this).leaseRecords.push({ holder, at });
  },
);

Given("the lease is released after {int} ms", function (this: object, at: number) {
  stateOf(this).leaseRecords.push({ at });
});

/** Disturbs box b3 until shortly before the orders of the scenario. */
const contactRecord = { disruptions: [{ subject: "b3", from: -500, until: -100 }], contactMs: 500 };
const leaseMs = 3_000;

Given(
  /^a probe of "(.*)" in life (\d+) that (knows|does not know) version (\d+)$/,
  function (this: object, box: string, incarnation: string, knows: string, version: string) {
    const { probes } = stateOf(this);
    const sentAt = probes.length * 10;
    const probe = {
      box,
      incarnation: Number(incarnation),
      version: Number(version),
      hasVersion: knows === "knows",
    };
    probes.push({ ...probe, sentAt, endedAt: sentAt + 1 });
  },
);

const completeAnswer = {
  repeatable: true,
  sentAt: 0,
  endedAt: 1,
  status: 200,
  complete: true,
  matchesRequest: true,
  box: "b1",
} as const;
const drainedAt = 5;
const checks: Readonly<Record<string, (state: ScenarioState) => readonly Finding[]>> = {
  "at most once": ({ outcomes, runs }) => checkAtMostOnce(outcomes, runs),
  "not run is true": ({ outcomes, runs }) => checkRejectedNotRun(outcomes, runs),
  "whole and own answers": ({ outcomes }) => checkCompleteAnswers(outcomes),
  "one stream": ({ outcomes }) => checkContinuousStreams(outcomes),
  "callers do not steer targets": ({ runs }) => checkNoForgedHeaders(runs, "forged"),
  "requests belong to accounts": ({ outcomes, runs }) =>
    checkAccountsOfRuns(outcomes, runs, ["key"]),
  "one order giver": ({ orders }) => checkOneHolderPerEpoch(orders),
  "holders keep the lease": ({ leaseRecords }) =>
    checkHoldersKeepLease(leaseRecords, contactRecord),
  "no turns": ({ orders }) => checkNoTurns(orders, contactRecord, leaseMs),
  "a configuration does not revert": ({ probes }) =>
    checkNoConfigurationRollback(probes, () => Infinity),
  "a leaving target gets nothing new": ({ runs }) => checkDraining(runs, "p1", drainedAt),
  "cut boxes serve": ({ outcomes, cutBoxes }) =>
    checkCutBoxesServe(outcomes, { boxes: cutBoxes, from: 0, until: 1 }, "cut"),
  "every request is answered": ({ outcomes }) => checkAllAnswered(outcomes, "without faults"),
};

Then("the check {string} passes", function (this: object, check: string) {
  assert.deepEqual(checks[check](stateOf(this)), []);
});

Then("the check {string} reports {string}", function (this: object, check: string, what: string) {
  const findings = checks[check](stateOf(this));
  assert.equal(findings.length, 1);
  assert.ok(findings[0].detail.includes(what), findings[0].detail);
});

Then("{int} faults drawn from one seed are the same, end in time, and overlap", (count: number) => {
  const lengthMs = 5_000;
  const kinds = [
    { kind: "kill", subjects: ["b1", "b2"], mostMs: 1 },
    { kind: "silent", subjects: ["b1"], mostMs: 3_000 },
  ];
  const faults = drawFaults(seededRandom(7), kinds, count, lengthMs);
  assert.deepEqual(drawFaults(seededRandom(7), kinds, count, lengthMs), faults);
  const minDurationMs = 50;
  for (const fault of faults) assert.ok(fault.atMs + fault.forMs <= lengthMs + minDurationMs);
  const overlaps = faults.some(
    (fault, index) => index > 0 && faults[index - 1].atMs + faults[index - 1].forMs > fault.atMs,
  );
  assert.ok(overlaps);
});

interface LinkState {
  readonly link: Link;
  readonly echo: Server;
  readonly caller: Socket;
  readonly received: string[];
}

const linkStates = new WeakMap<object, LinkState>();

function linkStateOf(world: object): LinkState {
  const state = linkStates.get(world);
  assert.ok(state);
  return state;
}

const listenOnFreePort = (server: Server) =>
  new Promise<number>((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      resolve(typeof address === "object" && address ? address.port : 0);
    });
  });

Given("a link to an echo server", async function (this: object) {
  const echo = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.pipe(socket);
  });
  const port = await listenOnFreePort(echo);
  const free = createServer();
  const linkPort = await listenOnFreePort(free);
  await new Promise((resolve) => free.close(resolve));
  const link = await openLink(`127.0.0.1:${linkPort}`, `127.0.0.1:${port}`);
  const received: string[] = [];
  const caller = connect(linkPort, "127.0.0.1");
  caller.on("data", (bytes: Buffer) => received.push(bytes.toString()));
  caller.on("error", () => undefined);
  linkStates.set(this, { link, echo, caller, received });
});

After({ name: "link" }, function (this: object) {
  const state = linkStates.get(this);
  state?.caller.destroy();
  state?.link.close();
  state?.echo.close();
});

/** Resolves when the caller has received the text. */
async function waitUntilReceived({ caller, received }: LinkState, text: string): Promise<void> {
  while (!received.join("").includes(text)) {
    await new Promise((resolve) => caller.once("data", resolve));
  }
}

Then("the echo server answers through it", async function (this: object) {
  const state = linkStateOf(this);
  state.received.length = 0;
  state.caller.write("first");
  await waitUntilReceived(state, "first");
});

When("the link is silent", function (this: object) {
  linkStateOf(this).link.setMode({ kind: "silent" });
});

Then("nothing is received until the link is open again", async function (this: object) {
  const state = linkStateOf(this);
  state.caller.write("second");
  // The duration of the wait is irrelevant: nothing may be received before the link is open.
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.ok(!state.received.join("").includes("second"));
  state.link.setMode({ kind: "open" });
  await waitUntilReceived(state, "second");
});

When("the link is resetting", function (this: object) {
  linkStateOf(this).link.setMode({ kind: "resetting" });
});

Then("its connections are reset", async function (this: object) {
  const { caller } = linkStateOf(this);
  if (!caller.destroyed) await new Promise((resolve) => caller.once("close", resolve));
  assert.ok(caller.destroyed);
});

When("the caller closes its connection", function (this: object) {
  linkStateOf(this).caller.destroy();
});

Then("the connection to the echo server is closed as well", async function (this: object) {
  const { echo } = linkStateOf(this);
  const open = () =>
    new Promise<number>((resolve) => {
      echo.getConnections((_error, count) => resolve(count));
    });
  while ((await open()) > 0) await new Promise((resolve) => setTimeout(resolve, 5));
});

When("the link is refusing", function (this: object) {
  linkStateOf(this).link.setMode({ kind: "refusing" });
});

/** Internal handle of a socket, whose reset is sent directly behind the written bytes. */
interface SocketWithHandle {
  readonly _handle: { reset(done: () => void): number };
}

Given(
  "a link to a server that resets its connections behind {int} bytes",
  async function (this: object, bytes: number) {
    const echo = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write(Buffer.alloc(bytes));
        (socket as unknown as SocketWithHandle)._handle.reset(() => undefined);
      });
    });
    const port = await listenOnFreePort(echo);
    const [address] = await freeAddresses(1);
    const link = await openLink(address, `127.0.0.1:${port}`);
    linkStates.set(this, { link, echo, caller: new Socket(), received: [] });
  },
);

/** How a connection through the link ends for its caller. */
function endOf(link: Link): Promise<"reset" | "ended"> {
  return new Promise((resolve) => {
    const caller = connect(portOf(link.address), "127.0.0.1");
    caller.write("request");
    caller.resume();
    caller.once("error", () => resolve("reset"));
    caller.prependOnceListener("end", () =>
      resolve(caller.remoteAddress === undefined ? "reset" : "ended"),
    );
  });
}

Then(
  "{int} connections through it are reset, none is ended",
  async function (this: object, count: number) {
    const { link } = linkStateOf(this);
    const ends = await Promise.all(Array.from({ length: count }, () => endOf(link)));
    assert.deepEqual(new Set(ends), new Set(["reset"]));
  },
);

When("the link refuses new connections", function (this: object) {
  linkStateOf(this).link.setMode({ kind: "refusing_new" });
});

const listeners = new WeakMap<object, UnansweringListener>();

function listenerOf(world: object): UnansweringListener {
  const listener = listeners.get(world);
  assert.ok(listener);
  return listener;
}

When(
  "the link is hanging, and an unanswering listener holds its address",
  async function (this: object) {
    const { link } = linkStateOf(this);
    const listener = startUnansweringListener();
    listeners.set(this, listener);
    link.setMode({ kind: "hanging" });
    await listener.hold([link.address]);
  },
);

When(
  "the listener releases the address, and the link is open again",
  async function (this: object) {
    await listenerOf(this).release();
    linkStateOf(this).link.setMode({ kind: "open" });
  },
);

After({ name: "unanswering listener" }, async function (this: object) {
  await listeners.get(this)?.close();
});

/** Opens a connection to the link; resolves with what has become of it after at most `timeoutMs`. */
function connectionResult(world: object, timeoutMs: number): Promise<string> {
  const caller = connect(portOf(linkStateOf(world).link.address), "127.0.0.1");
  return new Promise<string>((resolve) => {
    caller.once("connect", () => resolve("established"));
    caller.once("error", (error: NodeJS.ErrnoException) => resolve(String(error.code)));
    setTimeout(() => resolve("nothing"), timeoutMs);
  }).finally(() => caller.destroy());
}

Then("a new connection to it is refused", async function (this: object) {
  assert.equal(await connectionResult(this, 1_000), "ECONNREFUSED");
});

Then("a new connection to it is neither established nor refused", async function (this: object) {
  // The connections that fill the kernel's queue may be a moment late.
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(await connectionResult(this, 300), "nothing");
});

const portOf = (address: string) => Number(address.slice(address.lastIndexOf(":") + 1));

When(
  "another process listens on its port until after the link is open again",
  async function (this: object) {
    const { link } = linkStateOf(this);
    const otherServer = createServer();
    const port = portOf(link.address);
    await new Promise<void>((resolve) => otherServer.listen(port, "127.0.0.1", resolve));
    link.setMode({ kind: "open" });
    await new Promise((resolve) => setTimeout(resolve, 50));
    await new Promise((resolve) => otherServer.close(resolve));
  },
);

Then("the link accepts connections again", async function (this: object) {
  const port = portOf(linkStateOf(this).link.address);
  const connected = () =>
    new Promise<boolean>((resolve) => {
      const caller = connect(port, "127.0.0.1");
      caller.once("connect", () => {
        caller.destroy();
        resolve(true);
      });
      caller.once("error", () => resolve(false));
    });
  // The timeout of the step ends the loop if the link never accepts connections.
  while (!(await connected())) await new Promise((resolve) => setTimeout(resolve, 20));
});
