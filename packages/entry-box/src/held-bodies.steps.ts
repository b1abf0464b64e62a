import assert from "node:assert/strict";
import { request } from "node:http";
import { connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createHeldBytes, type HeldBytes } from "@linkfall/held-bytes";
import { seededRandom, systemClock } from "@linkfall/kernel";
import { freeAddresses } from "@linkfall/stand-ins";
import { scenarioState } from "@linkfall/test-support";
import { createFront, type Front, respondLocally } from "./front.js";
import { boundForTest } from "./bound-for-test.steps.js";

interface Answer {
  readonly status: number;
  readonly retryAfter?: string;
  readonly ms: number;
}

interface HeldFront {
  readonly address: string;
  readonly front: Front;
  readonly held: HeldBytes;
  handledBodies: number;
  maxHeldBytes: number;
}

const timeLimitMs = 10_000;
const fronts: Front[] = [];
const sockets: Socket[] = [];
const answeredStatus = 200;
const settlingMs = 100;
const partBytes = 10_000;
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));
const heldBytesOf = ({ held }: HeldFront) =>
  Object.values(held.summary().bytes).reduce((sum, kind) => sum + kind);

After({ name: "held-bodies" }, () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const front of fronts.splice(0)) {
    front.close();
    front.closeAll();
  }
});

Given(
  "a front with a bound of {int} held bytes whose handler takes {int} ms",
  async function (this: object, maxBytes: number, handlerMs: number) {
    const clock = systemClock();
    const [address] = await freeAddresses(1);
    const held = createHeldBytes(clock, seededRandom(1), maxBytes);
    const front = createFront({
      address,
      maxHeaderBytes: 16_384,
      clock,
      timeLimitMs: () => timeLimitMs,
      onBodyRejected: () => undefined,
      boundConnections: (server, onMalformed) => boundForTest(server, systemClock(), onMalformed),
      onConnection: () => undefined,
      limits: () => undefined,
      isClosing: () => false,
      held,
      onDefect: () => undefined,
      async handle({ body, sink }) {
        state.maxHeldBytes = Math.max(state.maxHeldBytes, heldBytesOf(state));
        if (body.length > 0) state.handledBodies += 1;
        await sleep(handlerMs);
        respondLocally(sink, answeredStatus);
      },
    });
    const state: HeldFront = { address, front, held, handledBodies: 0, maxHeldBytes: 0 };
    fronts.push(front);
    await front.listen();
    scenarioState(this).set("heldFront", state);
  },
);

const frontOf = (world: object) => scenarioState(world).get<HeldFront>("heldFront");

function send(address: string, bytes: number, framing: string): Promise<Answer> {
  const startedAt = performance.now();
  const [host, port] = address.split(":");
  const headers = framing === "length" ? { "Content-Length": bytes } : {};
  return new Promise((resolve) => {
    const sent = request({ host, port, method: "POST", path: "/", headers, agent: false });
    let answered = false;
    sent.once("response", (response) => {
      answered = true;
      response.resume();
      const retryAfter = response.headers["retry-after"];
      const ms = performance.now() - startedAt;
      resolve({ status: response.statusCode ?? 0, retryAfter, ms });
    });
    // A refused caller may see a reset while it still sends.
    sent.on("error", () => {
      if (!answered) resolve({ status: 0, ms: performance.now() - startedAt });
    });
    for (let left = bytes; left > 0; left -= partBytes)
      sent.write(Buffer.alloc(Math.min(left, partBytes)));
    sent.end();
  });
}

When(
  /^(\d+) callers send bodies of (\d+) bytes framed by (.+), beside (\d+) requests without a body$/,
  async function (this: object, callers: string, bytes: string, framing: string, others: string) {
    const { address } = frontOf(this);
    const bodies = Array.from({ length: Number(callers) }, () =>
      send(address, Number(bytes), framing),
    );
    const empty = Array.from({ length: Number(others) }, () => send(address, 0, "length"));
    scenarioState(this).set("bodies", await Promise.all(bodies));
    scenarioState(this).set("empty", await Promise.all(empty));
  },
);

Then(
  "at most {int} of the bodies were handled, at least {int}, and the others were refused with 503 and a Retry-After",
  function (this: object, max: number, min: number) {
    const { handledBodies } = frontOf(this);
    assert.ok(handledBodies >= min && handledBodies <= max, `${handledBodies} were handled`);
    const answers = scenarioState(this).get<Answer[]>("bodies");
    const refused = answers.filter(({ status }) => status !== answeredStatus);
    assert.equal(answers.length - refused.length, handledBodies);
    for (const { status, retryAfter } of refused) {
      assert.equal(status, 503);
      assert.ok(Number(retryAfter) > 0, `Retry-After ${retryAfter}`);
    }
    const slowestMs = Math.max(...refused.map(({ ms }) => ms));
    console.log(`${handledBodies} handled, refused within ${slowestMs.toFixed(0)} ms`);
  },
);

Then(
  "the requests without a body were all answered within {int} ms",
  function (this: object, maxMs: number) {
    for (const { status, ms } of scenarioState(this).get<Answer[]>("empty")) {
      assert.equal(status, answeredStatus);
      assert.ok(ms <= maxMs, `${ms} ms`);
    }
  },
);

Then("at most {int} bytes were held", function (this: object, maxBytes: number) {
  const { maxHeldBytes } = frontOf(this);
  console.log(`${maxHeldBytes} bytes held`);
  assert.ok(maxHeldBytes <= maxBytes, `${maxHeldBytes} bytes`);
});

When(
  /^one more caller sends a body of (\d+) bytes framed by (.+)$/,
  async function (this: object, bytes: string, framing: string) {
    const answer = await send(frontOf(this).address, Number(bytes), framing);
    scenarioState(this).set("oneMore", answer);
  },
);

When(
  "{int} callers announce bodies of {int} bytes and send {int} bytes of them",
  async function (this: object, callers: number, announced: number, sent: number) {
    const [host, port] = frontOf(this).address.split(":");
    for (let index = 0; index < callers; index++) {
      const socket = connect(Number(port), host);
      socket.on("error", () => undefined);
      sockets.push(socket);
      socket.write(`POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ${announced}\r\n\r\n`);
      socket.write(Buffer.alloc(sent));
    }
    await sleep(settlingMs);
  },
);

async function assertAnswered(world: object, restBytes: number): Promise<void> {
  assert.equal(scenarioState(world).get<Answer>("oneMore").status, answeredStatus);
  await sleep(settlingMs);
  assert.equal(heldBytesOf(frontOf(world)), restBytes);
}

Then("it is answered, and nothing is held afterwards", function (this: object) {
  return assertAnswered(this, 0);
});

Then(
  "it is answered, and nothing is held afterwards but {int} bytes",
  function (this: object, restBytes: number) {
    return assertAnswered(this, restBytes);
  },
);
