import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, createServer as createTcpServer } from "node:net";
import { gzipSync } from "node:zlib";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import type { RequestCodec, ResponseMetadata } from "@linkfall/ports";
import { createExchangeOpener, tcpConnector } from "@linkfall/raw-exchange";
import { scenarioState } from "@linkfall/test-support";
import { type AttemptResult, sendAttempt, type StreamPosition } from "./attempt.js";
import { createResponseSink } from "./response-sink.js";

const deadlineMs = 10_000;
const large = 2_000_000;
const stream = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
const closers: (() => void)[] = [];

const head = (status: number, type: string, more = "") =>
  `HTTP/1.1 ${status} x\r\nContent-Type: ${type}\r\n${more}\r\n`;
const stringOf = (size: number) => "data: x\n\n".repeat(size / 9);
const gzipped = gzipSync(stream);

/** What a target sends before it ends its connection in order. */
const answers: Readonly<Record<string, Buffer>> = {
  "200 cut stream": Buffer.from(`${head(200, "text/event-stream")}${stream}id: 3\nda`),
  "201 cut stream": Buffer.from(`${head(201, "text/event-stream")}${stream}id: 3\nda`),
  "200 empty stream": Buffer.from(head(200, "text/event-stream")),
  "201 empty stream": Buffer.from(head(201, "text/event-stream")),
  "200 nothing without a content type": Buffer.from("HTTP/1.1 200 x\r\n\r\n"),
  "200 stream with a byte order mark": Buffer.from(`${head(200, "text/event-stream")}\ufeff`),
  "200 empty chunked stream": Buffer.from(
    `${head(200, "text/event-stream", "Transfer-Encoding: chunked\r\n")}0\r\n\r\n`,
  ),
  "200 empty stream of length 0": Buffer.from(
    head(200, "text/event-stream", "Content-Length: 0\r\n"),
  ),
  "204 without content": Buffer.from("HTTP/1.1 204 x\r\n\r\n"),
  "200 nothing up to its end": Buffer.from(head(200, "application/json")),
  "200 stream cut between events": Buffer.from(
    `${head(200, "text/event-stream", "Transfer-Encoding: chunked\r\n")}${stream.length.toString(16)}\r\n${stream}\r\n`,
  ),
  "cut behind its status line": Buffer.from("HTTP/1.1 200 OK\r\n"),
  "cut inside its length": Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 5"),
  "cut inside its transfer coding": Buffer.from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chun"),
  "cut before its empty line": Buffer.from(
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
  ),
  "cut inside its empty line": Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"),
  "cut behind early hints": Buffer.from(
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nConte",
  ),
  "200 shorter stream": Buffer.from(`${head(200, "text/event-stream")}id: 1\ndata: 1\n\n`),
  "200 cut stream without ids": Buffer.from(
    `${head(200, "text/event-stream")}data: 1\n\ndata: 2\n\nda`,
  ),
  "200 stream without ids": Buffer.from(
    `${head(200, "text/event-stream")}data: 1\n\ndata: 2\n\ndata: 3\n\n`,
  ),
  "200 large cut stream": Buffer.from(
    `${head(200, "text/event-stream")}${stringOf(large)}id: 3\nda`,
  ),
  "500 small plain": Buffer.from(`${head(500, "text/plain", "Content-Length: 3\r\n")}bad`),
  "500 large plain": Buffer.from(
    `${head(500, "text/plain", `Content-Length: ${large}\r\n`)}${"x".repeat(large)}`,
  ),
  "200 large plain": Buffer.from(
    `${head(200, "application/json", `Content-Length: ${large}\r\n`)}${"x".repeat(large)}`,
  ),
  "200 gzip stream": Buffer.concat([
    Buffer.from(
      head(
        200,
        "text/event-stream",
        `Content-Encoding: gzip\r\nContent-Length: ${gzipped.length}\r\n`,
      ),
    ),
    gzipped,
  ]),
};

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
const framingHeaders = ["connection", "transfer-encoding", "content-length", "keep-alive"];
const codec = {
  readResponse: () => facts,
  toCallerHeaders: (headers: readonly string[]) =>
    headers.filter(
      (_, index) => !framingHeaders.includes(headers[index - (index % 2)].toLowerCase()),
    ),
} as unknown as RequestCodec;

