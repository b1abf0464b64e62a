import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createHeldBytes, type HeldBytes } from "@linkfall/held-bytes";
import { seededRandom, systemClock } from "@linkfall/kernel";
import type { RequestCodec, ResponseMetadata } from "@linkfall/ports";
import { createExchangeOpener, tcpConnector } from "@linkfall/raw-exchange";
import { scenarioState } from "@linkfall/test-support";
import { type AttemptResult, sendAttempt } from "./attempt.js";
import type { ResponseSink } from "./response-sink.js";

interface Sound {
  readonly sent: Buffer;
  readonly received: Buffer;
  readonly result: AttemptResult;
}

const clock = systemClock();
const deadlineMs = 10_000;
const blockBytes = 65_536;
const steps = 20;
const eventStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const servers: Server[] = [];
const sockets = new Set<Socket>();

After({ name: "giving-way" }, () => {
  for (const socket of sockets) socket.destroy();
  sockets.clear();
  for (const server of servers.splice(0)) server.close();
});

const facts: ResponseMetadata = {
  requestId: "r",
  isSigned: true,
  notRun: false,
  misdirected: false,
  retryAfter: { kind: "none" },
  limit: { kind: "none" },
  leaving: false,
  rejectionAllowance: { kind: "none" },
};
const codec = {
  readResponse: () => facts,
  toCallerHeaders: (headers: readonly string[]) => headers,
} as unknown as RequestCodec;

async function startTarget(respond: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A caller that takes everything at once; `received` gets the parts. */
function createCountingSink(held: HeldBytes, received: Buffer[]): ResponseSink {
  let begun = false;
  const hold = held.holdResponse({ onRoom: () => undefined, onEnd: () => undefined });
  return {
    headersSent: () => begun,
    writeHead: () => void (begun = true),
    write(bytes) {
      received.push(bytes);
      return true;
    },
    onDrain: () => undefined,
    end: () => undefined,
    abort: () => undefined,
    send: () => undefined,
    isCallerGone: () => false,
    detach: () => undefined,
    onCallerGone: () => undefined,
    setUnforwarded: hold.setUnforwarded,
  };
}

function attempt(
  world: object,
  address: string,
  streaming: boolean,
  received: Buffer[] = [],
): Promise<AttemptResult> {
  return sendAttempt({
    clock,
    codec,
    openExchange: createExchangeOpener(clock, tcpConnector),
    request: {
      address,
      method: "GET",
      path: "/",
      headers: ["Host", "example"],
      body: Buffer.alloc(0),
      connectTimeoutMs: deadlineMs,
    },
    requestId: "r",
    sink: createCountingSink(scenarioState(world).get<HeldBytes>("held"), received),
    streaming,
    position: {},
    deadlineAt: clock.now() + deadlineMs,
    onResponseHead: () => undefined,
    onCallerGone: () => undefined,
    onFirstEvent: () => undefined,
    onFirstBodyBytes: () => undefined,
    onStreamEnd: () => undefined,
    onStreamGap: () => undefined,
  });
}

Given("a bound of {int} held bytes for the attempts", function (this: object, maxBytes: number) {
  scenarioState(this).set("held", createHeldBytes(clock, seededRandom(1), maxBytes));
});

When(
  "{int} attempts are made at a target that sends one event without end",
  async function (this: object, count: number) {
    const block = Buffer.from("data: token\n".repeat(Math.floor(blockBytes / 12)));
    const address = await startTarget((socket) => {
      const writeMore = () => {
        if (socket.destroyed) return;
        if (socket.write(block)) setImmediate(writeMore);
        else socket.once("drain", writeMore);
      };
      socket.write(eventStreamHead);
      writeMore();
    });
    let isOver = false;
    /** Repeats attempts, so that the target sends without end as long as the sound response arrives. */
    const repeat = async (): Promise<AttemptResult[]> => {
      const results: AttemptResult[] = [];
      do results.push(await attempt(this, address, true));
      while (!isOver);
      return results;
    };
    scenarioState(this).set("endFlood", () => (isOver = true));
    scenarioState(this).set(
      "flood",
      Array.from({ length: count }, () => repeat()),
    );
  },
);

When(
  /^an attempt on a (streaming|plain) route gets an? (event|answer) of (\d+) bytes in steps over (\d+) ms$/,
  async function (this: object, route: string, kind: string, bytes: string, overMs: string) {
    const sent = Buffer.from(`id: 1\ndata: ${"x".repeat(Number(bytes) - 14)}\n\n`);
    const head = kind === "event" ? eventStreamHead : eventStreamHead.replace("event-stream", "x");
    const address = await startTarget((socket) => {
      socket.write(head);
      const stepBytes = Math.ceil(sent.length / steps);
      let start = 0;
      const timer = setInterval(
        () => {
          socket.write(sent.subarray(start, start + stepBytes));
          start += stepBytes;
          if (start < sent.length) return;
          clearInterval(timer);
          socket.end();
        },
        Number(overMs) / steps,
      );
    });
    const parts: Buffer[] = [];
    const result = await attempt(this, address, route === "streaming", parts);
    scenarioState(this).get<() => void>("endFlood")();
    if (result.kind === "answered") parts.push(result.body);
    scenarioState(this).set("sound", { sent, received: Buffer.concat(parts), result });
  },
);

Then(/^the (?:event|answer) reached its caller whole$/, function (this: object) {
  const { sent, received, result } = scenarioState(this).get<Sound>("sound");
  assert.ok(result.kind === "streamed" || result.kind === "answered", JSON.stringify(result));
  assert.ok(received.equals(sent), `${received.length} of ${sent.length} bytes`);
});

Then("all attempts at the target without end are lost", async function (this: object) {
  const flood = scenarioState(this).get<Promise<AttemptResult[]>[]>("flood");
  const results = (await Promise.all(flood)).flat();
  console.log(`${results.length} attempts at the target without end`);
  assert.ok(results.length > flood.length, "the target was too slow");
  for (const { kind } of results) assert.equal(kind, "lost");
});

Then("nothing is held in the end", function (this: object) {
  const { bytes } = scenarioState(this).get<HeldBytes>("held").summary();
  assert.deepEqual(Object.values(bytes), [0, 0, 0]);
});
