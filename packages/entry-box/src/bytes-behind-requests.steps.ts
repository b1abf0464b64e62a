import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { freeAddresses } from "@linkfall/stand-ins";
import { scenarioState } from "@linkfall/test-support";
import { boundForTest } from "./bound-for-test.steps.js";
import { createFront, type Front, respondLocally } from "./front.js";

interface Client {
  readonly socket: Socket;
  received: string;
  isClosed: boolean;
}

const fronts: Front[] = [];
const sockets: Socket[] = [];
const longTimeout = { timeout: 15_000 };
const maxWaitMs = 10_000;
/** Path of requests that are answered without delay. */
const promptPath = "/prompt";
const settlingMs = 200;
const pollMs = 20;
const bytesBehind: Readonly<Record<string, string>> = {
  "a part of a head": "GET /x HTTP/1.1\r\nHost:",
  "bytes that are none": "\u0001\u0002\u0003\r\n\r\n",
};
const sleep = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

After({ name: "bytes-behind-requests" }, async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const front of fronts.splice(0)) {
    await front.close();
    front.closeAll();
  }
});

Given(
  /^a front that answers after (\d+) ms and (?:rejects heads that take longer than (\d+) ms|(closes connections) behind their last answers)$/,
  async function (
    this: object,
    answerMs: string,
    headerTimeoutMs: string | null,
    closes: string | null,
  ) {
    const [address] = await freeAddresses(1);
    const clock = systemClock();
    const front = createFront({
      address,
      maxHeaderBytes: 16_384,
      clock,
      timeLimitMs: () => maxWaitMs,
      onBodyRejected: () => undefined,
      boundConnections: (server, onMalformed) => boundForTest(server, clock, onMalformed),
      onConnection: () => undefined,
      limits: () => ({
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000,
        headerTimeoutMs: Number(headerTimeoutMs ?? maxWaitMs),
        idleTimeoutMs: maxWaitMs,
      }),
      isClosing: () => closes !== null,
      async handle({ path, sink }) {
        if (path !== promptPath) await sleep(Number(answerMs));
        respondLocally(sink, 200);
      },
      onDefect: (_, defect) => assert.fail(String(defect)),
    });
    fronts.push(front);
    await front.listen();
    scenarioState(this).set("address", address);
    // The limits are in force from the first request on.
    const first = await sendAtOnce(this, ["GET /x HTTP/1.1\r\nHost: x\r\n\r\n"]);
    while (!first.received.includes("{}")) await sleep(pollMs);
  },
);

async function sendAtOnce(world: object, texts: readonly string[]): Promise<Client> {
  const [host, port] = scenarioState(world).get<string>("address").split(":");
  const socket = connect(Number(port), host);
  sockets.push(socket);
  const client: Client = { socket, received: "", isClosed: false };
  socket.on("error", () => undefined);
  socket.on("data", (bytes: Buffer) => (client.received += bytes.toString()));
  socket.once("close", () => (client.isClosed = true));
  socket.write(texts.join(""));
  return client;
}

const formatRequest = (paddingBytes = 0, path = "/x") =>
  `GET ${path} HTTP/1.1\r\nHost: x\r\nPadding: ${"p".repeat(paddingBytes)}\r\n\r\n`;

When(
  /^a client sends 1 request at once, and (.*) behind them$/,
  async function (this: object, behind: string) {
    const client = await sendAtOnce(this, [formatRequest(), bytesBehind[behind]]);
    scenarioState(this).set("client", client);
  },
);

When(
  /^a client sends (\d+) requests with (\d+) more bytes each at once(, all but the first for what is answered without delay)?$/,
  async function (this: object, count: string, bytes: string, prompt: string | null) {
    const texts = Array.from({ length: Number(count) }, (_, index) =>
      formatRequest(Number(bytes), prompt !== null && index > 0 ? promptPath : undefined),
    );
    scenarioState(this).set("client", await sendAtOnce(this, texts));
  },
);

Then(
  /^its answers have the statuses "([\d ]+)", and its connection is (still open|closed)$/,
  longTimeout,
  async function (this: object, statuses: string, state: string) {
    const client = scenarioState(this).get<Client>("client");
    const seen = () =>
      [...client.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
    const wanted = statuses.split(" ");
    const waitUntil = performance.now() + maxWaitMs;
    while (seen().length < wanted.length && !client.isClosed && performance.now() < waitUntil)
      await sleep(pollMs);
    await sleep(settlingMs);
    assert.deepEqual(seen(), wanted);
    assert.equal(client.isClosed, state === "closed");
  },
);
