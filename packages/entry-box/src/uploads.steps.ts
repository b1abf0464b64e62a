import assert from "node:assert/strict";
import { once } from "node:events";
import { get } from "node:http";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { freeAddresses } from "@linkfall/stand-ins";
import { scenarioState } from "@linkfall/test-support";
import { createFront, type Front } from "./front.js";
import { boundForTest } from "./bound-for-test.steps.js";

interface UploadScene {
  readonly address: string;
  readonly uploads: Socket[];
  heapGrowthBytes: number;
  readonly otherMs: number[];
}

const maxBodyBytes = 4_194_304;
/** Chunks that a caller writes at a time. */
const chunksPerWrite = 4_000;
const timeLimitMs = 10_000;
const fronts: Front[] = [];
const sockets: Socket[] = [];
const sceneOf = (world: object) => scenarioState(world).get<UploadScene>("uploads");

After({ name: "uploads" }, () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const front of fronts.splice(0)) {
    front.close();
    front.closeAll();
  }
});

Given("a front that answers with the size of each body", async function (this: object) {
  const [address] = await freeAddresses(1);
  const front = createFront({
    address,
    maxHeaderBytes: 16_384,
    clock: systemClock(),
    timeLimitMs: () => timeLimitMs,
    onBodyRejected: () => undefined,
    boundConnections: (server, onMalformed) => boundForTest(server, systemClock(), onMalformed),
    onConnection: () => undefined,
    limits: () => ({
      maxHeaderBytes: 16_384,
      maxBodyBytes,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 15_000,
    }),
    isClosing: () => false,
    async handle({ body, sink }) {
      sink.send(200, [], Buffer.from(String(body.length)));
    },
    onDefect: (_, defect) => assert.fail(String(defect)),
  });
  fronts.push(front);
  await front.listen();
  const scene: UploadScene = { address, uploads: [], heapGrowthBytes: 0, otherMs: [] };
  scenarioState(this).set("uploads", scene);
});

const [hostPart, portPart] = [0, 1];

/** Sends all of a body but its last chunk; resolves when the connection has taken the bytes. */
async function sendBody(address: string, size: number, chunkBytes: number): Promise<Socket> {
  const parts = address.split(":");
  const socket = connect(Number(parts[portPart]), parts[hostPart]);
  sockets.push(socket);
  socket.on("error", () => undefined);
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  socket.write(`POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n`);
  const block = Buffer.from(chunk.repeat(chunksPerWrite));
  for (let chunks = size / chunkBytes; chunks > 0; chunks -= chunksPerWrite) {
    const bytes = block.subarray(0, chunk.length * Math.min(chunks, chunksPerWrite));
    if (!socket.write(bytes)) await once(socket, "drain");
  }
  return socket;
}

function getMs(address: string): Promise<number> {
  const startedAt = performance.now();
  return new Promise((resolve, reject) => {
    get(`http://${address}/`, { agent: false }, (response) => {
      response.resume();
      response.once("end", () => resolve(performance.now() - startedAt));
    }).once("error", reject);
  });
}

/** Time in which the front has read what its connections have taken. */
const settlingMs = 1_000;

When(
  "{int} callers send {int} bytes each in chunks of {int} bytes, and do not end them yet",
  async function (this: object, callers: number, size: number, chunkBytes: number) {
    const scene = sceneOf(this);
    const { address } = scene;
    const heapBytes = process.memoryUsage().heapUsed;
    let isOver = false;
    const uploads = Promise.all(
      Array.from({ length: callers }, () => sendBody(address, size, chunkBytes)),
    );
    const settled = uploads
      .then(() => new Promise((resolve) => setTimeout(resolve, settlingMs)))
      .finally(() => (isOver = true));
    while (!isOver) scene.otherMs.push(await getMs(address));
    await settled;
    scene.uploads.push(...(await uploads));
    scene.heapGrowthBytes = process.memoryUsage().heapUsed - heapBytes;
  },
);

Then("the heap has grown by at most {int} bytes", function (this: object, maxBytes: number) {
  const { heapGrowthBytes } = sceneOf(this);
  assert.ok(heapGrowthBytes <= maxBytes, `${heapGrowthBytes} bytes`);
});

Then(
  "a caller beside them got each of its responses within {int} ms",
  function (this: object, maxMs: number) {
    const { otherMs } = sceneOf(this);
    const slowestMs = Math.max(...otherMs);
    assert.ok(slowestMs <= maxMs, `${slowestMs.toFixed(0)} ms, of ${otherMs.length} requests`);
  },
);

When("the 6 callers end their bodies", async function (this: object) {
  const answers = sceneOf(this).uploads.map(async (socket) => {
    const answered = once(socket, "data");
    socket.write("0\r\n\r\n");
    const [bytes] = (await answered) as [Buffer];
    return bytes.toString().split("\r\n\r\n")[1];
  });
  scenarioState(this).set("sizes", await Promise.all(answers));
});

Then("each of them gets the size {int}", function (this: object, size: number) {
  for (const seen of scenarioState(this).get<string[]>("sizes")) assert.equal(seen, String(size));
});
