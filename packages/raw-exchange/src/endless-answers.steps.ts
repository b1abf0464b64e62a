import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createExchangeOpener, type ExchangeRequest, tcpConnector } from "./index.js";

interface EndlessTarget {
  readonly port: number;
  /** Bytes that the box has taken from each connection, including what its socket buffers hold. */
  readonly written: number[];
  readonly bodyBytes: number;
}

interface ExchangeEnd {
  readonly bytes: number;
  /** Number of calls that delivered them. */
  readonly parts: number;
  readonly ms: number;
  readonly failed?: string;
  readonly excess?: boolean;
}

const openExchange = createExchangeOpener(systemClock(), tcpConnector);
const statusLine = "HTTP/1.1 200 OK\r\n";
const chunkedHead = `${statusLine}Transfer-Encoding: chunked\r\n\r\n`;
const repeatedBytes = 16_384;
/** Beyond this the bytes count as read without end. */
const maxWrittenBytes = 20_000_000;
const firstReadMs = 30;

/** First bytes of the answer, and what is repeated without end. */
const endlessAnswers: Readonly<Record<string, readonly [string, string]>> = {
  "empty lines before the head": ["", "\r\n"],
  "informational responses": ["", "HTTP/1.1 102 Processing\r\n\r\n"],
  "a header line": [`${statusLine}X: `, "a"],
  headers: [statusLine, "X: aaaaaaaaaaaa\r\n"],
  "blanks before a header's value": [`${statusLine}X:`, " "],
  "a chunk size of zeros": [chunkedHead, "0"],
  "a chunk extension": [`${chunkedHead}1;a=`, "b"],
  "an extension of each chunk": [chunkedHead, `1;${"b".repeat(4_000)}\r\nx\r\n`],
  "chunks of one byte": [chunkedHead, "1\r\nx\r\n"],
  trailers: [`${chunkedHead}2\r\nok\r\n0\r\n`, "X: aaaaaaaaaaaa\r\n"],
};
const completeAnswers: Readonly<Record<string, string>> = {
  length: `${statusLine}Content-Length: 2\r\n\r\nok`,
  chunked: `${chunkedHead}2\r\nok\r\n0\r\n\r\n`,
  "no body": "HTTP/1.1 204 No Content\r\n\r\n",
};
const servers: Server[] = [];

After({ name: "endless-answers" }, () => {
  for (const server of servers.splice(0)) server.close();
});

async function listen(respond: (socket: Socket) => void): Promise<number> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  servers.push(server);
  return (server.address() as AddressInfo).port;
}

