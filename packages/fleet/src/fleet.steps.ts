import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { clockName, createKernel, createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { loggerName, recordingLogger } from "@linkfall/logger";
import type { EngineState, EngineInventory, ListedTarget, Milliseconds } from "@linkfall/types";
import fc from "fast-check";
import { createFleet, type Fleet, hasModelLoaded } from "./index.js";

interface Scene {
  readonly clock: VirtualClock;
  readonly fleet: Fleet;
}

const scenes = new WeakMap<object, Scene>();
const service = "s";
const stepMs = 100;

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

function listed(id: string, leaving = false, born?: Milliseconds): ListedTarget {
  return { id, born, service, address: `10.0.0.1:${id.length}`, domain: "d", slots: 4, leaving };
}

function holding(born: Milliseconds | undefined, sequence: number, model: string): EngineInventory {
  return { born, sequence, models: [{ name: model, version: 1, adapters: [] }] };
}

function stateOf(holdings: EngineInventory): EngineState {
  const idle = { busy: false, waiting: 0, running: 0, cacheTokensUsed: 0 };
  const weights = { inMemory: new Set<string>(), onDisk: new Set<string>(), adaptersComing: [] };
  return { ...holdings, ...idle, ...weights, limit: { kind: "none" } };
}

const words = (text: string) => text.split(" ");

type Word = typeof randomWord extends fc.Arbitrary<infer Value> ? Value : never;

function newFleet(): Scene {
  const clock = createVirtualClock();
  const kernel = createKernel();
  kernel.provide(clockName, clock);
  kernel.provide(
    loggerName,
    recordingLogger(() => undefined),
  );
  const fleet = createFleet(kernel, {
    lapse: { graceMs: 1_600, minShare: 0.3 },
    ejection: { consecutiveFailures: 3, initialMs: 1_000, maxMs: 8_000 },
  });
  return { clock, fleet };
}

Given("a fleet with targets {string} of one service", function (this: object, ids: string) {
  const scene = newFleet();
  scene.fleet.applyList(words(ids).map((id) => listed(id)));
  scenes.set(this, scene);
});

When("{string} is listed as leaving", function (this: object, id: string) {
  sceneOf(this).fleet.applyEntry(listed(id, true));
});

When("{string} is listed as ready", function (this: object, id: string) {
  sceneOf(this).fleet.applyEntry(listed(id));
});

When("the entry of {string} goes", function (this: object, id: string) {
  sceneOf(this).fleet.removeEntry(id);
});

async function pass(world: object, ms: number, storeDisturbed: boolean): Promise<void> {
  const { clock, fleet } = sceneOf(world);
  const end = clock.now() + ms;
  while (clock.now() < end) {
    await clock.runUntil(Math.min(end, clock.now() + stepMs));
    fleet.expireMissing(storeDisturbed);
  }
}

When("{int} ms pass", function (this: object, ms: number) {
  return pass(this, ms, false);
});

When("{int} ms pass without the store", function (this: object, ms: number) {
  return pass(this, ms, true);
});

When(
  "{string} asks to be left alone for {int} ms",
  function (this: object, id: string, ms: number) {
    sceneOf(this).fleet.backOff(id, ms);
  },
);

When("each target asks to be left alone for {int} ms", function (this: object, ms: number) {
  const { fleet } = sceneOf(this);
  for (const { listed } of fleet.all()) fleet.backOff(listed.id, ms);
});

When("{string} fails {int} times", function (this: object, id: string, times: number) {
  for (let index = 0; index < times; index++) sceneOf(this).fleet.recordFailure(id, "test");
});

When("nobody listens at {string}", function (this: object, id: string) {
  sceneOf(this).fleet.recordUnreachable(id, "test");
});

When(
  "{string} says after {int} orders that it holds {string}",
  function (this: object, id: string, sequence: number, model: string) {
    const models = [{ name: model, version: 1, adapters: [] }];
    sceneOf(this).fleet.applyRelayedHoldings(id, { sequence, models });
  },
);

When(
  "{string} is about to be dropped at {string}",
  function (this: object, model: string, id: string) {
    sceneOf(this).fleet.setWithheldModels(new Map([[id, [model]]]));
  },
);

When(
  "{string} refuses {string} for {int} ms",
  function (this: object, id: string, model: string, ms: number) {
    sceneOf(this).fleet.recordModelRefusal(id, model, ms);
  },
);

When("{string} denies {string}", function (this: object, id: string, model: string) {
  sceneOf(this).fleet.recordModelRefusal(id, model);
});

Then("{string} may get requests", function (this: object, ids: string) {
  const usable = sceneOf(this).fleet.usableTargets(service);
  assert.deepEqual(
    usable.map((belief) => belief.listed.id),
    words(ids),
  );
});

function believed(world: object, id: string, model: string): boolean {
  const { fleet, clock } = sceneOf(world);
  const belief = fleet.find(id);
  assert.ok(belief);
  return hasModelLoaded(belief, model, undefined, clock.now());
}

Then(
  "{string} is believed to hold {string} and not {string}",
  function (this: object, id: string, held: string, other: string) {
    assert.ok(believed(this, id, held));
    assert.ok(!believed(this, id, other));
  },
);

Then("{string} is believed to hold {string}", function (this: object, id: string, model: string) {
  assert.ok(believed(this, id, model));
});

Then(
  "{string} is believed not to hold {string}",
  function (this: object, id: string, model: string) {
    assert.ok(!believed(this, id, model));
  },
);

Given(
  "{string} of life {int} says after {int} orders that it holds {string}",
  function (this: object, id: string, born: number, sequence: number, model: string) {
    sceneOf(this).fleet.applyRelayedHoldings(id, holding(born, sequence, model));
  },
);

When(
  "{string} answers with life {int} and {int} orders that it holds {string}",
  function (this: object, id: string, born: number, sequence: number, model: string) {
    sceneOf(this).fleet.applyState(id, stateOf(holding(born, sequence, model)), 0);
  },
);

When("{string} is listed with life {int}", function (this: object, id: string, born: number) {
  sceneOf(this).fleet.applyEntry(listed(id, false, born));
});

When(
  "{string} is listed as leaving with life {int}",
  function (this: object, id: string, born: number) {
    sceneOf(this).fleet.applyEntry(listed(id, true, born));
  },
);

When("the entries of {string} can't be read", function (this: object, ids: string) {
  for (const id of words(ids)) sceneOf(this).fleet.excludeUnreadable(id);
});

/** One word about the target of a random history. */
const randomWord = fc.record({
  kind: fc.constantFrom("list", "own_word", "told"),
  /** For a word that another box tells: how many lives and orders old it is at most. */
  livesAgo: fc.nat(3),
  ordersAgo: fc.nat(3),
  /** What happens at the target before. */
  before: fc.constantFrom("nothing", "order", "restart"),
});

/** Plays a history, later births counting as later lives; returns what is believed in the end and what is true. */
async function playHistory(
  words: readonly Word[],
): Promise<readonly [EngineInventory, EngineInventory]> {
  const { fleet, clock } = newFleet();
  const lives: EngineInventory[][] = [[holding(1_000, 0, "m0")]];
  const last = () => lives[lives.length - 1][lives[lives.length - 1].length - 1];
  fleet.applyList([listed("t", false, 1_000)]);
  const say = ({ kind, livesAgo, ordersAgo }: Word) => {
    if (kind === "list") return fleet.applyEntry(listed("t", false, last().born));
    if (kind === "own_word") return fleet.applyState("t", stateOf(last()), 0);
    const life = lives[Math.max(0, lives.length - 1 - livesAgo)];
    fleet.applyRelayedHoldings("t", life[Math.max(0, life.length - 1 - ordersAgo)]);
  };
  for (const word of words) {
    const { born = 0, sequence } = last();
    if (word.before === "order") {
      lives[lives.length - 1].push(holding(born, sequence + 1, `m${lives.length}-${sequence + 1}`));
    }
    if (word.before === "restart") lives.push([holding(born + 1_000, 0, `m${lives.length}`)]);
    await clock.runUntil(clock.now() + 1);
    const known = fleet.find("t")?.born ?? 0;
    say(word);
    assert.ok((fleet.find("t")?.born ?? 0) >= known, "an earlier life came back");
  }
  await clock.runUntil(clock.now() + 1);
  fleet.applyState("t", stateOf(last()), 0);
  const belief = fleet.find("t");
  assert.ok(belief);
  return [belief.holdings, last()];
}

Then(
  "of {int} random histories each ends with what the last life of the target says",
  async (numRuns: number) => {
    const history = fc.asyncProperty(fc.array(randomWord, { maxLength: 12 }), async (words) => {
      const [believedHoldings, truth] = await playHistory(words);
      assert.deepEqual(believedHoldings, truth);
    });
    await fc.assert(history, { seed: 32, numRuns });
  },
);
