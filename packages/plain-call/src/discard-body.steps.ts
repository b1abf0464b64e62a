import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createHttpClient } from "@linkfall/http-client";
import { systemClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { discardBody } from "./discard-body.js";

interface Rejecting {
  readonly address: string;
  writtenBytes: number;
  readonly closed: Promise<"closed">;
}

const clock = systemClock();
const blockBytes = 65_536;
const byteIntervalMs = 10;
/** Time after which a body that is still being read counts as one that is read without end. */
const patienceMs = 3_000;
/** Longer than a connection takes to be closed. */
const closingMs = 200;
const block = Buffer.alloc(blockBytes, "x");
const servers: Server[] = [];
const sockets = new Set<Socket>();
const sleep = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

After({ name: "discard-body" }, () => {
  for (const socket of sockets) socket.destroy();
  sockets.clear();
  for (const server of servers.splice(0)) server.close();
});

type SendBody = (socket: Socket, count: (bytes: number) => void) => void;

const bodies: Readonly<Record<string, SendBody>> = {
  "never comes": () => undefined,
  "never ends": (socket, count) => {
    const writeMore = () => {
      if (socket.destroyed) return;
      count(blockBytes);
      if (socket.write(block)) setImmediate(writeMore);
      else socket.once("drain", writeMore);
    };
    writeMore();
  },
  "comes byte by byte": (socket, count) => {
    const timer = setInterval(() => {
      if (socket.destroyed) return clearInterval(timer);
      count(1);
      socket.write("x");
    }, byteIntervalMs);
  },
  "is short": (socket) => void socket.write("{}"),
};

Given(
  /^a server that says that it did not start a call, with a body that (.+)$/,
  async function (this: object, kind: string) {
    const length = kind === "is short" ? 2 : 1_000_000_000_000;
    let end: (value: "closed") => void = () => undefined;
    const closed = new Promise<"closed">((resolve) => (end = resolve));
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => end("closed"));
      socket.once("data", () => {
        socket.write(`HTTP/1.1 503 No\r\nX-Not-Started: true\r\nContent-Length: ${length}\r\n\r\n`);
        bodies[kind](socket, (bytes) => (rejecting.writtenBytes += bytes));
      });
      socket.resume();
    });
    servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const rejecting: Rejecting = { address: `127.0.0.1:${port}`, writtenBytes: 0, closed };
    scenarioState(this).set("rejecting", rejecting);
  },
);

When("the body is discarded", async function (this: object) {
  const { address } = scenarioState(this).get<Rejecting>("rejecting");
  const client = createHttpClient();
  const attempt = new AbortController();
  const sent = await client.send(
    {
      address,
      method: "GET",
      path: "/",
      headers: {},
      body: Buffer.alloc(0),
      freshConnection: false,
    },
    attempt.signal,
  );
  const startedAt = performance.now();
  const discarded = discardBody(clock, sent.unsafeCoerce(), () => attempt.abort());
  await Promise.race([discarded, sleep(patienceMs)]);
  scenarioState(this).set("ms", performance.now() - startedAt);
});

Then("that takes at most {int} ms", function (this: object, maxMs: number) {
  const ms = scenarioState(this).get<number>("ms");
  assert.ok(ms <= maxMs, `${ms} ms`);
});

Then(
  "the server's connection is closed after at most {int} bytes",
  async function (this: object, maxBytes: number) {
    const rejecting = scenarioState(this).get<Rejecting>("rejecting");
    assert.equal(await Promise.race([rejecting.closed, sleep(closingMs)]), "closed");
    assert.ok(rejecting.writtenBytes <= maxBytes, `${rejecting.writtenBytes} bytes`);
  },
);

Then("the server's connection stays open", async function (this: object) {
  const { closed } = scenarioState(this).get<Rejecting>("rejecting");
  assert.equal(await Promise.race([closed, sleep(closingMs)]), undefined);
});
