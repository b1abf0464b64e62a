import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, sleep, type VirtualClock } from "@linkfall/kernel";
import { createGracefulShutdown, type GracefulShutdown } from "./planned-stop.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly shutdown: GracefulShutdown;
  readonly startedAt: number;
  handOverMs: number;
  openRequests: number;
  requestEndedAt?: number;
  cutAt?: number;
  exitAt?: number;
}

const stepMs = 10;
const maxRunMs = 20_000;
/** Time in which a caller takes the answer to a request that is cut. */
const takingMs = 30;

const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

Given("a shutdown with a grace period of {int} ms", function (this: object, graceMs: number) {
  const clock = createVirtualClock();
  const shutdown = createGracefulShutdown(clock, {
    callers: { max_header_bytes: 1_024, entries_lifetime_ms: 1_500 },
    stop: { grace_ms: graceMs },
  });
  scenes.set(this, { clock, shutdown, startedAt: clock.now(), handOverMs: 0, openRequests: 0 });
});

When("the shutdown began {int} ms ago", async function (this: object, ms: number) {
  const { clock, shutdown, startedAt } = sceneOf(this);
  shutdown.begin();
  await clock.runUntil(startedAt + ms);
});

Then(
  /^a request with an objective of (\d+) ms and a time limit of (\d+) ms is (taken|not taken)$/,
  function (this: object, objectiveMs: string, timeLimitMs: string, outcome: string) {
    const { clock, shutdown } = sceneOf(this);
    const request = {
      route: { objectiveMs: Number(objectiveMs) },
      deadlineAt: clock.now() + Number(timeLimitMs),
    };
    assert.equal(shutdown.accepts(request), outcome === "taken");
  },
);

Given("handing over takes {int} ms", function (this: object, ms: number) {
  sceneOf(this).handOverMs = ms;
});

/** Opens a request that ends after the time. */
function openRequest(scene: Scene, tookMs: number): void {
  const { clock } = scene;
  scene.openRequests += 1;
  clock.after(tookMs, () => {
    scene.openRequests -= 1;
    scene.requestEndedAt = clock.now();
  });
}

/** Runs the shutdown to its end; `onHandOver` is called when the box first hands over. */
async function finish(scene: Scene, onHandOver: () => void): Promise<void> {
  const { clock, shutdown } = scene;
  let hasHandedOver = false;
  shutdown.begin();
  const finished = shutdown.finish({
    front: {
      idleMs: () => Infinity,
      readArrived: () => Promise.resolve(),
      close: () => Promise.resolve(),
      cutOpenRequests() {
        if (scene.openRequests === 0) return;
        scene.cutAt = clock.now();
        clock.after(takingMs, () => void (scene.openRequests = 0));
      },
    },
    openRequests: () => scene.openRequests,
    handOver() {
      if (!hasHandedOver) onHandOver();
      hasHandedOver = true;
      return sleep(clock, scene.handOverMs);
    },
    onCut: () => undefined,
  });
  void finished.then(() => (scene.exitAt = clock.now()));
  while (scene.exitAt === undefined && clock.now() - scene.startedAt < maxRunMs)
    await clock.runUntil(clock.now() + stepMs);
}

When("the box finishes", function (this: object) {
  return finish(sceneOf(this), () => undefined);
});

When(
  /^the box finishes, and a request that takes (\d+) ms comes (\d+) ms after (the hand-over has begun|its begin)$/,
  function (this: object, tookMs: string, afterMs: string, what: string) {
    const scene = sceneOf(this);
    const open = () => scene.clock.after(Number(afterMs), () => openRequest(scene, Number(tookMs)));
    if (what === "its begin") open();
    return finish(scene, () => {
      if (what !== "its begin") open();
    });
  },
);

Then("the box may exit once that request has ended, and none was cut", function (this: object) {
  const { exitAt, requestEndedAt, cutAt } = sceneOf(this);
  assert.ok(exitAt !== undefined && requestEndedAt !== undefined);
  assert.ok(exitAt >= requestEndedAt);
  assert.equal(cutAt, undefined);
});

function assertExit({ exitAt = Infinity, startedAt }: Scene, maxMs: number): void {
  assert.ok(exitAt - startedAt <= maxMs, `${exitAt - startedAt} ms`);
}

Then(
  "the box may exit after at most {int} ms, and none was cut",
  function (this: object, maxMs: number) {
    assertExit(sceneOf(this), maxMs);
    assert.equal(sceneOf(this).cutAt, undefined);
  },
);

Then(
  "that request was cut between {int} and {int} ms, and the box may exit after at most {int} ms",
  function (this: object, fromMs: number, toMs: number, maxMs: number) {
    const scene = sceneOf(this);
    const cutAfterMs = (scene.cutAt ?? Infinity) - scene.startedAt;
    assert.ok(cutAfterMs >= fromMs && cutAfterMs <= toMs, `${cutAfterMs} ms`);
    assertExit(scene, maxMs);
  },
);
