import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import type { BodyPart, CallerResponse } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { Left, Right } from "purify-ts";
import { createHttpFront, type HttpFront } from "./http-front.js";

interface RunningFront {
  readonly clock: VirtualClock;
  readonly front: HttpFront;
  readonly address: string;
  /** Paths of the requests that were handled. */
  readonly handled: string[];
  /** Exceptions that were reported. */
  readonly defects: unknown[];
}

const defect = new Error("planted");

const bodyTimeoutMs = 5_000;
const frontOf = (world: object) => scenarioState(world).get<RunningFront>("front");

async function* cutBody(): AsyncGenerator<BodyPart> {
  yield Right(Buffer.from("first part"));
  yield Left({ kind: "target_unreachable", reason: "cut", mayHaveArrived: true });
}

Given(
  "an HTTP front with limits of 100 bytes for bodies, 1000 bytes for heads and 5 s for receiving",
  async function (this: object) {
    const clock = createVirtualClock();
    const handled: string[] = [];
    const defects: unknown[] = [];
    const okResponse: CallerResponse = { status: 200, headers: {}, body: Buffer.from("fine") };
    const front = createHttpFront({
      clock,
      address: "127.0.0.1:0",
      limits: { maxBodyBytes: 100, maxHeaderBytes: 1_000, bodyTimeoutMs },
      async handle({ path }) {
        handled.push(path);
        if (path === "/defect") throw defect;
        return path === "/cut" ? { ...okResponse, body: cutBody() } : okResponse;
      },
      onDefect: (_path, problem) => void defects.push(problem),
    });
    scenarioState(this).set("front", {
      clock,
      front,
      address: (await front.listen()).unsafeCoerce(),
      handled,
      defects,
    });
  },
);

After(async function (this: object) {
  try {
    await frontOf(this).front.close();
  } catch {
    // The scenario has no front.
  }
});

/** Sends raw bytes and reads until the server closes the connection or the response is complete. */
function exchange(address: string, text: string, sent: (socket: Socket) => void = () => undefined) {
  const [host, port] = address.split(":");
  return new Promise<string>((resolve, reject) => {
    const socket = connect(Number(port), host, () => {
      socket.write(text);
      sent(socket);
    });
    let response = "";
    socket.on("data", (chunk) => {
      response += chunk.toString("utf8");
      if (response.endsWith("fine")) socket.end();
    });
    socket.on("close", () => resolve(response));
    socket.on("error", (problem) => (response === "" ? reject(problem) : resolve(response)));
  });
}

const head = "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
const inputs: Readonly<Record<string, string>> = {
  "a body of 101 bytes": `${head}content-length: 101\r\n\r\n${"x".repeat(101)}`,
  "a head of 2000 bytes": `${head}long: ${"x".repeat(2_000)}\r\n\r\n`,
  "a blank in a header name": `${head}X A: a\r\ncontent-length: 0\r\n\r\n`,
  "a lone CR before a line": `${head}\rcontent-length: 0\r\n\r\n`,
  "no HTTP": "what is this\r\n\r\n",
  "half a body for 5 s": `${head}content-length: 10\r\n\r\nhalf`,
};

When("a caller sends {string}", async function (this: object, input: string) {
  const { address, clock } = frontOf(this);
  const exchanged = exchange(address, inputs[input]);
  if (input.startsWith("half")) {
    let done = false;
    void exchanged.then(() => (done = true));
    // The bytes cross a real socket, so the virtual time is advanced until they have been received.
    while (!done) {
      await clock.runUntil(clock.now() + bodyTimeoutMs);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
  scenarioState(this).set("response", await exchanged);
});

Then(
  "the response is {int} with outcome {string} and code {string}",
  function (this: object, status: number, outcome: string, code: string) {
    const response = scenarioState(this).get<string>("response");
    assert.match(response, new RegExp(`^HTTP/1.1 ${status} `));
    const { error } = JSON.parse(response.slice(response.indexOf("\r\n\r\n")));
    assert.deepEqual([error.outcome, error.code], [outcome, code]);
  },
);

Then("the front still responds to other callers", async function (this: object) {
  const response = await exchange(
    frontOf(this).address,
    "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
  );
  assert.match(response, /^HTTP\/1.1 200 .*fine$/s);
});

When("a caller sends a request whose handler throws", async function (this: object) {
  const text = "GET /defect HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
  scenarioState(this).set("response", await exchange(frontOf(this).address, text));
});

Then(
  "its response has status {int}, and the exception is reported",
  function (this: object, status: number) {
    assert.match(scenarioState(this).get<string>("response"), new RegExp(`^HTTP/1.1 ${status} `));
    assert.deepEqual(frontOf(this).defects, [defect]);
  },
);

When("the response to a caller is cut after its first part", async function (this: object) {
  const text = "GET /cut HTTP/1.1\r\nhost: x\r\n\r\n";
  scenarioState(this).set("response", await exchange(frontOf(this).address, text));
});

Then(
  "the caller's connection is closed without the final chunk of the response",
  function (this: object) {
    const response = scenarioState(this).get<string>("response");
    assert.match(response, /first part/);
    assert.doesNotMatch(response, /\r\n0\r\n\r\n$/);
  },
);

When(
  "a caller sends a request and disconnects before the front reads it",
  async function (this: object) {
    const [host, port] = frontOf(this).address.split(":");
    await new Promise<void>((resolve) => {
      const socket = connect(Number(port), host, () => {
        socket.end("GET /left HTTP/1.1\r\nhost: x\r\n\r\n");
      });
      socket.on("data", () => undefined);
      socket.on("error", () => undefined);
      socket.on("close", () => resolve());
    });
  },
);

Then("the front has handled no request", function (this: object) {
  assert.deepEqual(frontOf(this).handled, []);
});
