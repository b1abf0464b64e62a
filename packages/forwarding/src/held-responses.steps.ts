import assert from "node:assert/strict";
import { createServer, get, type IncomingMessage } from "node:http";
import {
  type AddressInfo,
  createServer as createTcpServer,
  type Server,
  type Socket,
} from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createHeldBytes, type HeldBytes } from "@linkfall/held-bytes";
import { seededRandom, systemClock } from "@linkfall/kernel";
import type { RequestCodec, ResponseMetadata } from "@linkfall/ports";
import { createExchangeOpener, tcpConnector } from "@linkfall/raw-exchange";
import { scenarioState } from "@linkfall/test-support";
import { type AttemptResult, sendAttempt } from "./attempt.js";
import { createResponseSink } from "./response-sink.js";

interface SlowCaller {
  received: number;
  complete: boolean;
  /** Whether the caller saw that the answer was broken off, or has not reached its end yet. */
  readonly closed: Promise<void>;
  readonly message: Promise<IncomingMessage | undefined>;
}

interface HeldBox {
  readonly held: HeldBytes;
  readonly port: number;
  readonly callers: SlowCaller[];
  readonly results: { readonly result: AttemptResult; readonly ms: number }[];
  readonly sentMs: number[];
  target: string;
  deadlineMs: number;
  maxHeldBytes: number;
  quick: { readonly ok: boolean; readonly ms: number }[];
  bodyFound?: boolean;
  endBody: () => void;
}

const clock = systemClock();
const servers: Server[] = [];
const sockets = new Set<Socket>();
const statusLine = "HTTP/1.1 200 OK\r\n";
const quickAnswer = `${statusLine}Content-Length: 2\r\n\r\nok`;
const samplingMs = 2;
const quickIntervalMs = 5;
const settlingMs = 300;
const blockBytes = 65_536;
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));
const boxOf = (world: object) => scenarioState(world).get<HeldBox>("heldBox");
const heldBytesOf = (held: HeldBytes) =>
  Object.values(held.summary().bytes).reduce((sum, kind) => sum + kind);

const facts: ResponseMetadata = {
  requestId: "r",
  isSigned: true,
  notRun: false,
  misdirected: false,
  retryAfter: { kind: "none" },
  limit: { kind: "none" },
  rejectionAllowance: { kind: "none" },
  leaving: false,
};
const connectionHeaders = ["connection", "transfer-encoding", "content-length", "keep-alive"];
const codec = {
  readResponse: () => facts,
  toCallerHeaders: (headers: readonly string[]) =>
    headers.filter(
      (_, index) => !connectionHeaders.includes(headers[index - (index % 2)].toLowerCase()),
    ),
} as unknown as RequestCodec;

After({ name: "held-responses" }, () => {
  for (const socket of sockets) socket.destroy();
  sockets.clear();
  for (const server of servers.splice(0)) server.close();
});

