import assert from "node:assert/strict";
import { type ChildProcess, fork } from "node:child_process";
import { on } from "node:events";
import { createServer, type AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { PeerUnreachable } from "@linkfall/errors";
import type { PlaceGrant } from "@linkfall/fragile-targets";
import { systemClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import type { Either } from "purify-ts";
import { createPeerClient, createRelayDialler } from "./index.js";

interface OpenCalls {
  readonly child: ChildProcess;
  readonly place: Promise<Either<PeerUnreachable, PlaceGrant>>;
  readonly exchangeClosed: Promise<string>;
  stoppedAt: number;
}

const callTimeoutMs = 10_000;
const longTimeout = { timeout: 20_000 };
const openState = "open calls";
const callsOf = (world: object) => scenarioState(world).get<OpenCalls>(openState);
const closers: (() => unknown)[] = [];
After({ name: "stopped-box" }, () => {
  for (const close of closers.splice(0)) close();
});

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

Given(
  "a box process that answers no call for a place and keeps a relayed exchange open",
  longTimeout,
  async function (this: object) {
    const address = await freeAddress();
    const program = fileURLToPath(new URL("./unanswering-box.test.js", import.meta.url));
    const child = fork(program, [address]);
    const clock = systemClock();
    const client = createPeerClient(clock, callTimeoutMs, () => undefined);
    const dialler = createRelayDialler(clock);
    closers.push(() => child.kill("SIGKILL"), client.close, dialler.close);

    const arrived = new Set<unknown>();
    for await (const [message] of on(child, "message")) {
      arrived.add(message);
      if (message !== "listening") {
        if (arrived.size === 3) return;
        continue;
      }
      const stream = dialler.dial(address);
      const exchangeClosed = new Promise<string>((resolve) =>
        stream.listen({ onFrame: () => undefined, onClosed: resolve }),
      );
      stream.write(Buffer.of(1));
      const place = client.place(address, {} as never);
      const calls: OpenCalls = { child, place, exchangeClosed, stoppedAt: Infinity };
      scenarioState(this).set(openState, calls);
    }
  },
);

When("the process closes its server and ends", function (this: object) {
  const calls = callsOf(this);
  calls.stoppedAt = performance.now();
  calls.child.kill("SIGTERM");
});

Then(
  "the call for a place has failed within {int} ms, and may have arrived",
  longTimeout,
  async function (this: object, maxMs: number) {
    const { place, stoppedAt } = callsOf(this);
    const problem = (await place).swap().unsafeCoerce();
    const failedAfterMs = performance.now() - stoppedAt;
    assert.ok(failedAfterMs <= maxMs, `${Math.round(failedAfterMs)} ms`);
    assert.equal(problem.mayHaveArrived, true);
  },
);

Then(
  "the relayed exchange has been closed within {int} ms",
  longTimeout,
  async function (this: object, maxMs: number) {
    const { exchangeClosed, stoppedAt } = callsOf(this);
    await exchangeClosed;
    const closedAfterMs = performance.now() - stoppedAt;
    assert.ok(closedAfterMs <= maxMs, `${Math.round(closedAfterMs)} ms`);
  },
);
