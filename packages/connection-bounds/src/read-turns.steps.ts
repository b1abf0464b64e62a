import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createReadTurns, type ReadTurns } from "./index.js";

/** A connection without a network: it emits what a test lets it receive. */
class FakeConnection extends EventEmitter {
  destroyed = false;
  paused = false;
  /** Whether the server has paused the connection. */
  isServerPaused = false;
  parsedBytes = 0;
  slices = 0;
  readonly defects: unknown[] = [];
  pause(): this {
    this.paused = true;
    return this;
  }
  resume(): this {
    this.paused = false;
    return this;
  }
}

interface Scene {
  readonly turns: ReadTurns;
  readonly connections: Map<string, FakeConnection>;
  readonly slowConnection: string;
  readonly sliceMs: number;
  /** What the clock shows. */
  readonly time: { nowMs: number };
}

const maxTurns = 10_000;
const sceneOf = (world: object) => scenarioState(world).get<Scene>("read turns");
const nextTurn = () => new Promise<void>((resolve) => setImmediate(resolve));

Given(
  "a parser that takes {int} ms for each slice of connection {string} and none for others",
  function (this: object, sliceMs: number, slowConnection: string) {
    const time = { nowMs: 0 };
    const turns = createReadTurns({ ...createVirtualClock(), now: () => time.nowMs });
    const scene: Scene = { turns, time, connections: new Map(), slowConnection, sliceMs };
    scenarioState(this).set("read turns", scene);
  },
);

function connectionOf(scene: Scene, name: string): FakeConnection {
  const known = scene.connections.get(name);
  if (known) return known;
  const connection = new FakeConnection();
  scene.connections.set(name, connection);
  const parse = (bytes: Buffer) => {
    if (connection.paused && connection.isServerPaused) throw new Error("bytes while paused");
    connection.parsedBytes += bytes.length;
    connection.slices += 1;
    if (name === scene.slowConnection) scene.time.nowMs += scene.sliceMs;
  };
  scene.turns.add(connection as unknown as Socket, parse, {
    onNoRoom: () => undefined,
    onDefect: (defect) => void connection.defects.push(defect),
  });
  return connection;
}

When(
  "connection {string} receives {int} bytes",
  function (this: object, name: string, bytes: number) {
    const connection = connectionOf(sceneOf(this), name);
    connection.emit("data", Buffer.alloc(bytes));
    scenarioState(this).set(`bytes of ${name}`, bytes);
  },
);

When(
  "{int} connections receive {int} bytes each",
  function (this: object, count: number, bytes: number) {
    for (let index = 0; index < count; index++)
      connectionOf(sceneOf(this), `large ${index}`).emit("data", Buffer.alloc(bytes));
  },
);

When("the server resumes connection {string}", function (this: object, name: string) {
  connectionOf(sceneOf(this), name).resume();
});

When("the server pauses connection {string}", function (this: object, name: string) {
  const connection = connectionOf(sceneOf(this), name);
  connection.isServerPaused = true;
  connection.pause();
});

Then(
  "nothing more of {string} is parsed until the server resumes it",
  async function (this: object, name: string) {
    const connection = connectionOf(sceneOf(this), name);
    const before = connection.slices;
    for (let turn = 0; turn < maxTurns / 100; turn++) await nextTurn();
    assert.equal(connection.slices, before);
    connection.isServerPaused = false;
    connection.resume();
  },
);

Then("no parser threw", function (this: object) {
  for (const { defects } of sceneOf(this).connections.values()) assert.deepEqual(defects, []);
});

When("all turns have passed", async () => {
  for (let turn = 0; turn < maxTurns / 10; turn++) await nextTurn();
});

Then(
  "less than {int} slices of {string} were parsed",
  function (this: object, max: number, name: string) {
    assert.ok(connectionOf(sceneOf(this), name).slices < max);
  },
);

const expectedBytes = (world: object, name: string) =>
  scenarioState(world).get<number>(`bytes of ${name}`);

Then("all bytes of {string} were parsed", function (this: object, name: string) {
  assert.equal(connectionOf(sceneOf(this), name).parsedBytes, expectedBytes(this, name));
});

Then(
  "at most {int} slices of {string} are parsed in each turn of the event loop, until all bytes are",
  async function (this: object, max: number, name: string) {
    const connection = connectionOf(sceneOf(this), name);
    for (let turn = 0; connection.parsedBytes < expectedBytes(this, name); turn++) {
      assert.ok(turn < maxTurns);
      const before = connection.slices;
      await nextTurn();
      assert.ok(connection.slices - before <= max, `${connection.slices - before} slices`);
    }
  },
);

Then("connection {string} is paused", function (this: object, name: string) {
  assert.ok(connectionOf(sceneOf(this), name).paused);
});

Then("connection {string} is read on", function (this: object, name: string) {
  assert.ok(!connectionOf(sceneOf(this), name).paused);
});

Then("{int} of these connections are paused", function (this: object, count: number) {
  const large = [...sceneOf(this).connections].filter(([name]) => name.startsWith("large"));
  assert.equal(large.filter(([, { paused }]) => paused).length, count);
});
