import assert from "node:assert/strict";
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  type EndingFraming,
  type EndingKind,
  type EndingServer,
  scenarioState,
  startEndingServer,
} from "@linkfall/test-support";
import { createHttpClient, type HttpClient, readText } from "./index.js";

const content = Buffer.from(JSON.stringify({ held: [] }));
const servers: EndingServer[] = [];
const rawServers: Server[] = [];
const nothingBetween = () => new Promise<void>((resolve) => setImmediate(resolve));
const sleep = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));
const repeatedBytes = 16_384;
/** Beyond this the bytes count as read without end. */
const maxWrittenBytes = 20_000_000;
/** First bytes of the response, and what is repeated without end. */
const endlessAnswers: Readonly<Record<string, readonly [string, string]>> = {
  "empty lines before the head": ["", "\r\n"],
  "informational responses": ["", "HTTP/1.1 102 Processing\r\n\r\n"],
  "an extension of each chunk": [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    `1;${"b".repeat(4_000)}\r\nx\r\n`,
  ],
  "bytes behind its response": [
    `HTTP/1.1 200 OK\r\nContent-Length: ${content.length}\r\n\r\n${content.toString()}`,
    "z",
  ],
};

function writeWithoutEnd(socket: Socket, block: Buffer, count: (bytes: number) => void): void {
  let written = 0;
  const writeMore = () => {
    if (socket.destroyed || written > maxWrittenBytes) return;
    written += block.length;
    count(block.length);
    if (socket.write(block)) setImmediate(writeMore);
    else socket.once("drain", writeMore);
  };
  writeMore();
}

async function listen(server: Server): Promise<string> {
  rawServers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a server that sends the head and the content in response to each request. */
async function listenWithHead(head: string): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.write(`${head}${content.toString()}`));
  });
  return listen(server);
}

Given("a server that answers with status {string}", async function (this: object, status: string) {
  const head = `HTTP/1.1 ${status} x\r\nContent-Length: ${content.length}\r\n\r\n`;
  scenarioState(this).set("address", await listenWithHead(head));
});

Given(/^a server that answers with the head "(.*)"$/, async function (this: object, head: string) {
  const unescaped = head.replaceAll("\\r", "\r").replaceAll("\\n", "\n");
  scenarioState(this).set("address", await listenWithHead(unescaped));
});

Given(/^a server that sends (.+) without end$/, async function (this: object, kind: string) {
  const [first, repeated] = endlessAnswers[kind];
  const block = Buffer.from(repeated.repeat(Math.ceil(repeatedBytes / repeated.length)));
  const written: number[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      const index = written.push(0) - 1;
      socket.write(first);
      setImmediate(() => writeWithoutEnd(socket, block, (bytes) => (written[index] += bytes)));
    });
  });
  scenarioState(this).set("address", await listen(server));
  scenarioState(this).set("written", written);
});

Then(
  "the server has written at most {int} bytes for each",
  async function (this: object, maxBytes: number) {
    const settlingMs = 200;
    await new Promise((resolve) => setTimeout(resolve, settlingMs));
    const written = scenarioState(this).get<number[]>("written");
    for (const bytes of written) assert.ok(bytes <= maxBytes, `${bytes} bytes were written`);
  },
);

After({ name: "http-client" }, () => {
  for (const server of servers.splice(0)) server.close();
  for (const server of rawServers.splice(0)) server.close();
});

Given(
  /^a server that sends (all|4 bytes) of its content framed by (close|length|chunked), then "(.*)"$/,
  async function (this: object, part: string, framing: EndingFraming, kind: EndingKind) {
    const sent = part === "all" ? content : content.subarray(0, 4);
    const contentBytes = content.length;
    const server = await startEndingServer({ framing, kind, sent, contentBytes });
    servers.push(server);
    scenarioState(this).set("address", server.address);
  },
);

When(
  "the HTTP client reads its response {int} times",
  async function (this: object, count: number) {
    const address = scenarioState(this).get<string>("address");
    const client = createHttpClient();
    const outcomes: string[] = [];
    for (let index = 0; index < count; index++) {
      const request = {
        address,
        method: "GET",
        path: "/",
        headers: {},
        body: Buffer.alloc(0),
        freshConnection: false,
      };
      const sent = await client.send(request, new AbortController().signal);
      const text = await sent.caseOf({
        Left: async () => undefined,
        Right: async (response) => (await readText(response.body)).toMaybe().extract(),
      });
      outcomes.push(text === undefined ? "truncated" : "complete");
      if (text !== undefined) assert.equal(text, content.toString());
    }
    client.close();
    scenarioState(this).set("outcomes", outcomes);
  },
);

Then(/^each response is (complete|truncated)$/, function (this: object, expected: string) {
  const outcomes = scenarioState(this).get<string[]>("outcomes");
  assert.deepEqual(new Set(outcomes), new Set([expected]));
});