/** Writes as fast as the connection takes the bytes, until it is closed. */
function writeWithoutEnd(socket: Socket, repeated: string, count: (bytes: number) => void): void {
  const block = Buffer.from(repeated.repeat(Math.ceil(repeatedBytes / repeated.length)));
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

async function startTarget(
  world: object,
  bodyBytes: number,
  respond: (socket: Socket, count: (bytes: number) => void) => void,
): Promise<void> {
  const written: number[] = [];
  const port = await listen((socket) => {
    const index = written.push(0) - 1;
    respond(socket, (bytes) => (written[index] += bytes));
  });
  scenarioState(world).set("target", { port, written, bodyBytes });
}

Given(/^a target that sends (.+) without end$/, function (this: object, kind: string) {
  const [first, repeated] = endlessAnswers[kind];
  return startTarget(this, 0, (socket, count) => {
    socket.write(first);
    writeWithoutEnd(socket, repeated, count);
  });
});

Given(
  /^a target that sends an answer framed by (.+) and then bytes without end, in (one read|two reads)$/,
  function (this: object, framing: string, reads: string) {
    const answer = completeAnswers[framing];
    const bodyBytes = framing === "no body" ? 0 : 2;
    return startTarget(this, bodyBytes, (socket, count) => {
      socket.write(reads === "one read" ? `${answer}zzz` : answer);
      const delayMs = reads === "one read" ? 0 : firstReadMs;
      setTimeout(() => writeWithoutEnd(socket, "z", count), delayMs);
    });
  },
);

Given("a target that answers with a head of {int} bytes", function (this: object, bytes: number) {
  const head = `${statusLine}Content-Length: 2\r\nX: `;
  const padding = "a".repeat(bytes - head.length - "\r\n\r\n".length);
  return startTarget(this, 2, (socket) => socket.end(`${head}${padding}\r\n\r\nok`));
});

Given(
  "a target that answers with {int} chunks of one byte",
  function (this: object, count: number) {
    const body = "1\r\nx\r\n".repeat(count);
    return startTarget(this, count, (socket) => socket.end(`${chunkedHead}${body}0\r\n\r\n`));
  },
);

const requestTo = (port: number): ExchangeRequest => ({
  address: `127.0.0.1:${port}`,
  method: "GET",
  path: "/",
  headers: ["Host", "example"],
  body: Buffer.alloc(0),
  connectTimeoutMs: 5_000,
});

function exchange(port: number): Promise<ExchangeEnd> {
  const startedAt = performance.now();
  let bytes = 0;
  let parts = 0;
  return new Promise((resolve) => {
    const end = (rest: Partial<ExchangeEnd>) =>
      resolve({ bytes, parts, ms: performance.now() - startedAt, ...rest });
    openExchange(requestTo(port), {
      onHead: () => undefined,
      onBytes(part) {
        bytes += part.length;
        parts += 1;
      },
      onComplete: (excess) => end({ excess }),
      onFailure: ({ reason }) => end({ failed: reason }),
    });
  });
}

When(
  "{int} requests are sent there, beside {int} to a target that answers well",
  async function (this: object, count: number, others: number) {
    const { port } = scenarioState(this).get<EndlessTarget>("target");
    const goodPort = await listen((socket) => socket.end(completeAnswers.length));
    const sentThere = Array.from({ length: count }, () => exchange(port));
    const ends: ExchangeEnd[] = [];
    for (let index = 0; index < others; index++) ends.push(await exchange(goodPort));
    scenarioState(this).set("others", ends);
    scenarioState(this).set("ends", await Promise.all(sentThere));
    const { written } = scenarioState(this).get<EndlessTarget>("target");
    const slowestMs = Math.max(...ends.map(({ ms }) => ms));
    console.log(
      `at most ${Math.max(...written)} bytes written, others within ${slowestMs.toFixed(1)} ms`,
    );
  },
);

function assertWritten(world: object, maxBytes: number): void {
  const { written } = scenarioState(world).get<EndlessTarget>("target");
  for (const bytes of written) assert.ok(bytes <= maxBytes, `${bytes} bytes were written`);
}

Then(
  "each exchange with the first target fails after at most {int} bytes",
  function (this: object, maxBytes: number) {
    for (const { failed } of scenarioState(this).get<ExchangeEnd[]>("ends"))
      assert.notEqual(failed, undefined);
    assertWritten(this, maxBytes);
  },
);

Then(
  "each exchange with the first target is complete with its body, after at most {int} bytes",
  function (this: object, maxBytes: number) {
    const { bodyBytes } = scenarioState(this).get<EndlessTarget>("target");
    for (const { failed, bytes } of scenarioState(this).get<ExchangeEnd[]>("ends"))
      assert.deepEqual({ failed, bytes }, { failed: undefined, bytes: bodyBytes });
    assertWritten(this, maxBytes);
  },
);

Then(
  "each exchange with the first target reports bytes behind the answer",
  function (this: object) {
    for (const { excess } of scenarioState(this).get<ExchangeEnd[]>("ends"))
      assert.equal(excess, true);
  },
);

Then("all others are complete, each within {int} ms", function (this: object, maxMs: number) {
  for (const { failed, bytes, ms } of scenarioState(this).get<ExchangeEnd[]>("others")) {
    assert.deepEqual({ failed, bytes }, { failed: undefined, bytes: 2 });
    assert.ok(ms <= maxMs, `${ms} ms`);
  }
});

Then(
  "each exchange with the first target fails after at most {int} bytes of its body",
  function (this: object, maxBytes: number) {
    for (const { failed, bytes } of scenarioState(this).get<ExchangeEnd[]>("ends")) {
      assert.notEqual(failed, undefined);
      assert.ok(bytes <= maxBytes, `${bytes} bytes were delivered`);
    }
  },
);

Then(
  "each exchange with the first target got its body in at most {int} parts",
  function (this: object, maxParts: number) {
    const { bodyBytes } = scenarioState(this).get<EndlessTarget>("target");
    for (const { failed, bytes, parts } of scenarioState(this).get<ExchangeEnd[]>("ends")) {
      assert.deepEqual({ failed, bytes }, { failed: undefined, bytes: bodyBytes });
      assert.ok(parts <= maxParts, `${parts} parts`);
    }
  },
);

When(
  "a listener pauses at the first part and resumes after {int} ms",
  async function (this: object, pauseMs: number) {
    const { port } = scenarioState(this).get<EndlessTarget>("target");
    const sizes = { beforePause: 0, inPause: 0, all: 0 };
    await new Promise<void>((resolve) => {
      let isPaused = false;
      const resume = () => {
        isPaused = false;
        exchange.resume();
      };
      const exchange = openExchange(requestTo(port), {
        onHead: () => undefined,
        onBytes({ length }) {
          sizes.all += length;
          if (isPaused) sizes.inPause += length;
          if (sizes.beforePause > 0) return;
          sizes.beforePause = length;
          isPaused = true;
          exchange.pause();
          setTimeout(resume, pauseMs);
        },
        onComplete: () => resolve(),
        onFailure: () => resolve(),
      });
    });
    scenarioState(this).set("sizes", sizes);
  },
);

Then("it got nothing in between, and the whole body in the end", function (this: object) {
  const { bodyBytes } = scenarioState(this).get<EndlessTarget>("target");
  const { inPause, all } = scenarioState(this).get<{ inPause: number; all: number }>("sizes");
  assert.deepEqual({ inPause, all }, { inPause: 0, all: bodyBytes });
});
