import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "./clock.js";

interface Scene {
  readonly server: ChildProcess;
  readonly port: number;
  readonly calls: number;
  answered: number;
}

const scenes = new WeakMap<object, Scene>();
const fired = new WeakMap<object, boolean>();

/** Answers each connection's first bytes after a time. */
const serverCode = (afterMs: number) => `
  const server = require("node:net").createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => setTimeout(() => socket.write("answer"), ${afterMs}));
  });
  server.listen(0, "127.0.0.1", () => console.log(server.address().port));`;

function blockEventLoop(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

After({ name: "clock" }, function (this: object) {
  scenes.get(this)?.server.kill();
});

Given(
  "a server in another process that answers {int} calls after {int} ms",
  async function (this: object, calls: number, afterMs: number) {
    const server = spawn(process.execPath, ["-e", serverCode(afterMs)]);
    const [line] = (await once(server.stdout, "data")) as [Buffer];
    scenes.set(this, { server, port: Number(line.toString()), calls, answered: 0 });
  },
);

When(
  "calls with a limit of {int} ms are made and a turn of the event loop takes {int} ms",
  async function (this: object, limitMs: number, turnMs: number) {
    const scene = scenes.get(this);
    assert.ok(scene);
    const clock = systemClock();
    const sockets = Array.from({ length: scene.calls }, () => connect(scene.port, "127.0.0.1"));
    await Promise.all(sockets.map((socket) => once(socket, "connect")));
    const ends = sockets.map(
      (socket) =>
        new Promise<boolean>((resolve) => {
          socket.once("data", () => resolve(true));
          clock.after(limitMs, () => resolve(false));
          socket.write("call");
        }),
    );
    setImmediate(() => blockEventLoop(turnMs));
    scene.answered = (await Promise.all(ends)).filter(Boolean).length;
    for (const socket of sockets) socket.destroy();
  },
);

Then("all {int} calls are answered", function (this: object, calls: number) {
  assert.equal(scenes.get(this)?.answered, calls);
});

When(
  "a timer of {int} ms is cancelled in the turn in which it fires {int} ms late",
  async function (this: object, delayMs: number, lateMs: number) {
    const clock = systemClock();
    const cancel = clock.after(delayMs, () => fired.set(this, true));
    // A plain timer that is due later runs in the same turn, behind it.
    setTimeout(cancel, delayMs + 1);
    blockEventLoop(delayMs + lateMs);
    await new Promise((resolve) => setTimeout(resolve, lateMs));
  },
);

Then("it has not fired", function (this: object) {
  assert.ok(!fired.get(this));
});
