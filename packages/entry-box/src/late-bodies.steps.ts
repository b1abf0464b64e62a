import assert from "node:assert/strict";
import { get } from "node:http";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { freeAddresses } from "@linkfall/stand-ins";
import { scenarioState } from "@linkfall/test-support";
import { createFront, type Front, respondLocally } from "./front.js";
import { boundForTest } from "./bound-for-test.steps.js";

interface Scene {
  readonly address: string;
  /** Reasons of rejections that were reported. */
  readonly reported: string[];
}

interface Seen {
  readonly status: number;
  readonly ms: number;
  readonly writtenBytes: number;
}

const fronts: Front[] = [];
const byteIntervalMs = 20;
const extensionBytes = 4_000;
const maxWaitMs = 4_000;
const sceneOf = (world: object) => scenarioState(world).get<Scene>("late bodies");

After({ name: "late-bodies" }, () => {
  for (const front of fronts.splice(0)) {
    front.close();
    front.closeAll();
  }
});

Given(
  "a front whose requests have to be answered within {int} ms",
  async function (this: object, timeLimitMs: number) {
    const [address] = await freeAddresses(1);
    const reported: string[] = [];
    const front = createFront({
      address,
      maxHeaderBytes: 16_384,
      clock: systemClock(),
      boundConnections: (server, onMalformed) => boundForTest(server, systemClock(), onMalformed),
      onConnection: () => undefined,
      limits: () => undefined,
      isClosing: () => false,
      timeLimitMs: () => timeLimitMs,
      handle: async ({ sink }) => respondLocally(sink, 200),
      onBodyRejected: (_path, _status, reason) => void reported.push(reason),
      onDefect: (_path, defect) => assert.fail(String(defect)),
    });
    fronts.push(front);
    await front.listen();
    scenarioState(this).set("late bodies", { address, reported } satisfies Scene);
  },
);

const sized = "Content-Length: 100\r\n\r\n";
const chunked = "Transfer-Encoding: chunked\r\n\r\n";

/** Writes the block as fast as the connection takes it, until it is closed. */
function writeWithoutEnd(socket: Socket, block: string): void {
  const writeMore = () => {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(writeMore);
    else socket.once("drain", writeMore);
  };
  writeMore();
}

/** What a caller writes after its head. */
const bodies: Readonly<Record<string, (socket: Socket) => void>> = {
  stalls: (socket) => void socket.write(`${sized}half`),
  "stalls inside a chunk": (socket) => void socket.write(`${chunked}a\r\nhalf`),
  "comes byte by byte"(socket) {
    socket.write(sized);
    const timer = setInterval(() => socket.write("x"), byteIntervalMs);
    socket.once("close", () => clearInterval(timer));
  },
  "ends after 250 ms"(socket) {
    socket.write(`${chunked}1\r\nx\r\n`);
    setTimeout(() => socket.write("0\r\n\r\n"), 250);
  },
};

/** Sends a request and resolves when its connection is closed, or with status 0 if that takes too long. */
function sendRequest(address: string, writeBody: (socket: Socket) => void): Promise<Seen> {
  const [host, port] = address.split(":");
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let response = "";
    const socket = connect(Number(port), host, () => {
      socket.write("POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n");
      writeBody(socket);
    });
    const timer = setTimeout(() => socket.destroy(), maxWaitMs);
    socket.on("data", (bytes) => (response += bytes.toString()));
    socket.on("error", () => undefined);
    socket.once("close", () => {
      clearTimeout(timer);
      const ms = performance.now() - startedAt;
      const status = ms < maxWaitMs ? Number(response.split(" ")[1] ?? 0) : 0;
      resolve({ status, ms, writtenBytes: socket.bytesWritten - socket.writableLength });
    });
  });
}

When(/^a caller sends a request whose body (.*)$/, async function (this: object, comes: string) {
  scenarioState(this).set("seen", await sendRequest(sceneOf(this).address, bodies[comes]));
});

When(
  "a caller sends a request whose chunks have extensions without end",
  async function (this: object) {
    const block = `1;a=${"b".repeat(extensionBytes)}\r\nx\r\n`.repeat(16);
    const writeBody = (socket: Socket) => {
      socket.write(chunked);
      writeWithoutEnd(socket, block);
    };
    scenarioState(this).set("seen", await sendRequest(sceneOf(this).address, writeBody));
  },
);

Then(
  "that caller gets status {int} after {int} to {int} ms, and its connection is closed",
  function (this: object, expected: number, minMs: number, maxMs: number) {
    const { status, ms } = scenarioState(this).get<Seen>("seen");
    assert.equal(status, expected);
    assert.ok(ms >= minMs && ms <= maxMs, `${ms.toFixed(0)} ms`);
  },
);

Then("the rejection is reported", function (this: object) {
  assert.equal(sceneOf(this).reported.length, 1);
});

Then("at most {int} bytes were taken from that caller", function (this: object, maxBytes: number) {
  const { writtenBytes } = scenarioState(this).get<Seen>("seen");
  assert.ok(writtenBytes <= maxBytes, `${writtenBytes} bytes`);
});

Then("a further caller gets status {int}", async function (this: object, expected: number) {
  const status = await new Promise<number | undefined>((resolve, reject) => {
    get(`http://${sceneOf(this).address}/`, { agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode);
    }).once("error", reject);
  });
  assert.equal(status, expected);
});