async function listen(server: Server): Promise<number> {
  server.on("connection", (socket: Socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => sockets.delete(socket));
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}

async function startTarget(respond: (socket: Socket) => void): Promise<string> {
  const port = await listen(
    createTcpServer((socket) => void socket.once("data", () => respond(socket))),
  );
  return `127.0.0.1:${port}`;
}

Given("a box with a bound of {int} held bytes", async function (this: object, maxBytes: number) {
  const held = createHeldBytes(clock, seededRandom(1), maxBytes);
  const openExchange = createExchangeOpener(clock, tcpConnector);
  const quickTarget = await startTarget((socket) => socket.end(quickAnswer));
  const server = createServer(async (message, response) => {
    const startedAt = performance.now();
    const isQuick = message.url === "/quick";
    const sink = createResponseSink(response, () => false, held);
    const result = await sendAttempt({
      clock,
      codec,
      openExchange,
      request: {
        address: isQuick ? quickTarget : box.target,
        method: "GET",
        path: "/",
        headers: ["Host", "example"],
        body: Buffer.alloc(0),
        connectTimeoutMs: 5_000,
      },
      requestId: "r",
      sink,
      streaming: false,
      position: {},
      deadlineAt: clock.now() + box.deadlineMs,
      onResponseHead: () => undefined,
      onCallerGone: () => undefined,
      onFirstEvent: () => undefined,
      onFirstBodyBytes: () => undefined,
      onStreamEnd: () => undefined,
      onStreamGap: () => undefined,
    });
    if (!isQuick) box.results.push({ result, ms: performance.now() - startedAt });
    if (result.kind === "answered")
      sink.send(result.head.status, codec.toCallerHeaders(result.head.headers), result.body);
    else if (result.kind === "streamed") sink.end();
    else sink.abort();
  });
  const box: HeldBox = {
    held,
    port: await listen(server),
    callers: [],
    results: [],
    sentMs: [],
    target: "",
    deadlineMs: 20_000,
    maxHeldBytes: 0,
    quick: [],
    endBody: () => undefined,
  };
  const timer = setInterval(() => {
    box.maxHeldBytes = Math.max(box.maxHeldBytes, heldBytesOf(held));
  }, samplingMs);
  server.once("close", () => clearInterval(timer));
  scenarioState(this).set("heldBox", box);
});

Given(
  /^a target whose answers have (\d+) bytes, framed by (length|chunked|close)$/,
  async function (this: object, bytes: string, framing: string) {
    const box = boxOf(this);
    const body = Buffer.alloc(Number(bytes), "x");
    const chunk = Buffer.concat([
      Buffer.from(`${body.length.toString(16)}\r\n`),
      body,
      Buffer.from("\r\n0\r\n\r\n"),
    ]);
    const answers: Readonly<Record<string, readonly [string, Buffer]>> = {
      length: [`${statusLine}Content-Length: ${body.length}\r\n\r\n`, body],
      chunked: [`${statusLine}Transfer-Encoding: chunked\r\n\r\n`, chunk],
      close: [`${statusLine}\r\n`, body],
    };
    const [head, rest] = answers[framing];
    box.target = await startTarget((socket) => {
      const startedAt = performance.now();
      socket.write(head);
      socket.end(rest, () => box.sentMs.push(performance.now() - startedAt));
    });
  },
);

Given(
  /^a target whose answers never end, (as fast as read|one byte at a time)$/,
  async function (this: object, rate: string) {
    const isFast = rate === "as fast as read";
    const block = Buffer.alloc(isFast ? blockBytes : 1, "x");
    boxOf(this).target = await startTarget((socket) => {
      socket.write(`${statusLine}\r\n`);
      const writeMore = () => {
        if (socket.destroyed) return;
        const accepted = socket.write(block);
        if (!isFast) setTimeout(writeMore, 1);
        else if (accepted) setImmediate(writeMore);
        else socket.once("drain", writeMore);
      };
      writeMore();
    });
  },
);

/** Asks for an answer and begins to read after the delay; never if it is infinite. */
function ask(port: number, delayMs: number): SlowCaller {
  const caller = { received: 0, complete: false } as {
    -readonly [Key in keyof SlowCaller]: SlowCaller[Key];
  };
  let handleMessage: (message: IncomingMessage | undefined) => void;
  caller.message = new Promise((resolve) => (handleMessage = resolve));
  caller.closed = new Promise((resolve) => {
    const sent = get({ port, host: "127.0.0.1", agent: false }, (message) => {
      message.on("data", (bytes: Buffer) => (caller.received += bytes.length)).pause();
      message.on("error", () => undefined);
      message.once("end", () => (caller.complete = message.complete));
      message.once("close", resolve);
      handleMessage(message);
      if (Number.isFinite(delayMs)) setTimeout(() => message.resume(), delayMs);
    });
    sent.on("error", () => {
      handleMessage(undefined);
      resolve();
    });
  });
  return caller;
}

function askMany(world: object, count: number, delayMs: number): void {
  const { callers, port } = boxOf(world);
  for (let index = 0; index < count; index++) callers.push(ask(port, delayMs));
}

When(
  /^(\d+) callers? asks? that starts? to read after (\d+) ms$/,
  function (this: object, count: string, delayMs: string) {
    askMany(this, Number(count), Number(delayMs));
  },
);

When("{int} callers ask that never read", function (this: object, count: number) {
  askMany(this, count, Infinity);
});

When(
  /^1 caller asks that (reads at once|never reads), with a deadline of (\d+) ms$/,
  function (this: object, reads: string, deadlineMs: string) {
    boxOf(this).deadlineMs = Number(deadlineMs);
    askMany(this, 1, reads === "never reads" ? Infinity : 0);
  },
);

When("{int} ms later bodies of {int} bytes arrive", async function (this: object, ms, bytes) {
  await sleep(ms as number);
  const box = boxOf(this);
  const body = box.held.holdBody();
  box.bodyFound = body.add(bytes as number);
  box.endBody = body.close;
});

When(
  "{int} requests for answers of 2 bytes are sent meanwhile",
  async function (this: object, count: number) {
    const box = boxOf(this);
    for (let index = 0; index < count; index++) {
      const startedAt = performance.now();
      const ok = await new Promise<boolean>((resolve) => {
        const options = { port: box.port, host: "127.0.0.1", path: "/quick", agent: false };
        const sent = get(options, (message) => {
          let received = 0;
          message.on("data", (bytes: Buffer) => (received += bytes.length));
          message.once("end", () => resolve(received === 2 && message.complete));
        });
        sent.on("error", () => resolve(false));
      });
      box.quick.push({ ok, ms: performance.now() - startedAt });
      await sleep(quickIntervalMs);
    }
  },
);

Then("the target had sent each answer within {int} ms", async function (this: object, maxMs) {
  const { callers, sentMs } = boxOf(this);
  await sleep(maxMs as number);
  assert.equal(sentMs.length, callers.length, "an answer has not been sent");
  console.log(`sent within ${Math.max(...sentMs).toFixed(0)} ms`);
  for (const ms of sentMs) assert.ok(ms <= (maxMs as number), `${ms} ms`);
});

Then("each caller receives {int} bytes, complete", async function (this: object, bytes: number) {
  const { callers } = boxOf(this);
  await Promise.all(callers.map(({ closed }) => closed));
  for (const { received, complete } of callers)
    assert.deepEqual({ received, complete }, { received: bytes, complete: true });
});

Then("these are all answered, each within {int} ms", function (this: object, maxMs: number) {
  const { quick } = boxOf(this);
  console.log(`others within ${Math.max(...quick.map(({ ms }) => ms)).toFixed(0)} ms`);
  for (const { ok, ms } of quick) {
    assert.ok(ok, "not answered");
    assert.ok(ms <= maxMs, `${ms} ms`);
  }
});

Then("the bodies found room", function (this: object) {
  assert.equal(boxOf(this).bodyFound, true);
});

Then(
  "some callers that never read have no complete answer, and see that",
  async function (this: object) {
    const { callers, held } = boxOf(this);
    const { endedResponses } = held.summary();
    console.log(`${endedResponses} responses ended`);
    assert.ok(endedResponses > 0, "no response was ended");
    const messages = await Promise.all(callers.map(({ message }) => message));
    for (const message of messages) message?.resume();
    await Promise.all(callers.map(({ closed }) => closed));
    const incomplete = callers.filter(({ complete }) => !complete);
    assert.equal(incomplete.length, endedResponses);
  },
);

Then(
  "no caller has a complete answer, and each exchange ended within {int} ms",
  async function (this: object, maxMs: number) {
    const { callers, results } = boxOf(this);
    while (results.length < callers.length) await sleep(samplingMs);
    for (const { result, ms } of results) {
      assert.equal(result.kind, "silent");
      assert.ok(ms <= maxMs, `${ms} ms`);
    }
    for (const { message } of callers) (await message)?.resume();
    await Promise.all(callers.map(({ closed }) => closed));
    for (const { complete } of callers) assert.equal(complete, false);
  },
);

Then(
  "at most {int} bytes were held, and none at the end",
  async function (this: object, maxBytes: number) {
    const box = boxOf(this);
    box.endBody();
    await sleep(settlingMs);
    console.log(`${box.maxHeldBytes} of ${maxBytes} bytes held`);
    assert.ok(box.maxHeldBytes <= maxBytes, `${box.maxHeldBytes} bytes`);
    assert.equal(heldBytesOf(box.held), 0);
  },
);
