import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { boundConnections, createReadTurns } from "./index.js";
import { followRequests } from "./request-frames.js";

interface Scene {
  readonly server: Server;
  readonly port: number;
  readonly clients: Socket[];
  /** Times that bytes were reported as malformed. */
  rejections: number;
  /** Path and body of the requests that were begun, in order. */
  readonly begun: { readonly path: string; readonly body: string }[];
}

const answerMs = 300;
const keepAliveTimeoutMs = 300;
const maxHeaderBytes = 16_384;
const closedWithinMs = 2_000;
const badRequest = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const sceneOf = (world: object) => scenarioState(world).get<Scene>("lone returns");
const scenes: Scene[] = [];

After({ name: "lone-returns" }, () => {
  for (const { server, clients } of scenes.splice(0)) {
    for (const client of clients) client.destroy();
    server.close();
    server.closeAllConnections();
  }
});

Given("a server that answers each request with its path and body", async function (this: object) {
  const server = createServer({ keepAliveTimeout: keepAliveTimeoutMs }, (message, response) => {
    const chunks: Buffer[] = [];
    message.on("data", (chunk: Buffer) => void chunks.push(chunk));
    message.once("end", () => {
      const body = Buffer.concat(chunks).toString("latin1");
      scene.begun.push({ path: message.url ?? "", body });
      setTimeout(() => response.end(), answerMs);
    });
  });
  boundConnections(server, {
    turns: createReadTurns(systemClock()),
    maxConnections: 100,
    maxHeaderBytes,
    onNotBegun: () => undefined,
    onClosed: () => undefined,
    onDefect: (defect) => assert.fail(String(defect)),
    onMalformed(_problem, socket) {
      scene.rejections += 1;
      socket.end(badRequest);
    },
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const scene: Scene = { server, port, clients: [], rejections: 0, begun: [] };
  scenes.push(scene);
  scenarioState(this).set("lone returns", scene);
});

const hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
const head = (path: string, lines = "") => `POST ${path} HTTP/1.1\r\nHost: x\r\n${lines}`;
const chunked = "Transfer-Encoding: chunked\r\n\r\n";
const withLoneReturn: Readonly<Record<string, string>> = {
  "a head without a body": `${head("/0")}\rX`,
  "a head with a length behind its end": `${head("/0")}\rContent-Length: ${hidden.length}\r\n\r\n`,
  "a head that asks to continue": `${head("/0", "Expect: 100-continue\r\n")}\rX`,
  "a head that expects something else": `${head("/0", "Expect: other\r\n")}\rX`,
  "a second head": `${head("/1", "Content-Length: 2\r\n\r\nok")}${head("/2")}\rX`,
  trailers: `${head("/1", chunked)}2\r\nok\r\n0\r\nX-Sum: 1\r\n\rX`,
  "a last chunk": `${head("/1", chunked)}2\r\nok\r\n0\r\n\rX`,
};

async function connectClient({ port, clients }: Scene): Promise<Socket> {
  const socket = connect({ port, host: "127.0.0.1", noDelay: true });
  socket.on("error", () => undefined);
  clients.push(socket);
  await once(socket, "connect");
  return socket;
}

/** Sends the text in packets as the step says; each is read by itself. */
async function sendInPackets(socket: Socket, text: string, packets: string): Promise<void> {
  const bytes = Buffer.from(text, "latin1");
  const size = Number(/\d+/.exec(packets)?.[0] ?? bytes.length);
  for (let start = 0; start < bytes.length && !socket.destroyed; start += size) {
    socket.write(bytes.subarray(start, start + size));
    if (size < bytes.length) await sleep(1);
  }
}

When(
  /^a client sends a hidden request behind (.*), (at once|in packets of \d+ bytes?)$/,
  async function (this: object, where: string, packets: string) {
    const socket = await connectClient(sceneOf(this));
    let received = "";
    socket.on("data", (bytes) => (received += bytes.toString("latin1")));
    const closed = once(socket, "close");
    await sendInPackets(socket, `${withLoneReturn[where]}${hidden}`, packets);
    const isClosed = await Promise.race([closed.then(() => true), sleep(closedWithinMs, false)]);
    scenarioState(this).set("received", received);
    scenarioState(this).set("closed", isClosed);
  },
);

Then(
  "the client gets the statuses {string} and its connection is closed",
  function (this: object, statuses: string) {
    const received = scenarioState(this).get<string>("received");
    const found = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
    assert.equal(found.join(" "), statuses);
    assert.equal(scenarioState(this).get<boolean>("closed"), true);
  },
);

Then("the requests for {string} were begun", function (this: object, paths: string) {
  assert.equal(
    sceneOf(this)
      .begun.map(({ path }) => path)
      .join(" "),
    paths,
  );
});

When(
  "a client sends a head that is none, and {int} requests behind it",
  async function (this: object, count: number) {
    const socket = await connectClient(sceneOf(this));
    socket.resume();
    const closed = once(socket, "close");
    socket.write(`${head("/0", "no header\r\n\r\n")}${hidden.repeat(count)}`);
    await Promise.race([closed, sleep(closedWithinMs)]);
  },
);

Then("its connection was rejected once, and no request was begun", function (this: object) {
  const { rejections, begun } = sceneOf(this);
  assert.deepEqual({ rejections, begun }, { rejections: 1, begun: [] });
});

When("a client sends a hidden request and goes on reading", async function (this: object) {
  const { port, clients } = sceneOf(this);
  const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  socket.on("error", () => undefined);
  clients.push(socket);
  await once(socket, "connect");
  socket.resume();
  socket.write(`${withLoneReturn["a head without a body"]}${hidden}`);
});

Then("its connection is closed by the server", async function (this: object) {
  const { server } = sceneOf(this);
  const count = () =>
    new Promise<number>((resolve) => server.getConnections((_, open) => resolve(open)));
  const until = performance.now() + closedWithinMs;
  while ((await count()) > 0 && performance.now() < until) await sleep(answerMs);
  assert.equal(await count(), 0);
});

const body = "\r\n\rX\n\r\n\r\r\n\ra\r\rGET / HTTP/1.1\r\nHost: x\r\n\rY\r\n\r\n0\r\n\rZ\n\r";

/** Requests with a length and in chunks, in turns; each ends with a beginning of what would be an empty line. */
function requestsWithBodies(count: number): string {
  const requests = Array.from({ length: count }, (_, index) => {
    if (index % 2 === 0)
      return `${head(`/${index}`, `Content-Length: ${body.length}\r\n\r\n`)}${body}`;
    const chunks = [...body].map((character) => `1\r\n${character}\r\n`).join("");
    return `${head(`/${index}`, chunked)}${chunks}0\r\nX-Sum: 1\r\n\r\n`;
  });
  return requests.join("");
}

When(
  /^a client sends (\d+) requests on one connection whose bodies have lone CRs in all places, (at once|in packets of \d+ bytes?)$/,
  async function (this: object, count: string, packets: string) {
    const scene = sceneOf(this);
    const socket = await connectClient(scene);
    socket.resume();
    await sendInPackets(socket, requestsWithBodies(Number(count)), packets);
    const until = performance.now() + closedWithinMs;
    while (scene.begun.length < Number(count) && performance.now() < until) await sleep(answerMs);
    scenarioState(this).set("count", Number(count));
  },
);

Then("each of them was begun with its body", function (this: object) {
  const count = scenarioState(this).get<number>("count");
  const expected = Array.from({ length: count }, (_, index) => ({ path: `/${index}`, body }));
  assert.deepEqual(sceneOf(this).begun, expected);
});

Then(
  "the slices of any requests in any reads end with their heads, and a byte behind a lone CR in a head ends one",
  () => {
    const content = fc.string({ unit: fc.constantFrom("\r", "\n", "a", "0"), maxLength: 30 });
    const request = fc.record({ body: content, isChunked: fc.boolean(), isHidden: fc.boolean() });
    const sizes = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 });
    fc.assert(
      fc.property(fc.array(request), sizes, sizes, (requests, readSizes, sliceSizes) => {
        const frames = followRequests();
        const expected: string[] = [];
        const found: string[] = [];
        let sent = "";
        const bodyHeaders = new Map<number, Record<string, string>>();
        for (const { body, isChunked, isHidden } of requests) {
          sent += "GET / HTTP/1.1\r\nA: b\r\n";
          if (isHidden) expected.push(`lone return ${(sent += "\rX").length}`);
          expected.push(`empty line ${(sent += isHidden ? "\r\n\r\n" : "\r\n").length}`);
          const header: Record<string, string> = isChunked
            ? { "transfer-encoding": "chunked" }
            : { "content-length": String(body.length) };
          bodyHeaders.set(sent.length, header);
          const size = body.length.toString(16);
          const chunk = body.length > 0 ? `${size};x=1\r\n${body}\r\n` : "";
          sent += isChunked ? `${chunk}0\r\nX-Sum: 1\r\n\r\n` : body;
        }
        const bytes = Buffer.from(sent);
        let passed = 0;
        for (let read = 0; passed < bytes.length; read++) {
          const start = passed;
          const part = bytes.subarray(start, start + readSizes[read % readSizes.length]);
          while (passed < start + part.length) {
            const from = passed - start;
            const to = Math.min(part.length, from + sliceSizes[passed % sliceSizes.length]);
            const end = frames.cut(part, from, to);
            assert.ok(end > from && end <= to);
            passed = start + end;
            if (frames.sliceEnd() !== "other") found.push(`${frames.sliceEnd()} ${passed}`);
            const headers = bodyHeaders.get(passed);
            if (headers) frames.beginBody({ headers } as unknown as IncomingMessage);
          }
        }
        assert.deepEqual(found, expected);
      }),
    );
  },
);

When(
  /^the bytes of a request with (\d+) bytes of lone CRs are cut into slices, (with a length|in one chunk)$/,
  function (this: object, size: string, framing: string) {
    const lone = "\n\rX".repeat(Number(size) / 3);
    const frames = followRequests();
    const isChunked = framing === "in one chunk";
    const chunk = `${lone.length.toString(16)}\r\n${lone}\r\n0\r\n\r\n`;
    const bytes = Buffer.from(`${head("/")}\r\n${isChunked ? chunk : lone}`);
    const headers = isChunked
      ? { "transfer-encoding": "chunked" }
      : { "content-length": String(lone.length) };
    let slices = 0;
    for (let from = 0; from < bytes.length; slices++) {
      from = frames.cut(bytes, from, bytes.length);
      if (frames.sliceEnd() === "empty line")
        frames.beginBody({ headers } as unknown as IncomingMessage);
    }
    scenarioState(this).set("slices", slices);
  },
);

Then("there are at most {int} slices", function (this: object, max: number) {
  assert.ok(scenarioState(this).get<number>("slices") <= max);
});