const wholeAnswer = `HTTP/1.1 200 OK\r\nContent-Length: ${content.length}\r\n\r\n${content.toString()}`;
const headPart = wholeAnswer.slice(0, 30);

const earlierAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
/** Time between two packets. */
const packetIntervalMs = 20;

function sendWithBeginning(socket: Socket, earlier: string): void {
  socket.write(`${earlier}${headPart}`);
  setTimeout(() => socket.write(wholeAnswer.slice(headPart.length)), packetIntervalMs);
}

/** Internal handle of a socket, whose reset is sent directly after the written bytes. */
interface SocketWithHandle {
  readonly _handle: { reset(done: () => void): number };
}

/** Bytes of the first answer, and how the server answers the second request. */
const secondAnswers: Readonly<Record<string, readonly [string, (socket: Socket) => void]>> = {
  "it ends inside its head": [wholeAnswer, (socket) => void socket.end(headPart)],
  "it is reset inside its head": [
    wholeAnswer,
    (socket) => {
      socket.write(headPart);
      (socket as unknown as SocketWithHandle)._handle.reset(() => undefined);
    },
  ],
  "it ends behind an informational head": [
    wholeAnswer,
    (socket) => void socket.end(`HTTP/1.1 103 Early Hints\r\n\r\n${headPart}`),
  ],
  "it is the rest of an answer that began behind the first": [
    `${wholeAnswer}${headPart}`,
    (socket) => void socket.end(wholeAnswer.slice(headPart.length)),
  ],
  "a whole earlier answer comes together with it": [
    wholeAnswer,
    (socket) => void socket.write(`${earlierAnswer}${wholeAnswer}`),
  ],
  "a whole earlier answer comes with the beginning of it": [
    wholeAnswer,
    (socket) => sendWithBeginning(socket, earlierAnswer),
  ],
  "an earlier answer in chunks comes with the beginning of it": [
    wholeAnswer,
    (socket) =>
      sendWithBeginning(
        socket,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstale\r\n0\r\n\r\n",
      ),
  ],
  "an earlier answer without a body comes with the beginning of it": [
    wholeAnswer,
    (socket) => sendWithBeginning(socket, "HTTP/1.1 204 No Content\r\n\r\n"),
  ],
};

const inChunks = (chunk: string, trailer = "") =>
  `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.length.toString(16)}\r\n${chunk}\r\n0\r\n${trailer}\r\n`;

const endAtLoneReturn = (answer: string) => `${answer.slice(0, -1)}X`;

/** What a server sends in response to each request, in packets. */
const soundAnswers: Readonly<Record<string, readonly string[]>> = {
  "with a length": [wholeAnswer],
  "in chunks": [inChunks(content.toString())],
  "in chunks with a trailer": [inChunks(content.toString(), "X-Sum: 1\r\n")],
  "in chunks that end with line ends": [inChunks(`${content.toString()}\r\n\r\n`)],
  "behind an informational one": [`HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${wholeAnswer}`],
  "in several packets": [headPart, wholeAnswer.slice(headPart.length, -1), wholeAnswer.slice(-1)],
  "with trailers that end at a lone CR": [
    endAtLoneReturn(inChunks(content.toString(), "X: 1\r\n")),
  ],
  "with no trailers that end at a lone CR": [endAtLoneReturn(inChunks(content.toString()))],
  "with status 204": ["HTTP/1.1 204 No Content\r\n\r\n"],
};

Given(
  /^a server that answers twice on a connection, where (.*)$/,
  async function (this: object, second: string) {
    const [first, answerSecond] = secondAnswers[second];
    const connections: Socket[] = [];
    const server = createServer((socket) => {
      connections.push(socket);
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.once("data", () => answerSecond(socket));
        socket.write(first);
      });
    });
    scenarioState(this).set("address", await listen(server));
    scenarioState(this).set("connections", connections);
    scenarioState(this).set("between requests", nothingBetween);
  },
);

async function listenAndRecord(
  world: object,
  answer: (socket: Socket) => Promise<void> | void,
): Promise<void> {
  const connections: Socket[] = [];
  const server = createServer((socket) => {
    connections.push(socket);
    socket.on("error", () => undefined);
    socket.on("data", () => void answer(socket));
  });
  scenarioState(world).set("address", await listen(server));
  scenarioState(world).set("connections", connections);
}

Given(
  /^a server that answers twice on a connection, and sends a whole earlier answer which (arrives between two requests|is not read yet when the next request is written)$/,
  async function (this: object, when: string) {
    await listenAndRecord(this, (socket) => void socket.write(wholeAnswer));
    scenarioState(this).set("between requests", async () => {
      const [first] = scenarioState(this).get<Socket[]>("connections");
      first.write(earlierAnswer);
      if (when === "arrives between two requests") await sleep(packetIntervalMs);
    });
  },
);

