import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, createVirtualClock, systemClock, type VirtualClock } from "@linkfall/kernel";
import type { CallerResponse } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { createHttpFront, type HttpFront } from "./http-front.js";

interface KeptConnection {
  readonly socket: Socket;
  received: string;
  readonly closed: Promise<unknown>;
}

interface ClosingFront {
  readonly front: HttpFront;
  readonly connections: readonly KeptConnection[];
  /** The time of the front; it stands still unless a step advances it. */
  readonly clock: VirtualClock;
  /** Lets the handled requests go on. */
  readonly release: () => void;
  closing?: Promise<number>;
}

const maxWaitMs = 3_000;
const settleMs = 100;
const closingState = "closing front";
const sceneOf = (world: object) => scenarioState(world).get<ClosingFront>(closingState);
const sleep = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));
const heads = { "/kept": "GET /kept", "/held": "GET /held", "/endless": "GET /endless" } as const;
const requestText = (path: keyof typeof heads) => `${heads[path]} HTTP/1.1\r\nHost: x\r\n\r\n`;
const unfinishedText = "POST /held HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf5";

const fronts: HttpFront[] = [];
const sockets: Socket[] = [];
After({ name: "closing-front" }, async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const front of fronts.splice(0)) await front.close();
});

async function openKeptConnection(address: string): Promise<KeptConnection> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  sockets.push(socket);
  socket.on("error", () => undefined);
  const connection = {
    socket,
    received: "",
    closed: new Promise((resolve) => socket.once("close", resolve)),
  };
  socket.on("data", (bytes: Buffer) => (connection.received += bytes.toString()));
  const answered = once(socket, "data");
  socket.write(requestText("/kept"));
  await answered;
  return connection;
}

Given(/^a front with (\d+) kept connections?$/, async function (this: object, count: string) {
  const virtual = createVirtualClock();
  const clock: Clock = { ...systemClock(), after: virtual.after };
  let release: () => void = () => undefined;
  const released = new Promise<void>((resolve) => (release = resolve));
  const okResponse: CallerResponse = { status: 200, headers: {}, body: Buffer.from("fine") };
  const front = createHttpFront({
    clock,
    address: "127.0.0.1:0",
    limits: { maxBodyBytes: 100, maxHeaderBytes: 1_000, bodyTimeoutMs: 60_000 },
    async handle({ path }) {
      if (path === "/held") await released;
      if (path === "/endless") await new Promise(() => undefined);
      return okResponse;
    },
    onDefect: (_path, problem) => assert.fail(String(problem)),
  });
  fronts.push(front);
  const address = (await front.listen()).unsafeCoerce();
  const connections = await Promise.all(
    Array.from({ length: Number(count) }, () => openKeptConnection(address)),
  );
  scenarioState(this).set(closingState, {
    front,
    connections,
    clock: virtual,
    release,
  } satisfies ClosingFront);
});

/** Time until the front has closed. */
async function close(scene: ClosingFront): Promise<number> {
  const startedAt = performance.now();
  await scene.front.close();
  return performance.now() - startedAt;
}

function blockEventLoop(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

When(
  "a request arrives on each of them while the event loop is blocked for {int} ms, and the front closes then",
  function (this: object, ms: number) {
    const scene = sceneOf(this);
    for (const { socket } of scene.connections) socket.write(requestText("/kept"));
    blockEventLoop(ms);
    scene.closing = close(scene);
  },
);

async function sendAndClose(world: object, text: string): Promise<void> {
  const scene = sceneOf(world);
  scene.connections[0].socket.write(text);
  await sleep(settleMs);
  scene.closing = close(scene);
  await sleep(settleMs);
}

When("a request is being handled while the front closes", async function (this: object) {
  await sendAndClose(this, requestText("/held"));
  sceneOf(this).release();
});

When(
  "{int} requests that were sent at once are being handled while the front closes",
  async function (this: object, count: number) {
    await sendAndClose(this, requestText("/held").repeat(count));
    sceneOf(this).release();
  },
);

const openRequests = {
  "a request that never ends": requestText("/endless"),
  "a request with half of its body": unfinishedText,
} as const;

When(
  /^(a request that never ends|a request with half of its body) is open while the front closes and (\d+) ms pass$/,
  async function (this: object, request: keyof typeof openRequests, ms: string) {
    await sendAndClose(this, openRequests[request]);
    const { clock } = sceneOf(this);
    await clock.runUntil(clock.now() + Number(ms));
  },
);

/** Waits until the connections have closed, or for a bounded time. */
async function whenClosed({ connections }: ClosingFront): Promise<void> {
  await Promise.race([sleep(maxWaitMs), Promise.all(connections.map(({ closed }) => closed))]);
}

const answersTo = ({ received }: KeptConnection): readonly string[] =>
  received.split(/(?=HTTP\/1\.1 )/).filter((answer) => answer !== "");

Then("each of the {int} callers has a second answer", async function (this: object, count: number) {
  const scene = sceneOf(this);
  await whenClosed(scene);
  const answers = scene.connections.map((connection) => answersTo(connection).length);
  assert.deepEqual(answers, Array(count).fill(2));
});

const closes = (answer: string | undefined) => /^connection: close$/im.test(answer ?? "");

Then(
  "the caller is told that the connection closes, and the front has closed within {int} ms",
  async function (this: object, maxMs: number) {
    const scene = sceneOf(this);
    await whenClosed(scene);
    const answers = answersTo(scene.connections[0]);
    assert.equal(answers.length, 2);
    assert.ok(closes(answers[1]), answers[1]);
    const closedAfterMs = await Promise.race([scene.closing, sleep(maxWaitMs)]);
    assert.ok((closedAfterMs ?? Infinity) <= maxMs, `${closedAfterMs} ms`);
  },
);

Then(
  "the caller has {int} answers, the last of which says that the connection closes",
  async function (this: object, count: number) {
    const scene = sceneOf(this);
    await whenClosed(scene);
    const answers = answersTo(scene.connections[0]);
    assert.deepEqual(answers.map(closes), [...Array(count - 1).fill(false), true]);
  },
);

Then(
  "the caller's second answer has status {int} and outcome {string}",
  async function (this: object, status: number, outcome: string) {
    const scene = sceneOf(this);
    await whenClosed(scene);
    const answer = answersTo(scene.connections[0])[1] ?? "no answer";
    assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
    assert.match(answer, new RegExp(`^linkfall-outcome: ${outcome}$`, "im"));
    const [, body] = answer.split("\r\n\r\n");
    assert.equal((JSON.parse(body) as { error: { outcome: string } }).error.outcome, outcome);
  },
);
