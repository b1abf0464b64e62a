import assert from "node:assert/strict";
import {
  createServer,
  get,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import type { RequestCodec, ResponseMetadata } from "@linkfall/ports";
import { createExchangeOpener, tcpConnector } from "@linkfall/raw-exchange";
import {
  type EndingFraming,
  type EndingKind,
  type EndingServer,
  scenarioState,
  startEndingServer,
} from "@linkfall/test-support";
import { type AttemptResult, sendAttempt } from "./attempt.js";
import { createResponseSink } from "./response-sink.js";

const megabyte = 1_000_000;
const eventBytes = 1_000;
const deadlineMs = 20_000;
const samplingMs = 1;
const servers: Server[] = [];
const endingServers: EndingServer[] = [];

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
const codec = {
  readResponse: () => facts,
  toCallerHeaders: (headers: readonly string[]) =>
    headers.filter((_, index) => !isConnectionHeader(headers[index - (index % 2)])),
} as unknown as RequestCodec;

const isConnectionHeader = (name: string) =>
  ["connection", "transfer-encoding", "content-length", "keep-alive"].includes(name.toLowerCase());

After({ name: "slow-caller" }, () => {
  for (const server of servers.splice(0)) server.close();
  for (const server of endingServers.splice(0)) server.close();
});

async function listen(
  handle: (message: IncomingMessage, response: ServerResponse) => void,
): Promise<number> {
  const server = createServer(handle);
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}

Given(
  /^a target that sends a (stream|plain answer) of (\d+) MB$/,
  async function (this: object, kind: string, megabytes: string) {
    const event = Buffer.from(`data: ${"x".repeat(eventBytes - "data: \n\n".length)}\n\n`);
    const count = (Number(megabytes) * megabyte) / eventBytes;
    const body = Buffer.concat(Array.from({ length: count }, () => event));
    const type = kind === "stream" ? "text/event-stream" : "text/plain";
    const port = await listen((_, response) => {
      response.writeHead(200, { "Content-Type": type });
      response.end(body);
    });
    scenarioState(this).set("target", `127.0.0.1:${port}`);
    scenarioState(this).set("bytes", body.length);
    scenarioState(this).set("streaming", true);
  },
);

Given(
  /^a target that breaks off a plain answer of (\d+) MB framed by (close|chunked|length), then "(.*)"$/,
  async function (this: object, megabytes: number, framing: EndingFraming, kind: EndingKind) {
    const contentBytes = Number(megabytes) * megabyte;
    const sent = Buffer.alloc(contentBytes / 2);
    const server = await startEndingServer({ framing, kind, sent, contentBytes });
    endingServers.push(server);
    scenarioState(this).set("target", server.address);
    scenarioState(this).set("streaming", false);
  },
);

interface Measured {
  /** Whether the caller saw the end of the answer. */
  complete: boolean;
  listeners: number;
  buffered: number;
  received: number;
  readonly warnings: string[];
  result?: AttemptResult;
}

/** Forwards the target's response and samples what waits for the caller. */
async function forwardTo(
  response: ServerResponse,
  address: string,
  streaming: boolean,
  measured: Measured,
) {
  const sink = createResponseSink(response, () => false);
  const sample = () => {
    measured.listeners = Math.max(measured.listeners, response.listenerCount("drain"));
    measured.buffered = Math.max(measured.buffered, response.writableLength);
  };
  const timer = setInterval(sample, samplingMs);
  const sampledSink = {
    ...sink,
    write(bytes: Buffer) {
      const accepted = sink.write(bytes);
      sample();
      return accepted;
    },
  };
  const clock = systemClock();
  measured.result = await sendAttempt({
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
    sink: sampledSink,
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
  clearInterval(timer);
  if (measured.result.kind === "lost") sink.abort();
  else sink.end();
}

When(
  "it is forwarded to a caller that starts to read after {int} ms",
  { timeout: deadlineMs },
  async function (this: object, delayMs: number) {
    const address = scenarioState(this).get<string>("target");
    const streaming = scenarioState(this).get<boolean>("streaming");
    const measured: Measured = {
      complete: false,
      listeners: 0,
      buffered: 0,
      received: 0,
      warnings: [],
    };
    const recordWarning = ({ message }: Error) => void measured.warnings.push(message);
    process.on("warning", recordWarning);
    const port = await listen(
      (_, response) => void forwardTo(response, address, streaming, measured),
    );
    await new Promise<void>((resolve) => {
      const caller = get({ port, host: "127.0.0.1", agent: false }, (message) => {
        message.pause();
        message.on("data", (chunk: Buffer) => (measured.received += chunk.length)).pause();
        message.on("error", () => undefined);
        message.once("end", () => (measured.complete = message.complete));
        message.once("close", resolve);
        setTimeout(() => message.resume(), delayMs);
      });
      // A lost answer of which nothing was forwarded has no head.
      caller.on("error", () => resolve());
    });
    process.removeListener("warning", recordWarning);
    scenarioState(this).set("measured", measured);
  },
);

const measuredOf = (world: object) => scenarioState(world).get<Measured>("measured");

Then("the caller receives all of it", function (this: object) {
  const { received, result } = measuredOf(this);
  assert.deepEqual(result, { kind: "streamed" });
  assert.equal(received, scenarioState(this).get<number>("bytes"));
});

Then("the answer is lost, and its caller sees it", function (this: object) {
  const { result, complete } = measuredOf(this);
  assert.equal(result?.kind, "lost");
  assert.equal(complete, false);
});

Then(
  "at most {int} listener waited for the caller, and Node.js gave no warning",
  function (this: object, max: number) {
    const { listeners, warnings } = measuredOf(this);
    assert.deepEqual(warnings, []);
    assert.ok(listeners >= 1, "the caller never held back");
    assert.ok(listeners <= max, `${listeners} listeners`);
  },
);

Then("at most {int} MB were buffered for the caller", function (this: object, max: number) {
  const { buffered } = measuredOf(this);
  assert.ok(buffered <= max * megabyte, `${buffered} bytes`);
});
