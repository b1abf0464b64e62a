import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "./clock.js";

interface Scene {
  readonly server: ChildProcess;
  readonly port: number;
  readonly requests: number;
  responses: number;
}

const scenes = new WeakMap<object, Scene>();
const fired = new WeakMap<object, boolean>();

/** Code of a server that responds to the first bytes of each connection after a delay. */
const serverCode = (delayMs: number) => `
  const server = require("node:net").createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => setTimeout(() => socket.write("answer"), ${delayMs}));
  });
  server.listen(0, "127.0.0.1", () => console.log(server.address().port));`;

function blockEventLoop(ms: number): void {
  const endsAt = performance.now() + ms;
  while (performance.now() < endsAt);
}

After({ name: "clock" }, function (this: object) {
  scenes.get(this)?.server.kill();
});

Given(
  "a server in another process that responds to {int} requests after {int} ms",
  async function (this: object, requests: number, delayMs: number) {
    const server = spawn(process.execPath, ["-e", serverCode(delayMs)]);
    const [line] = (await once(server.stdout, "data")) as [Buffer];
    scenes.set(this, { server, port: Number(line.toString()), requests, responses: 0 });
  },
);

When(
  "requests with a timeout of {int} ms are sent and the event loop is blocked for {int} ms",
  async function (this: object, timeoutMs: number, blockedMs: number) {
    const scene = scenes.get(this);
    assert.ok(scene);
    const clock = systemClock();
    const sockets = Array.from({ length: scene.requests }, () => connect(scene.port, "127.0.0.1"));
    await Promise.all(sockets.map((socket) => once(socket, "connect")));
    const results = sockets.map(
      (socket) =>
        new Promise<boolean>((resolve) => {
          socket.once("data", () => resolve(true));
          clock.after(timeoutMs, () => resolve(false));
          socket.write("call");
        }),
    );
    setImmediate(() => blockEventLoop(blockedMs));
    scene.responses = (await Promise.all(results)).filter(Boolean).length;
    for (const socket of sockets) socket.destroy();
  },
);

Then("all {int} requests get a response", function (this: object, requests: number) {
  assert.equal(scenes.get(this)?.responses, requests);
});

When(
  "a timer of {int} ms is cancelled in the event loop iteration in which it expires {int} ms late",
  async function (this: object, delayMs: number, lateMs: number) {
    const clock = systemClock();
    const cancel = clock.after(delayMs, () => fired.set(this, true));
    // A plain timer that is due later runs in the same iteration, after the first one.
    setTimeout(cancel, delayMs + 1);
    blockEventLoop(delayMs + lateMs);
    await new Promise((resolve) => setTimeout(resolve, lateMs));
  },
);

When(
  /^a timer of (\S+) ms runs for (\d+) ms and is cancelled$/,
  async function (this: object, delayMs: string, runMs: string) {
    const cancel = systemClock().after(Number(delayMs), () => fired.set(this, true));
    await new Promise((resolve) => setTimeout(resolve, Number(runMs)));
    cancel();
  },
);

Then("the timer has not fired", function (this: object) {
  assert.ok(!fired.get(this));
});
