import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, seededRandom, type VirtualClock } from "@linkfall/kernel";
import { createDispatchQueue, type DispatchDecision, type DispatchQueue } from "./index.js";
import { knownCapacities } from "./known-capacities.steps.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly queue: DispatchQueue;
  readonly engines: readonly string[];
  readonly decisions: DispatchDecision[];
  /** First events of granted streams: expected objective and actual time. */
  readonly firsts: { objectiveMs: number; firstMs: number }[];
  /** Time for which each engine has read. */
  readonly readMs: Map<string, number>;
}

const scenes = new WeakMap<object, Scene>();
const tokensPerMs = 38;
const slots = 64;
const oneWayMs = 2;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

interface Asked {
  readonly parts: readonly { id: string; tokens: number }[];
  readonly engines?: readonly string[];
  readonly stream?: boolean;
  readonly objectiveMs?: number;
  readonly timeLeftMs?: number;
}

let lastPart = 0;
const newPart = (tokens: number) => [{ id: `part${(lastPart += 1)}`, tokens }];

function submit(scene: Scene, asked: Asked, decide = (_: DispatchDecision): void => undefined) {
  const { parts, engines, stream = true, objectiveMs = 2_000, timeLeftMs = 10_000 } = asked;
  scene.queue.submit(
    {
      service: "s",
      kind: "chat",
      box: "b1",
      priority: 0,
      objectiveMs,
      objectiveLeftMs: objectiveMs,
      timeLeftMs,
      stream,
      candidates: (engines ?? scene.engines).map((target) => ({ target, slots, sameDomain: true })),
      prompt: { weights: "m", parts, tokens: parts.reduce((sum, { tokens }) => sum + tokens, 0) },
    },
    (decision) => {
      scene.decisions.push(decision);
      decide(decision);
    },
  );
}

const lastDecision = (scene: Scene) => {
  const decision = scene.decisions.at(-1);
  assert.ok(decision);
  return decision;
};

Given("{int} engines", function (this: object, count: number) {
  const clock = createVirtualClock();
  const specs = Array.from({ length: count }, () => ({ slots, speed: 1, slowBeyond: Infinity }));
  const queue = createDispatchQueue(
    clock,
    seededRandom(1),
    knownCapacities(specs, 1 / tokensPerMs),
    { accountWeights: new Map() },
  );
  const engines = specs.map((_, index) => `t${index + 1}`);
  scenes.set(this, { clock, queue, engines, decisions: [], firsts: [], readMs: new Map() });
});

When(
  "engine {string} is granted a prompt of {int} tokens",
  function (this: object, engine: string, tokens: number) {
    submit(sceneOf(this), { parts: newPart(tokens), engines: [engine] });
  },
);

When(
  "{int} prompts of {int} tokens are submitted for any engine",
  function (this: object, count: number, tokens: number) {
    for (let index = 0; index < count; index++) submit(sceneOf(this), { parts: newPart(tokens) });
  },
);

When(
  /^a prompt with the parts "(.*)" is submitted for (any engine|engine "(.*)")$/,
  function (this: object, text: string, engine: string | undefined) {
    const parts = text.split(" ").map((part) => {
      const [id, tokens] = part.split(":");
      return { id, tokens: Number(tokens) };
    });
    submit(sceneOf(this), { parts, engines: engine ? [engine] : undefined });
  },
);

When("the last prompt has been read after {int} ms", async function (this: object, ms: number) {
  const scene = sceneOf(this);
  const decision = lastDecision(scene);
  assert.ok(decision.kind === "granted");
  await scene.clock.runUntil(scene.clock.now() + ms);
  scene.queue.firstBytes(decision.place, ms);
});

When(
  /^a (stream|response) of (\d+) tokens with an objective of (\d+) ms and (\d+) ms left is submitted$/,
  function (this: object, kind: string, tokens: string, objective: string, left: string) {
    submit(sceneOf(this), {
      parts: newPart(Number(tokens)),
      stream: kind === "stream",
      objectiveMs: Number(objective),
      timeLeftMs: Number(left),
    });
  },
);

/** Reads prompts one after the other, at each engine. */
function arrive(scene: Scene, freeAt: Map<string, number>, tokens: number, objectiveMs: number) {
  const { clock, queue } = scene;
  const askedAt = clock.now();
  submit(scene, { parts: newPart(tokens), objectiveMs }, (decision) => {
    if (decision.kind === "rejected") return;
    const { target, place } = decision;
    const sentAt = clock.now() + oneWayMs;
    const ownReadMs = tokens / tokensPerMs;
    const readAt = Math.max(sentAt, freeAt.get(target) ?? 0) + ownReadMs;
    freeAt.set(target, readAt);
    scene.readMs.set(target, (scene.readMs.get(target) ?? 0) + ownReadMs);
    const firstMs = readAt - sentAt;
    clock.after(readAt - clock.now(), () => {
      scene.firsts.push({ objectiveMs, firstMs: clock.now() - askedAt });
      clock.after(oneWayMs, () => queue.firstBytes(place, firstMs));
      clock.after(500, () =>
        queue.end({ place, result: "served", firstMs, ms: firstMs + 500, events: 100 }),
      );
    });
  });
}

When(
  "streams of {int} tokens on average with an objective of {int} ms arrive at twice the capacity for {int} s",
  { timeout: 60_000 },
  async function (this: object, tokens: number, objectiveMs: number, seconds: number) {
    const scene = sceneOf(this);
    const { clock, engines } = scene;
    const random = seededRandom(1);
    const freeAt = new Map<string, number>();
    const gapMs = tokens / tokensPerMs / engines.length / 2;
    const endMs = seconds * 1_000;
    const next = () => {
      clock.after(-Math.log(1 - random.nextFloat()) * gapMs, () => {
        if (clock.now() >= endMs) return;
        arrive(scene, freeAt, Math.round(tokens * (0.5 + random.nextFloat())), objectiveMs);
        next();
      });
    };
    next();
    await clock.runUntil(endMs + 5_000);
  },
);

Then(
  "the last {int} grants are for engine {string}",
  function (this: object, count: number, engine: string) {
    for (const decision of sceneOf(this).decisions.slice(-count)) {
      assert.ok(decision.kind === "granted", decision.kind);
      assert.equal(decision.target, engine);
    }
  },
);

Then("the first event is expected within {int} ms", function (this: object, ms: number) {
  const decision = lastDecision(sceneOf(this));
  assert.ok(decision.kind === "granted" && decision.expectedMs <= ms, JSON.stringify(decision));
});

Then(
  "it is rejected, to be retried after {int} to {int} ms",
  function (this: object, least: number, most: number) {
    const decision = lastDecision(sceneOf(this));
    assert.ok(decision.kind === "rejected", decision.kind);
    const { retryAfterMs } = decision;
    assert.ok(retryAfterMs >= least && retryAfterMs <= most, `${retryAfterMs} ms`);
  },
);

Then(
  "{float} of the granted streams begin within their objective",
  function (this: object, expected: number) {
    const { firsts } = sceneOf(this);
    const within = firsts.filter(({ firstMs, objectiveMs }) => firstMs <= objectiveMs).length;
    console.log(`\nstreams: ${(within / firsts.length).toFixed(3)} of ${firsts.length} in time`);
    assert.ok(within / firsts.length >= expected, `${within} of ${firsts.length}`);
  },
);

Then("the engines read during {float} of the time", function (this: object, expected: number) {
  const { readMs, engines } = sceneOf(this);
  const total = [...readMs.values()].reduce((sum, ms) => sum + ms, 0);
  assert.ok(total / engines.length / 5_000 >= expected, `${total} ms`);
});