After({ name: "broken-off-answers" }, () => {
  for (const close of closers.splice(0)) close();
});

async function startTarget(answer: string): Promise<string> {
  const server = createTcpServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.end(answers[answer]));
  });
  closers.push(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

Given(
  /^a (streaming|plain) route whose target sends "(.*)"$/,
  async function (this: object, route: string, answer: string) {
    scenarioState(this).set("streaming", route === "streaming");
    scenarioState(this).set("targets", [await startTarget(answer)]);
  },
);

Given("another target that sends {string}", async function (this: object, answer: string) {
  scenarioState(this)
    .get<string[]>("targets")
    .push(await startTarget(answer));
});

/** Tries the targets in turn as long as an attempt is lost, and ends the answer as `forward.ts` does. */
async function forwardTo(
  method: string,
  response: ServerResponse,
  targets: readonly string[],
  streaming: boolean,
) {
  const sink = createResponseSink(response, () => false);
  const clock = systemClock();
  const position: StreamPosition = {};
  let result: AttemptResult | undefined;
  for (const address of targets) {
    result = await sendAttempt({
      clock,
      codec,
      openExchange: createExchangeOpener(clock, tcpConnector),
      request: {
        address,
        method,
        path: "/",
        headers: ["Host", "example"],
        body: Buffer.alloc(0),
        connectTimeoutMs: deadlineMs,
      },
      requestId: "r",
      sink,
      streaming,
      position,
      deadlineAt: clock.now() + deadlineMs,
      onResponseHead: () => undefined,
      onCallerGone: () => undefined,
      onFirstEvent: () => undefined,
      onFirstBodyBytes: () => undefined,
      onStreamEnd: () => undefined,
      onStreamGap: () => undefined,
    });
    if (result.kind !== "lost") break;
  }
  if (result?.kind === "streamed") sink.end();
  else if (result?.kind === "answered")
    sink.send(result.head.status, codec.toCallerHeaders(result.head.headers), result.body);
  else if (sink.headersSent()) sink.abort();
  else sink.send(502, [], Buffer.from("{}"));
}

When(
  /^a caller (asks|sends HEAD) by HTTP\/(1\.[01])$/,
  async function (this: object, verb: string, version: string) {
    const isHead = verb === "sends HEAD";
    const targets = scenarioState(this).get<string[]>("targets");
    const streaming = scenarioState(this).get<boolean>("streaming");
    const server = createServer(
      ({ method = "" }, response) => void forwardTo(method, response, targets, streaming),
    );
    closers.push(() => server.close());
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const chunks: Buffer[] = [];
    const wasReset = await new Promise<boolean>((resolve) => {
      const socket = connect(port, "127.0.0.1");
      socket.write(
        `${isHead ? "HEAD" : "GET"} / HTTP/${version}\r\nHost: x\r\nConnection: close\r\n\r\n`,
      );
      socket.on("data", (chunk) => chunks.push(chunk));
      socket.once("error", () => resolve(true));
      socket.once("end", () => resolve(false));
    });
    const text = Buffer.concat(chunks).toString("latin1");
    const headEnd = text.indexOf("\r\n\r\n") + 2;
    const isChunked = /transfer-encoding: chunked/i.test(text.slice(0, headEnd));
    const length = /content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1];
    const bodyBytes = text.length - headEnd - 2;
    const endsByFraming = isHead
      ? bodyBytes === 0
      : isChunked
        ? text.endsWith("\r\n0\r\n\r\n")
        : length === undefined || bodyBytes === Number(length);
    const status = Number(text.split(" ")[1]);
    scenarioState(this).set("complete", !wasReset && endsByFraming && status < 300);
    scenarioState(this).set("seen", `status ${status}, ${bodyBytes} bytes, reset ${wasReset}`);
  },
);

Then(/^the answer is (not )?complete for the caller$/, function (this: object, not: string | null) {
  const state = scenarioState(this);
  assert.equal(state.get<boolean>("complete"), !not, state.get<string>("seen"));
});
