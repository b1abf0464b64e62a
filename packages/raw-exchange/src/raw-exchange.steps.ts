import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { TargetUnreachable } from "@linkfall/errors";
import { systemClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { isListening, openExchange } from "./index.js";

type Outcome = { bytes: number } | { failure: TargetUnreachable };

/** The handle beneath a socket: its reset goes out at once, behind the bytes that were written. */
interface WithHandle {
  readonly _handle: { reset(done: () => void): number };
}

const withoutLength = "HTTP/1.1 200 OK\r\n\r\nhalf";

async function target(world: object, answer: (socket: Socket) => void): Promise<void> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  servers.push(server);
  scenarioState(world).set("port", (server.address() as AddressInfo).port);
}

const servers: Server[] = [];

After({ name: "raw-exchange" }, () => {
  for (const server of servers.splice(0)) server.close();
});

Given("a target that answers without a length and closes its connection", function (this: object) {
  return target(this, (socket) => socket.end(withoutLength));
});

Given(
  "a target that answers without a length and resets its connection at once",
  function (this: object) {
    return target(this, (socket) => {
      socket.write(withoutLength);
      (socket as unknown as WithHandle)._handle.reset(() => undefined);
    });
  },
);

Given(
  "a target that answers less than its length and closes its connection",
  function (this: object) {
    return target(this, (socket) => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"));
  },
);

Given("a target that answers twice on one connection", function (this: object) {
  const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  return target(this, (socket) => socket.end(answer + answer));
});

Given("a port where nobody listens", async function (this: object) {
  await target(this, () => undefined);
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
      connectMs: 5_000,
    };
    openExchange(systemClock(), request, {
      onHead: () => undefined,
      onBytes: (chunk) => void (bytes += chunk.length),
      onComplete: () => resolve({ bytes }),
      onFailure: (failure) => resolve({ failure }),
    });
  });
  scenarioState(this).set("outcome", outcome);
});

/** What a target that reads late has seen of its connection. */
interface LateReader {
  readonly socket: Socket;
  bytes: number;
  wasReset: boolean;
}

Given("a target that reads nothing until it is told to", async function (this: object) {
  const server = createServer({ pauseOnConnect: true }, (socket) => {
    const reader: LateReader = { socket, bytes: 0, wasReset: false };
    socket.on("data", (chunk) => void (reader.bytes += chunk.length)).pause();
    socket.on("error", () => void (reader.wasReset = true));
    // A reset behind bytes that are still unread is shown as a plain end, of a connection without a peer.
    socket.on("end", () => void (reader.wasReset ||= socket.remoteAddress === undefined));
    scenarioState(this).set("reader", reader);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  servers.push(server);
  scenarioState(this).set("port", (server.address() as AddressInfo).port);
});

const megabyte = 1_048_576;
/** In which the system takes what it can of a request. */
const takenMs = 300;
const soon = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));
const silent = {
  onHead: () => undefined,
  onBytes: () => undefined,
  onWhole: () => undefined,
  onFailure: () => undefined,
};

When(
  "a request of {int} MB is sent there and given up on its way",
  async function (this: object, megabytes: number) {
    const exchange = openExchange(
      systemClock(),
      {
        address: `127.0.0.1:${scenarioState(this).get<number>("port")}`,
        method: "POST",
        path: "/",
        headers: ["Host", "example"],
        body: Buffer.alloc(megabytes * megabyte),
        connectTimeoutMs: 5_000,
      },
      silent,
    );
    await soon(takenMs);
    assert.ok(exchange.progress().unsentBytes > 0, "the system took the whole request");
    exchange.abort();
    await soon(takenMs);
  },
);

When("the target reads what has come", async function (this: object) {
  const { socket } = scenarioState(this).get<LateReader>("reader");
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.resume();
  await closed;
});

Then("the target sees that the connection was reset", function (this: object) {
  const { wasReset, bytes } = scenarioState(this).get<LateReader>("reader");
  assert.ok(wasReset, `an orderly end after ${bytes} bytes`);
});

const outcomeOf = (world: object) => scenarioState(world).get<Outcome>("outcome");

Then("the answer is whole with {int} bytes", function (this: object, bytes: number) {
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

When("the target ends", () => {
  for (const server of servers.splice(0)) server.close();
});

Then(/^the address (listens|refuses)$/, async function (this: object, expected: string) {
  const address = `127.0.0.1:${scenarioState(this).get<number>("port")}`;
  assert.equal(await isListening(systemClock(), address, 1_000), expected);
});
