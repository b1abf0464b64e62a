import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { TargetUnreachable } from "@linkfall/errors";
import { systemClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createExchangeOpener, isListening, tcpConnector } from "./index.js";

const openExchange = createExchangeOpener(systemClock(), tcpConnector);

type Outcome = { bytes: number } | { failure: TargetUnreachable };

/** Internal handle of a socket, whose reset is sent directly after the written bytes. */
interface SocketWithHandle {
  readonly _handle: { reset(done: () => void): number };
}

const responseWithoutLength = "HTTP/1.1 200 OK\r\n\r\nhalf";

async function startTarget(world: object, respond: (socket: Socket) => void): Promise<void> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  servers.push(server);
  scenarioState(world).set("port", (server.address() as AddressInfo).port);
}

const servers: Server[] = [];

After({ name: "raw-exchange" }, () => {
  for (const server of servers.splice(0)) server.close();
});

Given("a target that responds without a length and closes its connection", function (this: object) {
  return startTarget(this, (socket) => socket.end(responseWithoutLength));
});

Given(
  "a target that responds without a length and resets its connection at once",
  function (this: object) {
    return startTarget(this, (socket) => {
      socket.write(responseWithoutLength);
      (socket as unknown as SocketWithHandle)._handle.reset(() => undefined);
    });
  },
);

Given(
  "a target that responds with less than its length and closes its connection",
  function (this: object) {
    return startTarget(this, (socket) =>
      socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
    );
  },
);

Given("a target that responds twice on one connection", function (this: object) {
  const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  return startTarget(this, (socket) => socket.end(response + response));
});

Given("a port without a listener", async function (this: object) {
  await startTarget(this, () => undefined);
  await new Promise((resolve) => servers[0].close(resolve));
});

When("a request is sent there", async function (this: object) {
  const outcome = await new Promise<Outcome>((resolve) => {
    let bytes = 0;
    const request = {
      address: `127.0.0.1:${scenarioState(this).get<number>("port")}`,
      method: "GET",
      path: "/",
      headers: ["Host", "example"],
      body: Buffer.alloc(0),
      connectTimeoutMs: 5_000,
    };
    openExchange(request, {
      onHead: () => undefined,
      onBytes: (chunk) => void (bytes += chunk.length),
      onComplete: () => resolve({ bytes }),
      onFailure: (failure) => resolve({ failure }),
    });
  });
  scenarioState(this).set("outcome", outcome);
});

/** State of a target that delays reading. */
interface DelayedReader {
  readonly socket: Socket;
  bytes: number;
  wasReset: boolean;
}

Given("a target that delays reading", async function (this: object) {
  const server = createServer({ pauseOnConnect: true }, (socket) => {
    const reader: DelayedReader = { socket, bytes: 0, wasReset: false };
    socket.on("data", (chunk) => void (reader.bytes += chunk.length)).pause();
    socket.on("error", () => void (reader.wasReset = true));
    // A reset behind unread bytes is reported as a normal end of a socket without a peer.
    socket.on("end", () => void (reader.wasReset ||= socket.remoteAddress === undefined));
    scenarioState(this).set("reader", reader);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  servers.push(server);
  scenarioState(this).set("port", (server.address() as AddressInfo).port);
});

const megabyte = 1_048_576;
/** Time in which the socket buffers fill up. */
const bufferingMs = 300;
const delay = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));
const ignoreEvents = {
  onHead: () => undefined,
  onBytes: () => undefined,
  onComplete: () => undefined,
  onFailure: () => undefined,
};

When(
  "a request of {int} MB is sent there and aborted while it is being sent",
  async function (this: object, megabytes: number) {
    const exchange = openExchange(
      {
        address: `127.0.0.1:${scenarioState(this).get<number>("port")}`,
        method: "POST",
        path: "/",
        headers: ["Host", "example"],
        body: Buffer.alloc(megabytes * megabyte),
        connectTimeoutMs: 5_000,
      },
      ignoreEvents,
    );
    await delay(bufferingMs);
    assert.ok(exchange.progress().unsentBytes > 0, "the socket buffers took the whole request");
    exchange.abort();
    await delay(bufferingMs);
  },
);

When("the target reads the received bytes", async function (this: object) {
  const { socket } = scenarioState(this).get<DelayedReader>("reader");
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.resume();
  await closed;
});

Then("the target detects a connection reset", function (this: object) {
  const { wasReset, bytes } = scenarioState(this).get<DelayedReader>("reader");
  assert.ok(wasReset, `closed without a reset after ${bytes} bytes`);
});

const outcomeOf = (world: object) => scenarioState(world).get<Outcome>("outcome");

Then("the response is complete with {int} bytes", function (this: object, bytes: number) {
  assert.deepEqual(outcomeOf(this), { bytes });
});

function assertFailed(world: object, mayHaveArrived: boolean): void {
  const outcome = outcomeOf(world);
  assert.ok("failure" in outcome);
  assert.equal(outcome.failure.mayHaveArrived, mayHaveArrived);
}

Then("the exchange fails and the request may have arrived", function (this: object) {
  assertFailed(this, true);
});

Then("the exchange fails and the request has not arrived", function (this: object) {
  assertFailed(this, false);
});

When("the target stops", () => {
  for (const server of servers.splice(0)) server.close();
});

Then(/^the address (listens|refuses)$/, async function (this: object, expected: string) {
  const address = `127.0.0.1:${scenarioState(this).get<number>("port")}`;
  assert.equal(await isListening(systemClock(), address, 1_000), expected);
});
