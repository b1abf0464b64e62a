import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { boundConnections, createReadTurns } from "./index.js";

interface Scene {
  readonly server: Server;
  readonly port: number;
  readonly clients: Socket[];
  /** Number of requests that were reported as not begun. */
  notBegun: number;
  readonly closed: { readonly reason: string; readonly state: string }[];
  /** Paths of the requests that were begun, in order. */
  readonly begun: string[];
  open: number;
  maxOpen: number;
}

const maxHeaderBytes = 16_384;
/** Path of a request whose response closes the connection. */
const lastPath = "/last";
const settlingMs = 100;
const checkIntervalMs = 50;
const maxWaitMs = 5_000;
const sleep = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));
const sceneOf = (world: object) => scenarioState(world).get<Scene>("bounded server");
const scenes: Scene[] = [];

After({ name: "connection-bounds" }, () => {
  for (const { server, clients } of scenes.splice(0)) {
    for (const client of clients) client.destroy();
    server.close();
    server.closeAllConnections();
  }
});

Given(
  /^a server with at most (\d+) connections that (answers at once|reads bodies|answers after \d+ ms)$/,
  async function (this: object, max: string, behaviour: string) {
    const delayMs = Number(/\d+/.exec(behaviour)?.[0] ?? 0);
    const options = { connectionsCheckingInterval: checkIntervalMs };
    const server = createServer(options, (message, response) => {
      scene.begun.push(message.url ?? "");
      scene.open += 1;
      scene.maxOpen = Math.max(scene.maxOpen, scene.open);
      response.once("finish", () => (scene.open -= 1));
      const answer = () => {
        response.shouldKeepAlive = message.url !== lastPath;
        response.end(message.url);
      };
      if (behaviour === "reads bodies") message.resume().once("end", answer);
      else {
        message.resume();
        setTimeout(answer, delayMs);
      }
    });
    boundConnections(server, {
      turns: createReadTurns(systemClock()),
      maxConnections: Number(max),
      maxHeaderBytes,
      onNotBegun: (requests) => void (scene.notBegun += requests),
      onClosed: (reason, state) => void scene.closed.push({ reason, state }),
      onDefect: (defect) => assert.fail(String(defect)),
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number };
    const counts = { open: 0, maxOpen: 0, notBegun: 0 };
    const scene: Scene = { server, port, clients: [], closed: [], begun: [], ...counts };
    scenes.push(scene);
    scenarioState(this).set("bounded server", scene);
  },
);

async function connectClient({ port, clients }: Scene): Promise<Socket> {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  clients.push(socket);
  await once(socket, "connect");
  return socket;
}

const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`;

/** Resolves with the text that the client has received when `isComplete` holds or the connection is closed. */
function receive(socket: Socket, isComplete: (text: string) => boolean): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    const finish = () => {
      clearTimeout(timer);
      socket.off("data", onData);
      resolve(text);
    };
    const timer = setTimeout(finish, maxWaitMs);
    const onData = (bytes: Buffer) => {
      text += bytes.toString("latin1");
      if (isComplete(text)) finish();
    };
    socket.on("data", onData);
    socket.once("close", finish);
  });
}

const isAnswered = (text: string) => text.includes("\r\n\r\n");

async function request(socket: Socket, path: string): Promise<number> {
  socket.write(get(path));
  return Number((await receive(socket, isAnswered)).split(" ")[1] ?? 0);
}

When("{int} clients connect and send nothing", async function (this: object, count: number) {
  for (let index = 0; index < count; index++) await connectClient(sceneOf(this));
  await sleep(settlingMs);
});

When(
  "{int} clients send a request and keep their connections",
  async function (this: object, count: number) {
    const kept: Socket[] = [];
    for (let index = 0; index < count; index++) {
      const socket = await connectClient(sceneOf(this));
      assert.equal(await request(socket, "/first"), 200);
      kept.push(socket);
    }
    scenarioState(this).set("kept", kept);
  },
);

When("{int} clients send a request and wait", async function (this: object, count: number) {
  const statuses: Promise<number>[] = [];
  for (let index = 0; index < count; index++)
    statuses.push(request(await connectClient(sceneOf(this)), "/wait"));
  await sleep(settlingMs);
  scenarioState(this).set("statuses", statuses);
});

When(
  "{int} clients send a request whose body is not complete",
  async function (this: object, count: number) {
    for (let index = 0; index < count; index++) {
      const socket = await connectClient(sceneOf(this));
      socket.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
    }
    await sleep(settlingMs);
  },
);

Then("the server has {int} connections", async function (this: object, count: number) {
  const { server } = sceneOf(this);
  const open = await new Promise<number>((resolve) =>
    server.getConnections((_, connections) => resolve(connections)),
  );
  assert.equal(open, count);
});

Then(
  "{int} connections were closed because of {string} while {string}",
  function (this: object, count: number, reason: string, state: string) {
    const { closed } = sceneOf(this);
    assert.deepEqual(
      closed,
      Array.from({ length: count }, () => ({ reason, state })),
    );
  },
);

Then("a further client gets the response {int}", async function (this: object, status: number) {
  assert.equal(await request(await connectClient(sceneOf(this)), "/further"), status);
});

Then(
  "the {int} kept connections get a response to a further request",
  async function (this: object, count: number) {
    const kept = scenarioState(this).get<Socket[]>("kept");
    assert.equal(kept.length, count);
    for (const socket of kept) assert.equal(await request(socket, "/second"), 200);
  },
);

Then(
  "all {int} clients get the response {int}",
  async function (this: object, count: number, status: number) {
    const statuses = await Promise.all(scenarioState(this).get<Promise<number>[]>("statuses"));
    assert.deepEqual(
      statuses,
      Array.from({ length: count }, () => status),
    );
  },
);

async function sendAhead(world: object, count: number, makeRequest: (path: string) => string) {
  const socket = await connectClient(sceneOf(world));
  const requestPaths = Array.from({ length: count }, (_, index) => `/n${index + 1}.`);
  const received = receive(socket, (text) => text.includes(`/n${count}.`));
  socket.write(requestPaths.map(makeRequest).join(""));
  scenarioState(world).set("received", await received);
}

When("a client sends {int} requests at once", function (this: object, count: number) {
  return sendAhead(this, count, get);
});

When(
  "a client sends {int} requests with bodies of {int} bytes at once",
  function (this: object, count: number, bytes: number) {
    const makeRequest = (path: string) =>
      `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${bytes}\r\n\r\n${"x".repeat(bytes)}`;
    return sendAhead(this, count, makeRequest);
  },
);

Then(
  "the client gets {int} responses in the order of its requests",
  function (this: object, count: number) {
    const received = scenarioState(this).get<string>("received");
    const numbers = [...received.matchAll(/\/n(\d+)\./g)].map(([, number]) => Number(number));
    assert.deepEqual(
      numbers,
      Array.from({ length: count }, (_, index) => index + 1),
    );
    assert.equal(received.split("HTTP/1.1 200 ").length - 1, count);
  },
);

Then("at most {int} request was begun at a time", function (this: object, max: number) {
  assert.equal(sceneOf(this).maxOpen, max);
});

Given(
  "the server rejects heads that take longer than {int} ms",
  function (this: object, ms: number) {
    const { server } = sceneOf(this);
    server.headersTimeout = ms;
    server.on("clientError", (_problem, socket) =>
      socket.end("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
    );
  },
);

When(
  "a client sends a request {int} ms after it has connected",
  async function (this: object, waitMs: number) {
    const scene = sceneOf(this);
    const socket = connect({ port: scene.port, host: "127.0.0.1", allowHalfOpen: true });
    socket.on("error", () => undefined);
    scene.clients.push(socket);
    const received = receive(socket, isAnswered);
    await sleep(waitMs);
    socket.write(get("/late"));
    await sleep(settlingMs);
    scenarioState(this).set("received", await received);
  },
);

Then(
  "the client has got the response {int} and no request was begun",
  function (this: object, status: number) {
    const received = scenarioState(this).get<string>("received");
    assert.ok(received.startsWith(`HTTP/1.1 ${status} `), received);
    assert.deepEqual(sceneOf(this).begun, []);
  },
);

When(
  "a client asks for another protocol and sends {int} bytes",
  async function (this: object, bytes: number) {
    const socket = await connectClient(sceneOf(this));
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.resume();
    socket.write("GET / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n");
    await sleep(settlingMs);
    socket.write(Buffer.alloc(bytes));
    await Promise.race([closed, sleep(maxWaitMs)]);
  },
);

When(
  "a client sends requests for {string} and {string} at once",
  async function (this: object, first: string, second: string) {
    const socket = await connectClient(sceneOf(this));
    const received = receive(socket, () => false);
    socket.write(get(first) + get(second));
    scenarioState(this).set("received", await received);
  },
);

Then(
  "the client gets one response, to {string}, and its connection is closed",
  function (this: object, path: string) {
    const received = scenarioState(this).get<string>("received");
    assert.equal(received.split("HTTP/1.1 ").length - 1, 1);
    assert.ok(received.endsWith(path), received);
  },
);

Then(
  "{int} request was reported as not begun, and only {string} was begun",
  function (this: object, notBegun: number, path: string) {
    const scene = sceneOf(this);
    assert.equal(scene.notBegun, notBegun);
    assert.deepEqual(scene.begun, [path]);
  },
);
