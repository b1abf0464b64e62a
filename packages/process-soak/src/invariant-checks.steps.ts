import assert from "node:assert/strict";
import { connect, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { seededRandom } from "@linkfall/kernel";
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
  checkOneHolderPerEpoch,
  checkCompleteAnswers,
  drawFaults,
  type Finding,
  type Link,
  openLink,
  type Outcome,
  type RouteProbe,
} from "./index.js";

interface ScenarioState {
  readonly outcomes: Outcome[];
  readonly runs: TargetRun[];
  readonly orders: ReceivedOrder[];
  readonly probes: RouteProbe[];
}

const states = new WeakMap<object, ScenarioState>();

function stateOf(world: object): ScenarioState {
  const scene = states.get(world) ?? { outcomes: [], runs: [], orders: [], probes: [] };
  states.set(world, scene);
  return scene;
}

const answer = { sentAt: 0, endedAt: 1, status: 200, complete: true, matchesRequest: true, box: "b1" };

Given(
  /^a request "(.*)" that may (not )?be repeated, answered whole with 200$/,
  function (this: object, id: string, not: string | undefined) {
    stateOf(this).outcomes.push({ ...answer, id, repeatable: not === undefined });
  },
);

Given(
  "a request {string} that may be repeated, refused with {int}",
  function (this: object, id: string, status: number) {
    stateOf(this).outcomes.push({ ...answer, id, repeatable: true, status, matchesRequest: false });
  },
);

Given("a request {string} that got another's answer as whole", function (this: object, id: string) {
  stateOf(this).outcomes.push({ ...answer, id, repeatable: true, matchesRequest: false });
});

Given("{string} began at {string}", function (this: object, id: string, target: string) {
  stateOf(this).runs.push({ id, target, at: 0 });
});

Given(
  "{string} began at {string} with a header of {string}",
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
  "{string} began at {string} as a request of {string}, with a header of {string}",
  function (this: object, id: string, target: string, account: string, value: string) {
    stateOf(this).runs.push({ id, target, at: 0, account, headerValues: [value] });
  },
);

When(
  "{int} ms later {string} began at {string}",
  function (this: object, ms: number, id: string, target: string) {
    stateOf(this).runs.push({ id, target, at: ms });
  },
);

Given(
  "an order of {string} under epoch {int} at {string}",
  function (this: object, holder: string, epoch: number, engine: string) {
    stateOf(this).orders.push({ engine, holder, epoch, at: 0 });
  },
);

Given(
  /^a probe of "(.*)" in life (\d+) that (knows|does not know) version (\d+)$/,
  function (this: object, box: string, life: string, knows: string, version: string) {
    const { probes } = stateOf(this);
    const sentAt = probes.length * 10;
    const probe = { box, incarnation: Number(life), version: Number(version), hasVersion: knows === "knows" };
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
const checks: Readonly<Record<string, (scene: ScenarioState) => readonly Finding[]>> = {
  "at most once": ({ outcomes, runs: begun }) => checkAtMostOnce(outcomes, begun),
  "not run is true": ({ outcomes, runs: begun }) => checkRejectedNotRun(outcomes, begun),
  "whole and own answers": ({ outcomes }) => checkCompleteAnswers(outcomes),
  "callers do not steer targets": ({ runs: begun }) => checkNoForgedHeaders(begun, "forged"),
  "requests belong to accounts": ({ outcomes, runs: begun }) => checkAccountsOfRuns(outcomes, begun, ["key"]),
  "one order giver": ({ orders }) => checkOneHolderPerEpoch(orders),
  "a configuration does not revert": ({ probes }) => checkNoConfigurationRollback(probes, () => Infinity),
  "a leaving target gets nothing new": ({ runs: begun }) => checkDraining(begun, "p1", drainedAt),
  "every request is answered": ({ outcomes }) => checkAllAnswered(outcomes, "in calm"),
};

Then("the check of {string} is silent", function (this: object, check: string) {
  assert.deepEqual(checks[check](stateOf(this)), []);
});

Then("the check of {string} finds {string}", function (this: object, check: string, what: string) {
  const findings = checks[check](stateOf(this));
  assert.equal(findings.length, 1);
  assert.ok(findings[0].detail.includes(what), findings[0].detail);
});

Then(
  "{int} drawn faults of one seed are alike, end within the time, and overlap",
  (count: number) => {
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
  },
);

interface LinkState {
  readonly link: Link;
  readonly echo: Server;
  readonly caller: Socket;
  readonly received: string[];
}

const linkStates = new WeakMap<object, LinkState>();

function linkStateOf(world: object): LinkState {
  const scene = linkStates.get(world);
  assert.ok(scene);
  return scene;
}

const listenOnFreePort = (server: Server) =>
  new Promise<number>((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      resolve(typeof address === "object" && address ? address.port : 0);
    });
  });

Given("a link to an echo", async function (this: object) {
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
  const scene = linkStates.get(this);
  scene?.caller.destroy();
  scene?.link.close();
  scene?.echo.close();
});

/** Waits until the caller has received the text. */
async function waitUntilReceived({ caller, received }: LinkState, text: string): Promise<void> {
  while (!received.join("").includes(text)) {
    await new Promise((resolve) => caller.once("data", resolve));
  }
}

Then("bytes come back through it", async function (this: object) {
  const scene = linkStateOf(this);
  scene.caller.write("first");
  await waitUntilReceived(scene, "first");
});

When("the link is silent", function (this: object) {
  linkStateOf(this).link.setMode({ kind: "silent" });
});

Then("no bytes come back until it is open again", async function (this: object) {
  const scene = linkStateOf(this);
  scene.caller.write("second");
  // Whatever time passes here, nothing may come: the order of two events, not their time, is asserted.
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.ok(!scene.received.join("").includes("second"));
  scene.link.setMode({ kind: "open" });
  await waitUntilReceived(scene, "second");
});

When("the link is resetting", function (this: object) {
  linkStateOf(this).link.setMode({ kind: "resetting" });
});

Then("its connections are reset", async function (this: object) {
  const { caller } = linkStateOf(this);
  if (!caller.destroyed) await new Promise((resolve) => caller.once("close", resolve));
  assert.ok(caller.destroyed);
});

When("its caller ends the connection", function (this: object) {
  linkStateOf(this).caller.destroy();
});

Then("the connection to the echo ends as well", async function (this: object) {
  const { echo } = linkStateOf(this);
  const open = () =>
    new Promise<number>((resolve) => {
      echo.getConnections((_problem, count) => resolve(count));
    });
  while ((await open()) > 0) await new Promise((resolve) => setTimeout(resolve, 5));
});

When("the link is refusing", function (this: object) {
  linkStateOf(this).link.setMode({ kind: "refusing" });
});

const portOf = (address: string) => Number(address.slice(address.lastIndexOf(":") + 1));

When(
  "another process listens at its port until after the link is open again",
  async function (this: object) {
    const { link } = linkStateOf(this);
    const other = createServer();
    const port = portOf(link.address);
    await new Promise<void>((resolve) => other.listen(port, "127.0.0.1", resolve));
    link.setMode({ kind: "open" });
    await new Promise((resolve) => setTimeout(resolve, 50));
    await new Promise((resolve) => other.close(resolve));
  },
);

Then("connections through it are taken again", async function (this: object) {
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
  // The scenario's own limit ends a wait in vain.
  while (!(await connected())) await new Promise((resolve) => setTimeout(resolve, 20));
});
