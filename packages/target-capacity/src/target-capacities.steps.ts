import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { type FakeTarget, knownCapacities, runLoad, type Served } from "./fake-service.steps.js";
import { createTargetCapacities, type TargetCapacities } from "./index.js";

interface Sample {
  readonly atMs: number;
  readonly speeds: ReadonlyMap<string, number>;
  readonly useful: ReadonlyMap<string, number>;
}

interface Scene {
  targets: FakeTarget[];
  observers: number;
  observerDelayMs: (observer: number, now: number) => number;
  perSecond: number;
  durationMs: number;
  readonly runs: { served: readonly Served[]; samples: readonly Sample[] }[];
}

const sceneOf = (world: object) => scenarioState(world).get<Scene>("targets under load");
const seeds = [1, 2, 3];
const sampleMs = 20;
const workMs = 100;
const slowBelow = 0.7;
const shown = (values: readonly number[]) => values.map((value) => value.toFixed(3)).join(" ");

Given(
  /^targets with speeds ([\d., ]+) and (\d+) slots each$/,
  function (this: object, speeds: string, slots: string) {
    const targets = speeds.split(",").map((speed, index) => ({
      id: `t${index}`,
      slots: Number(slots),
      speed: () => Number(speed),
    }));
    scenarioState(this).set("targets under load", {
      targets,
      observers: 6,
      observerDelayMs: () => 0,
      perSecond: 0,
      durationMs: 0,
      runs: [],
    });
  },
);

/** Divides the speed of a target while a condition holds. */
function slowDown(
  scene: Scene,
  id: string,
  factor: number,
  applies: (now: number, running: number) => boolean,
): void {
  scene.targets = scene.targets.map((target) =>
    target.id !== id
      ? target
      : {
          ...target,
          speed: (now, running) =>
            target.speed(now, running) / (applies(now, running) ? factor : 1),
        },
  );
}

Given(
  "target {string} is {float} times slower from {int} s to {int} s",
  function (this: object, id: string, factor: number, from: number, to: number) {
    slowDown(sceneOf(this), id, factor, (now) => now >= from * 1000 && now < to * 1000);
  },
);

Given(
  "target {string} is {float} times slower for {int} ms of every {int} ms",
  function (this: object, id: string, factor: number, slowMs: number, periodMs: number) {
    slowDown(sceneOf(this), id, factor, (now) => now % periodMs < slowMs);
  },
);

Given(
  "the speed of target {string} halves beyond a concurrency of {int}",
  function (this: object, id: string, concurrency: number) {
    slowDown(sceneOf(this), id, 2, (_now, running) => running > concurrency);
  },
);

Given(
  "observer {int} of {int} measures {int} ms more from {int} s to {int} s",
  function (this: object, slow: number, count: number, ms: number, from: number, to: number) {
    const scene = sceneOf(this);
    scene.observers = count;
    scene.observerDelayMs = (observer, now) =>
      observer === slow && now >= from * 1000 && now < to * 1000 ? ms : 0;
  },
);

function takeSamples(clock: VirtualClock, capacities: TargetCapacities, { targets }: Scene) {
  const samples: Sample[] = [];
  const sample = () => {
    samples.push({
      atMs: clock.now(),
      speeds: new Map(targets.map(({ id }) => [id, capacities.relativeSpeed(id)])),
      useful: new Map(
        targets.map(({ id, slots }) => [id, capacities.usefulConcurrency(id, slots)]),
      ),
    });
    clock.after(sampleMs, sample);
  };
  sample();
  return samples;
}

When(
  "requests arrive at {float} of the capacity for {int} s",
  { timeout: 60_000 },
  async function (this: object, share: number, seconds: number) {
    const scene = sceneOf(this);
    const capacity = scene.targets.reduce(
      (sum, { slots, speed }) => sum + (slots * 1000 * speed(-1, 1)) / workMs,
      0,
    );
    Object.assign(scene, { perSecond: share * capacity, durationMs: seconds * 1000 });
    for (const seed of seeds) {
      const clock = createVirtualClock();
      const capacities = createTargetCapacities(clock);
      const samples = takeSamples(clock, capacities, scene);
      const served = await runLoad(clock, capacities, { ...scene, seed });
      scene.runs.push({ served, samples });
    }
  },
);

