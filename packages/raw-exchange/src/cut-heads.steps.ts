import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createExchangeOpener, type ResponseHead, tcpConnector } from "./index.js";

interface Outcome {
  readonly head?: ResponseHead;
  readonly body: string;
  readonly failure?: string;
}

/** Internal handle of a socket, whose reset is sent directly after the written bytes. */
interface SocketWithHandle {
  readonly _handle: { reset(done: () => void): number };
}

const openExchange = createExchangeOpener(systemClock(), tcpConnector);
const laterMs = 20;
const start = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nSignature: s\r\n";
const lengthHead = `${start}Content-Length: 5\r\n\r\n`;

const heads: Readonly<Record<string, string>> = {
  "with a length": `${start}Content-Length: 512\r\n\r\n`,
  chunked: `${start}Transfer-Encoding: chunked\r\n\r\n`,
  "up to its end": `${start}Content-Type: text/event-stream\r\n\r\n`,
  "informational, then 200": `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${lengthHead}`,
  "HTTP/1.0": `${start.replace("HTTP/1.1", "HTTP/1.0")}\r\n`,
  "without content": `${start.replace("200 OK", "204 No Content")}\r\n`,
};

const answers: Readonly<Record<string, string>> = {
  "a lone CR before its length": `${start}\rContent-Length: 512\r\n\r\nhello`,
  "a lone CR before its body": `${start}Content-Length: 5\r\n\rhello`,
  "a lone CR in an informational head": `HTTP/1.1 103 Early Hints\r\n\rLink: a\r\n\r\n${lengthHead}hello`,
  "a lone CR after an informational head": `HTTP/1.1 103 Early Hints\r\n\r\n${start}\rA: b\r\n\r\nhello`,
  "a lone CR in a header line": `${start}A: b\rContent-Length: 5\r\n\r\nhello`,
  "line feeds only": `${lengthHead.replaceAll("\r\n", "\n")}hello`,
  "a length that goes on in the next line": `${start}Content-Length: 5\r\n 12\r\n\r\nhello`,
  "a value that goes on in the next line": `${start}A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello`,
  "a name without a value": `${start}Content-Length\r\n\r\nhello`,
  "an empty length": `${start}Content-Length: \r\n\r\nhello`,
  "two lengths": `${start}Content-Length: 5\r\nContent-Length: 512\r\n\r\nhello`,
  "a length and chunks": `${start}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello`,
  "no head": "hello",
  "a part of the transfer coding": `${start}Transfer-Encoding: chun\r\n\r\n5\r\nhello\r\n0\r\n\r\n`,
  "an empty transfer coding": `${start}Transfer-Encoding: \r\n\r\n5\r\nhello\r\n0\r\n\r\n`,
  "a transfer coding that nobody asked for": `${start}Transfer-Encoding: gzip\r\n\r\nhello`,
  "chunks within another transfer coding": `${start}Transfer-Encoding: chunked, gzip\r\n\r\nhello`,
  "a lone CR in its body": `${start}Content-Length: 4\r\n\r\na\n\rb`,
  "a lone CR in the body behind hints": `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${start}Content-Length: 4\r\n\r\na\n\rb`,
  "an empty line that ends in LF only": `${start}Content-Length: 2\r\n\n\rb`,
  "empty lines before its head": `\r\n\r\n${start}Content-Length: 4\r\n\r\na\n\rb`,
  "another answer behind it, cut inside": `${start}Content-Length: 2\r\n\r\nok${start}Content-Le`,
};

const servers: Server[] = [];

After({ name: "cut-heads" }, () => {
  for (const server of servers.splice(0)) server.close();
});

async function startTarget(respond: (socket: Socket) => void): Promise<string> {
  const server = createServer({ noDelay: true }, (socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  servers.push(server);
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function exchangeWith(address: string): Promise<Outcome> {
  return new Promise((resolve) => {
    let head: ResponseHead | undefined;
    let body = "";
    const request = { address, method: "GET", path: "/", headers: ["Host", "example"] };
    openExchange(
      { ...request, body: Buffer.alloc(0), connectTimeoutMs: 5_000 },
      {
        onHead: (received) => void (head = received),
        onBytes: (bytes) => void (body += bytes.toString("latin1")),
        onComplete: () => resolve({ head, body }),
        onFailure: ({ reason }) => resolve({ head, body, failure: reason }),
      },
    );
  });
}

Given(
  /^a target that ends its connection after each number of bytes of "(.*)", (in order|by a reset|in order, later)$/,
  async function (this: object, name: string, end: string) {
    const head = heads[name];
    let sentBytes = 0;
    const address = await startTarget((socket) => {
      const bytes = head.slice(0, sentBytes++);
      if (end === "in order") return socket.end(bytes);
      socket.write(bytes);
      if (end === "in order, later") return setTimeout(() => socket.end(), laterMs);
      (socket as unknown as SocketWithHandle)._handle.reset(() => undefined);
    });
    scenarioState(this).set("address", address);
    scenarioState(this).set("head bytes", head.length);
  },
);

When("requests are sent there until the head is whole", async function (this: object) {
  const address = scenarioState(this).get<string>("address");
  const count = scenarioState(this).get<number>("head bytes");
  const exchanges = Array.from({ length: count }, () => exchangeWith(address));
  scenarioState(this).set("outcomes", await Promise.all(exchanges));
});

async function writeByteByByte(socket: Socket, bytes: string): Promise<void> {
  for (const byte of bytes) {
    socket.write(byte);
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  socket.end();
}

Given(
  /^a target that answers with (.*), (in one read|byte by byte)$/,
  async function (this: object, name: string, reads: string) {
    const answer = answers[name];
    const address = await startTarget((socket) => {
      if (reads === "in one read") socket.end(answer);
      else void writeByteByByte(socket, answer);
    });
    scenarioState(this).set("address", address);
  },
);

When("a request is sent to it", async function (this: object) {
  const address = scenarioState(this).get<string>("address");
  scenarioState(this).set("outcomes", [await exchangeWith(address)]);
});

Then(/^(?:the|each) exchange fails without a head$/, function (this: object) {
  for (const { head, failure } of scenarioState(this).get<Outcome[]>("outcomes")) {
    assert.equal(head, undefined);
    assert.ok(failure !== undefined);
  }
});

Then(/^the exchange is complete with the body "(.*)"$/, function (this: object, expected: string) {
  const [{ body, failure }] = scenarioState(this).get<Outcome[]>("outcomes");
  assert.equal(failure, undefined);
  assert.equal(body, expected.replaceAll("<CR>", "\r").replaceAll("<LF>", "\n"));
});
