import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { freeAddresses } from "@linkfall/stand-ins";
import { scenarioState } from "@linkfall/test-support";
import { boundForTest } from "./bound-for-test.steps.js";
import { createFront, type Front, type FrontOptions, respondLocally } from "./front.js";

interface KeptConnection {
  readonly socket: Socket;
  received: string;
  readonly closed: Promise<unknown>;
}

interface ClosingFront {
  readonly address: string;
  readonly front: Front;
  connections: readonly KeptConnection[];
}

const fronts: Front[] = [];
const sockets: Socket[] = [];
const okResponse = "HTTP/1.1 200 ";
const maxWaitMs = 2_000;
const sceneOf = (world: object) => scenarioState(world).get<ClosingFront>("closing front");

After({ name: "front-close" }, async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const front of fronts.splice(0)) {
    await front.close();
    front.closeAll();
  }
});

const sendRequest = (socket: Socket) => socket.write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");

async function openConnection(address: string): Promise<KeptConnection> {
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
  await once(socket, "connect");
  return connection;
}

async function openKeptConnection(address: string): Promise<KeptConnection> {
  const connection = await openConnection(address);
  const answered = once(connection.socket, "data");
  sendRequest(connection.socket);
  await answered;
  return connection;
}

async function startFront(
  isClosing: () => boolean,
  handle: FrontOptions["handle"],
): Promise<{ readonly front: Front; readonly address: string }> {
  const [address] = await freeAddresses(1);
  const clock = systemClock();
  const front = createFront({
    address,
    maxHeaderBytes: 16_384,
    clock,
    timeLimitMs: () => undefined,
    onBodyRejected: () => undefined,
    boundConnections: (server, onMalformed) => boundForTest(server, clock, onMalformed),
    onConnection: () => undefined,
    limits: () => undefined,
    isClosing,
    handle,
    onDefect: (_, defect) => assert.fail(String(defect)),
  });
  fronts.push(front);
  await front.listen();
  return { front, address };
}

Given(
  "a front that is about to stop listening, with {int} kept connections",
  async function (this: object, count: number) {
    let isClosing = false;
    const { front, address } = await startFront(
      () => isClosing,
      async ({ sink }) => respondLocally(sink, 200),
    );
    const connections = await Promise.all(
      Array.from({ length: count }, () => openKeptConnection(address)),
    );
    isClosing = true;
    scenarioState(this).set("closing front", {
      address,
      front,
      connections,
    } satisfies ClosingFront);
  },
);

function blockEventLoop(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

When(
  "a request arrives on each of them while the event loop is blocked for {int} ms, and the front stops listening then",
  function (this: object, ms: number) {
    const { front, connections } = sceneOf(this);
    for (const { socket } of connections) sendRequest(socket);
    blockEventLoop(ms);
    void front.close();
  },
);

When(
  "{int} clients have connected and sent a request each, and the front stops listening then",
  async function (this: object, count: number) {
    const scene = sceneOf(this);
    // The kernel completes connections that the server has not accepted.
    scene.connections = await Promise.all(
      Array.from({ length: count }, () => openConnection(scene.address)),
    );
    for (const { socket } of scene.connections) sendRequest(socket);
    void scene.front.close();
  },
);

/** Number of answers on each connection, once all connections have closed. */
async function countAnswers(connections: readonly KeptConnection[]): Promise<readonly number[]> {
  const limit = new Promise((resolve) => setTimeout(resolve, maxWaitMs));
  await Promise.race([limit, Promise.all(connections.map(({ closed }) => closed))]);
  return connections.map(({ received }) => received.split(okResponse).length - 1);
}

Then("each of the {int} clients is answered", async function (this: object, count: number) {
  assert.deepEqual(await countAnswers(sceneOf(this).connections), Array(count).fill(1));
});

Then("each of the {int} requests is answered", async function (this: object, count: number) {
  // The first answer is the one to the request that opened the connection.
  assert.deepEqual(await countAnswers(sceneOf(this).connections), Array(count).fill(2));
});

Given(
  /^a front that has begun a response to a caller of HTTP\/1.0$/,
  async function (this: object) {
    const { front, address } = await startFront(
      () => true,
      ({ sink }) => {
        sink.writeHead(200, ["Content-Type", "text/plain"]);
        sink.write(Buffer.from("a part"));
        return new Promise(() => undefined);
      },
    );
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    sockets.push(socket);
    const ended = new Promise<string>((resolve) => {
      socket.once("end", () => resolve("ended"));
      socket.once("error", () => resolve("reset"));
    });
    socket.write("GET /x HTTP/1.0\r\nHost: x\r\n\r\n");
    await once(socket, "data");
    scenarioState(this).set("begun response", { front, ended });
  },
);

const begunResponseOf = (world: object) =>
  scenarioState(world).get<{ front: Front; ended: Promise<string> }>("begun response");

When("the front closes all connections", function (this: object) {
  begunResponseOf(this).front.closeAll();
});

Then("that caller's connection is reset", async function (this: object) {
  assert.equal(await begunResponseOf(this).ended, "reset");
});