const shareWithin = (served: readonly Served[], ms: number) =>
  served.filter((one) => one.ms <= ms).length / served.length;

Then(
  "at least {float} of what a queue that knows the speeds serves within {int} ms is served within it",
  { timeout: 60_000 },
  async function (this: object, least: number, ms: number) {
    const scene = sceneOf(this);
    const shares: number[] = [];
    const known: number[] = [];
    for (const [index, seed] of seeds.entries()) {
      const clock = createVirtualClock();
      const capacities = knownCapacities(clock, scene.targets);
      known.push(shareWithin(await runLoad(clock, capacities, { ...scene, seed }), ms));
      shares.push(shareWithin(scene.runs[index].served, ms));
    }
    console.log(`within ${ms} ms: ${shown(shares)}; with known speeds: ${shown(known)}`);
    for (const [index, share] of shares.entries()) assert.ok(share >= least * known[index]);
  },
);

const between = (from: number, to: number, at: number) => at >= from * 1000 && at < to * 1000;

Then(
  "at least {float} of the requests from {int} s to {int} s are served within {int} ms",
  function (this: object, least: number, from: number, to: number, ms: number) {
    const shares = sceneOf(this).runs.map(({ served }) =>
      shareWithin(
        served.filter((one) => between(from, to, one.arrivedAt)),
        ms,
      ),
    );
    console.log(`within ${ms} ms from ${from} s to ${to} s: ${shown(shares)}`);
    for (const share of shares) assert.ok(share >= least);
  },
);

Then(
  "target {string} looks slow for at most {float} of the time from {int} s to {int} s",
  function (this: object, id: string, most: number, from: number, to: number) {
    const shares = sceneOf(this).runs.map(({ samples }) => {
      const all = samples.filter(({ atMs }) => between(from, to, atMs));
      return all.filter(({ speeds }) => (speeds.get(id) ?? 1) < slowBelow).length / all.length;
    });
    console.log(`part of the time in which ${id} looks slow: ${shown(shares)}`);
    for (const share of shares) assert.ok(share <= most);
  },
);

const speedAt = (samples: readonly Sample[], id: string, atMs: number) =>
  samples.find((sample) => sample.atMs >= atMs)?.speeds.get(id) ?? NaN;

Then(
  "target {string} looks slow {int} ms after {int} s",
  function (this: object, id: string, afterMs: number, second: number) {
    for (const { samples } of sceneOf(this).runs) {
      assert.ok(speedAt(samples, id, second * 1000 + afterMs) < slowBelow);
    }
  },
);

Then(
  "target {string} no longer looks slow {int} ms after {int} s",
  function (this: object, id: string, withinMs: number, second: number) {
    const delays = sceneOf(this).runs.map(({ samples }) => {
      const slow = samples.filter(
        ({ atMs, speeds }) => atMs >= second * 1000 && (speeds.get(id) ?? 1) < slowBelow,
      );
      return (slow.at(-1)?.atMs ?? second * 1000) - second * 1000;
    });
    console.log(`ms until ${id} no longer looks slow: ${delays.join(" ")}`);
    for (const delayMs of delays) assert.ok(delayMs < withinMs);
  },
);

Then(
  "no target looks slow from {int} s to {int} s",
  function (this: object, from: number, to: number) {
    const least = sceneOf(this).runs.map(({ samples }) =>
      Math.min(
        ...samples
          .filter(({ atMs }) => between(from, to, atMs))
          .flatMap(({ speeds }) => [...speeds.values()]),
      ),
    );
    console.log(`least relative speed: ${shown(least)}`);
    for (const speed of least) assert.ok(speed >= slowBelow);
  },
);

Then(
  "the useful concurrency of target {string} is {int} in {float} of the time from {int} s to {int} s, and never above {int}",
  function (
    this: object,
    id: string,
    expected: number,
    least: number,
    from: number,
    to: number,
    most: number,
  ) {
    for (const { samples } of sceneOf(this).runs) {
      const values = samples
        .filter(({ atMs }) => between(from, to, atMs))
        .map(({ useful }) => useful.get(id) ?? 0);
      const share = values.filter((value) => value === expected).length / values.length;
      console.log(`${id} at ${expected}: ${share.toFixed(3)}, at most ${Math.max(...values)}`);
      assert.ok(share >= least);
      assert.ok(Math.max(...values) <= most);
    }
  },
);
