import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, seededRandom, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createTargetCapacities } from "@linkfall/target-capacity";
import { createEngineSpeeds, type EngineSpeeds } from "./index.js";

interface SpeedScene {
  readonly clock: VirtualClock;
  readonly holder: EngineSpeeds;
  readonly engines: readonly string[];
  readonly slow: ReadonlySet<string>;
}

const intervalMs = 30;
const createSpeeds = (clock: VirtualClock) =>
  createEngineSpeeds(createTargetCapacities(clock, { serviceOf: () => "llm" }));
const sceneOf = (world: object) => scenarioState(world).get<SpeedScene>("engine speeds");

Given(
  "{int} engines of which {int} decode at half speed",
  function (this: object, count: number, slowCount: number) {
    const engines = Array.from({ length: count }, (_, index) => `e${index + 1}`);
    const clock = createVirtualClock();
    const holder = createSpeeds(clock);
    const slow = new Set(slowCount === 0 ? [] : engines.slice(-slowCount));
    scenarioState(this).set("engine speeds", { clock, holder, engines, slow } satisfies SpeedScene);
  },
);

async function reportStreams(world: object, boxes: number, longOf: string | undefined) {
  const { clock, holder, engines, slow } = sceneOf(world);
  const random = seededRandom(7);
  for (let box = 0; box < boxes; box++) {
    const own = createSpeeds(clock);
    for (const target of engines) {
      const base = intervalMs * (slow.has(target) ? 2 : 1);
      const gaps = Array.from({ length: 10 }, (_, index) =>
        target === longOf && index < 2 ? 900 : base * (0.9 + 0.2 * random.nextFloat()),
      );
      own.recordStream({ target, kind: "decode", concurrency: 4 }, gaps);
    }
    holder.merge(`b${box}`, own.takeObservations());
    await clock.runUntil(clock.now() + 100);
  }
}

When("{int} boxes each report one stream of each engine", function (this: object, boxes: number) {
  return reportStreams(this, boxes, undefined);
});

When(
  "{int} boxes each report one stream of each engine, with 2 long intervals of 10 on engine 1",
  function (this: object, boxes: number) {
    return reportStreams(this, boxes, "e1");
  },
);

When("a stream with {int} intervals ends", function (this: object, count: number) {
  const gaps = Array.from({ length: count }, () => intervalMs);
  sceneOf(this).holder.recordStream({ target: "e1", kind: "decode", concurrency: 1 }, gaps);
});

Then("no observation is reported", function (this: object) {
  assert.deepEqual(sceneOf(this).holder.takeObservations(), []);
});

Then(
  /^the (slow|other) engines have a speed between ([\d.]+) and ([\d.]+)$/,
  function (this: object, which: string, min: string, max: string) {
    const { holder, engines, slow } = sceneOf(this);
    for (const engine of engines.filter((id) => slow.has(id) === (which === "slow"))) {
      const speed = holder.relativeSpeed(engine);
      assert.ok(speed >= Number(min) && speed <= Number(max), `${engine}: ${speed}`);
    }
  },
);

When("another box applies the speeds", function (this: object) {
  const { clock, holder } = sceneOf(this);
  const other = createSpeeds(clock);
  other.applyRecords("holder", holder.recordsSince(0));
  scenarioState(this).set("other box", other);
});

Then("that box knows the slow engines", function (this: object) {
  const other = scenarioState(this).get<EngineSpeeds>("other box");
  for (const engine of sceneOf(this).slow) assert.ok(other.relativeSpeed(engine) < 0.7);
});