Given(
  /^a server that answers twice on a connection, ((?:with|in|behind) .*)$/,
  async function (this: object, framing: string) {
    await listenAndRecord(this, async (socket) => {
      for (const packet of soundAnswers[framing]) {
        socket.write(packet);
        await sleep(packetIntervalMs);
      }
    });
    scenarioState(this).set("between requests", nothingBetween);
  },
);

When("the HTTP client reads two responses", async function (this: object) {
  const address = scenarioState(this).get<string>("address");
  const between = scenarioState(this).get<() => Promise<void>>("between requests");
  const client = createHttpClient();
  const request = { address, method: "GET", path: "/", headers: {}, freshConnection: false };
  const outcomes: string[] = [];
  for (let index = 0; index < 2; index++) {
    const sent = await client.send(
      { ...request, body: Buffer.alloc(0) },
      new AbortController().signal,
    );
    outcomes.push(
      await sent.caseOf({
        Left: async () => "none",
        Right: async ({ body }) =>
          (await readText(body)).caseOf({ Left: () => "cut", Right: String }),
      }),
    );
    await between();
  }
  client.close();
  scenarioState(this).set("outcomes", outcomes);
});

Then(
  "both responses are complete, and the second has a connection of its own",
  function (this: object) {
    const whole = content.toString();
    assert.deepEqual(scenarioState(this).get<string[]>("outcomes"), [whole, whole]);
    assert.equal(scenarioState(this).get<Socket[]>("connections").length, 2);
  },
);

Then("both responses are complete on one connection", function (this: object) {
  const [first, second] = scenarioState(this).get<string[]>("outcomes");
  assert.notEqual(first, "none");
  assert.notEqual(first, "cut");
  assert.equal(second, first);
  assert.equal(scenarioState(this).get<Socket[]>("connections").length, 1);
});

Then("the first response is complete and the second is none", function (this: object) {
  assert.deepEqual(scenarioState(this).get<string[]>("outcomes"), [content.toString(), "none"]);
  assert.equal(scenarioState(this).get<Socket[]>("connections").length, 1);
});

Then(
  "a request to {string} with the path {string} and the header value {string} fails as not sent",
  async (address: string, path: string, value: string) => {
    const unescape = (text: string) => text.replaceAll("\\r\\n", "\r\n");
    const client = createHttpClient();
    const result = await client.send(
      {
        address,
        method: "GET",
        path: unescape(path),
        headers: { "x-value": unescape(value) },
        body: Buffer.alloc(0),
        freshConnection: false,
      },
      new AbortController().signal,
    );
    client.close();
    const failure = result.swap().toMaybe().extract();
    assert.equal(failure?.mayHaveArrived, false);
  },
);

interface PermissionScene {
  readonly address: string;
  received: number;
  failure: unknown;
}

const permissionSceneOf = (world: object) =>
  scenarioState(world).get<PermissionScene>("permission");

const closesNothing = new AbortController().signal;

async function sendIfPermitted(
  client: HttpClient,
  { address }: PermissionScene,
  isPermitted: () => boolean,
) {
  const request = { address, method: "POST", path: "/", headers: {}, freshConnection: false };
  const result = await client.send({ ...request, body: content }, closesNothing, isPermitted);
  await result.map(({ body }) => readText(body)).extract();
  return result;
}

Given("a server that counts requests", async function (this: object) {
  const server = createHttpServer((request, response) => {
    scene.received += 1;
    request.resume().once("end", () => response.end(content));
  });
  const scene: PermissionScene = { address: await listen(server), received: 0, failure: undefined };
  scenarioState(this).set("permission", scene);
});

When(
  /^the HTTP client sends a request on a (new|kept) connection that is no longer permitted once connected$/,
  async function (this: object, connection: string) {
    const scene = permissionSceneOf(this);
    const client = createHttpClient();
    if (connection === "kept") await sendIfPermitted(client, scene, () => true);
    scene.received = 0;
    let isPermitted = true;
    const sent = sendIfPermitted(client, scene, () => isPermitted);
    isPermitted = false;
    scene.failure = (await sent).swap().toMaybe().extract();
    client.close();
  },
);

Then("the request fails as not sent, and the server has received none", function (this: object) {
  const { failure, received } = permissionSceneOf(this);
  assert.deepEqual(failure, {
    kind: "target_unreachable",
    reason: "no longer permitted",
    mayHaveArrived: false,
  });
  assert.equal(received, 0);
});

Then("a request that is permitted gets its response", async function (this: object) {
  const client = createHttpClient();
  const result = await sendIfPermitted(client, permissionSceneOf(this), () => true);
  client.close();
  assert.ok(result.isRight());
});
