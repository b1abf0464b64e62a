import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import type { RequestCodec, ResponseMetadata } from "@linkfall/ports";
import { createExchangeOpener, tcpConnector } from "@linkfall/raw-exchange";
import { scenarioState } from "@linkfall/test-support";
import { type AttemptResult, sendAttempt } from "./attempt.js";
import type { ResponseSink } from "./response-sink.js";

interface ErringTarget {
  readonly address: string;
  writtenBytes: number;
  /** Resolves when the connection is closed; true if it was reset. */
  readonly closed: Promise<boolean>;
}

interface Ended {
  readonly result: AttemptResult;
  readonly ms: number;
}

const clock = systemClock();
const blockBytes = 65_536;
const block = Buffer.alloc(blockBytes, "x");
const byteIntervalMs = 10;
const servers: Server[] = [];
const sockets = new Set<Socket>();

After({ name: "endless-errors" }, () => {
  for (const socket of sockets) socket.destroy();
  sockets.clear();
  for (const server of servers.splice(0)) server.close();
});

type SendBody = (socket: Socket, count: (bytes: number) => void) => void;

const endlessHead = "Content-Length: 1000000000000\r\n\r\n";
const sized = (body: string, delayMs: number): readonly [string, SendBody] => [
  `Content-Length: ${body.length}\r\nConnection: close\r\n\r\n`,
  (socket) => void setTimeout(() => socket.end(body), delayMs),
];

/** Framing of the body, and what sends it, by description. */
function bodyOf(description: string): readonly [string, SendBody] {
  const size = /^has (\d+) bytes$/.exec(description)?.[1];
  if (size !== undefined) return sized("x".repeat(Number(size)), 0);
  const delay = /^comes (\d+) ms after its head$/.exec(description)?.[1];
  if (delay !== undefined) return sized("{}", Number(delay));
  switch (description) {
    case "never comes":
      return [endlessHead, () => undefined];
    case "is broken off":
      return [endlessHead, (socket) => socket.write("x", () => socket.resetAndDestroy())];
    case "comes byte by byte":
      return [
        endlessHead,
        (socket, count) => {
          const timer = setInterval(() => {
            if (socket.destroyed) return clearInterval(timer);
            count(1);
            socket.write("x");
          }, byteIntervalMs);
        },
      ];
    default:
      return [
        endlessHead,
        (socket, count) => {
          const writeMore = () => {
            if (socket.destroyed) return;
            count(blockBytes);
            if (socket.write(block)) setImmediate(writeMore);
            else socket.once("drain", writeMore);
          };
          writeMore();
        },
      ];
  }
}

Given(
  /^a target that (rejects requests|fails) with a body that (.+)$/,
  async function (this: object, kind: string, description: string) {
    const status = kind === "fails" ? 500 : 421;
    const [framing, sendBody] = bodyOf(description);
    let endConnection: (wasReset: boolean) => void = () => undefined;
    const closed = new Promise<boolean>((resolve) => (endConnection = resolve));
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => endConnection(true));
      socket.once("close", () => endConnection(false));
      socket.once("data", () => {
        socket.write(`HTTP/1.1 ${status} x\r\n${framing}`);
        sendBody(socket, (bytes) => (target.writtenBytes += bytes));
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const target: ErringTarget = { address: `127.0.0.1:${port}`, writtenBytes: 0, closed };
    scenarioState(this).set("target", target);
  },
);

const codec = {
  readResponse: (status: number): ResponseMetadata => ({
    requestId: "r",
    isSigned: true,
    notRun: status === 421,
    misdirected: status === 421,
    retryAfter: { kind: "none" },
    limit: { kind: "none" },
    leaving: false,
    rejectionAllowance: { kind: "none" },
  }),
  toCallerHeaders: (headers: readonly string[]) => headers,
} as unknown as RequestCodec;

/** A caller that takes everything at once. */
function createWillingSink(): ResponseSink {
  let begun = false;
  return {
    headersSent: () => begun,
    writeHead: () => void (begun = true),
    write: () => true,
    onDrain: () => undefined,
    end: () => undefined,
    abort: () => undefined,
    send: () => undefined,
    isCallerGone: () => false,
    detach: () => undefined,
    onCallerGone: () => undefined,
  };
}

When(
  "an attempt is made there with a deadline of {int} ms",
  async function (this: object, deadlineMs: number) {
    const { address } = scenarioState(this).get<ErringTarget>("target");
    const startedAt = clock.now();
    const result = await sendAttempt({
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
      sink: createWillingSink(),
      streaming: false,
      position: {},
      deadlineAt: startedAt + deadlineMs,
      onResponseHead: () => undefined,
      onCallerGone: () => undefined,
      onFirstEvent: () => undefined,
      onFirstBodyBytes: () => undefined,
      onStreamEnd: () => undefined,
      onStreamGap: () => undefined,
    });
    scenarioState(this).set("ended", { result, ms: clock.now() - startedAt });
  },
);

Then("it ends as {string} within {int} ms", function (this: object, kind: string, maxMs: number) {
  const { result, ms } = scenarioState(this).get<Ended>("ended");
  assert.equal(result.kind, kind, `${JSON.stringify(result).slice(0, 200)} after ${ms} ms`);
  assert.ok(ms <= maxMs, `${ms} ms`);
});

Then(
  "the target's connection was reset after at most {int} bytes",
  async function (this: object, maxBytes: number) {
    const target = scenarioState(this).get<ErringTarget>("target");
    assert.equal(await target.closed, true);
    assert.ok(target.writtenBytes <= maxBytes, `${target.writtenBytes} bytes`);
  },
);

Then("the target's connection was closed in order", async function (this: object) {
  assert.equal(await scenarioState(this).get<ErringTarget>("target").closed, false);
});

Then("the body has {int} bytes", function (this: object, bytes: number) {
  const { result } = scenarioState(this).get<Ended>("ended");
  assert.equal(result.kind === "answered" && result.body.length, bytes);
});
