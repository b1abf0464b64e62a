import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { DeclaredModel } from "@linkfall/types";
import fc from "fast-check";
import {
  type AdapterDemand,
  type EngineView,
  type DemandView,
  planAdapters,
  planMoves,
  type PlanInput,
  usedMb,
  type WeightMove,
} from "./index.js";

const rules = { loadOfReplica: 0.5, horizonMs: 10_000 };
/** What one request at work takes of an engine here. */
const loadOfRequest = 0.125;
const objectiveMs = 500;
const modelMb = 70_000;
const memoryMb = 220_000;

function model(name: string): DeclaredModel {
  return {
    name,
    memoryMb: modelMb,
    loadFromMemoryMs: 400,
    loadFromDiskMs: 800,
    loadFromStoreMs: 4_000,
    adapterMb: 60,
  };
}

function engine(
  id: string,
  residents: readonly string[],
  more: Partial<EngineView> = {},
): EngineView {
  return {
    id,
    domain: "",
    memoryMb,
    adapterSlots: 4,
    residents: residents.map((name) => ({ name, version: 1, adapters: [] })),
    loadingAdapters: [],
    cachedInMemory: new Set(),
    cachedOnDisk: new Set(residents),
    availableInMs: 0,
    isLoadingFromStore: false,
    inFlight: 0,
    ...more,
  };
}

interface Scene {
  models: Map<string, DeclaredModel>;
  engines: EngineView[];
  needs: Map<string, DemandView>;
  adapterNeeds: AdapterDemand[];
  storeLoadsLeft: number;
  watchedMs: number;
}

const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const known = scenes.get(world);
  assert.ok(known);
  return known;
}

const words = (text: string) => text.split(" ");

function input({ models, engines, needs, watchedMs, storeLoadsLeft }: Scene): PlanInput {
  return {
    models,
    engines,
    demand: needs,
    observedMs: watchedMs,
    storeLoadBudget: storeLoadsLeft,
    rules,
  };
}

const planOf = (world: object): readonly WeightMove[] => planMoves(input(sceneOf(world)));

Given("models {string} of 70 GB and engines of 220 GB", function (this: object, names: string) {
  scenes.set(this, {
    models: new Map(words(names).map((name) => [name, model(name)])),
    engines: [],
    needs: new Map(),
    adapterNeeds: [],
    storeLoadsLeft: 10,
    watchedMs: 120_000,
  });
});

Given("engine {string} holds {string}", function (this: object, id: string, held: string) {
  sceneOf(this).engines.push(engine(id, words(held)));
});

Given(
  "engine {string} holds {string} with {string} on disk",
  function (this: object, id: string, held: string, onDisk: string) {
    sceneOf(this).engines.push(
      engine(id, words(held), { cachedOnDisk: new Set([...words(held), ...words(onDisk)]) }),
    );
  },
);

Given(
  "engine {string} holds {string} and has {int} requests at work",
  function (this: object, id: string, held: string, inFlight: number) {
    sceneOf(this).engines.push(engine(id, words(held), { inFlight }));
  },
);

Given(
  /^engine "([^"]*)" holds "([^"]*)" and takes ([\d.]+) requests? a second$/,
  function (this: object, id: string, held: string, perSecond: string) {
    const takesPerSecond = Number(perSecond);
    sceneOf(this).engines.push(engine(id, words(held), { maxRequestsPerSecond: takesPerSecond }));
  },
);

Given(
  "engine {string} holds {string} and loads from the store for {int} ms",
  function (this: object, id: string, held: string, freeInMs: number) {
    sceneOf(this).engines.push(
      engine(id, words(held), { availableInMs: freeInMs, isLoadingFromStore: true }),
    );
  },
);

Given(
  "engine {string} holds {string} and loads {string} from the store for {int} ms",
  function (this: object, id: string, held: string, incoming: string, freeInMs: number) {
    const more = { freeInMs, loadsFromStore: true, incoming };
    sceneOf(this).engines.push(engine(id, words(held), more));
  },
);

Given(
  "engine {string} holds {string} and is free in {int} ms",
  function (this: object, id: string, held: string, freeInMs: number) {
    sceneOf(this).engines.push(engine(id, words(held), { availableInMs: freeInMs }));
  },
);

Given(
  "engine {string} holds {string} and adapters {string}",
  function (this: object, id: string, held: string, adapters: string) {
    const residents = words(held).map((name) => ({
      name,
      version: 1,
      adapters: words(adapters).flatMap((key) =>
        key.startsWith(`${name}/`) ? [key.slice(name.length + 1)] : [],
      ),
    }));
    sceneOf(this).engines.push(engine(id, words(held), { residents }));
  },
);

Given("the weight store permits {int} more loads", function (this: object, left: number) {
  sceneOf(this).storeLoadsLeft = left;
});

function need(world: object, name: string, part: Partial<DemandView>): void {
  const { needs, models } = sceneOf(world);
  const declared = models.get(name);
  assert.ok(declared);
  const load = (part.inFlight ?? 0) * loadOfRequest;
  needs.set(name, {
    model: declared,
    inFlight: 0,
    engineLoad: load,
    rate: 0,
    objectiveMs,
    waiting: 0,
    idleMs: 0,
    ...part,
  });
}

When(/^(\d+) requests? waits? for "(.*)"$/, function (this: object, waiting: string, name: string) {
  need(this, name, { waiting: Number(waiting), inFlight: Number(waiting) });
});

When(
  "{int} request(s) wait(s) for {string}, to begin within {int} ms",
  function (this: object, waiting: number, name: string, objective: number) {
    need(this, name, { waiting, inFlight: waiting, objectiveMs: objective });
  },
);

When(
  "{int} requests are at work on {string}",
  function (this: object, inFlight: number, name: string) {
    need(this, name, { inFlight });
  },
);

When(
  "{string} is asked for {float} times a second",
  function (this: object, name: string, rate: number) {
    need(this, name, { rate });
  },
);

When(
  /^(\d+) requests? waits? for adapter "(.*)\/(.*)"$/,
  function (this: object, waiting: string, name: string, adapter: string) {
    sceneOf(this).adapterNeeds.push({ model: name, adapter, waiting: Number(waiting) });
  },
);

Then(
  /^engine "(.*)" swaps in "(.*)" from (memory|disk|store) for (one model|".*")$/,
  function (this: object, id: string, name: string, source: string, victims: string) {
    const move = planOf(this).find((planned) => planned.engine === id);
    assert.equal(move?.model, name);
    assert.equal(move.source, source);
    if (victims === "one model") assert.equal(move.victims.length, 1);
    else assert.deepEqual(move.victims, words(victims.slice(1, -1)));
  },
);

When(
  "{int} requests a second for {string} are refused",
  function (this: object, rate: number, name: string) {
    need(this, name, { rate, objectiveMs: 400 });
  },
);

When(
  "{string} was asked for {int} ms ago, to begin within {int} ms",
  function (this: object, name: string, idleMs: number, objective: number) {
    need(this, name, { idleMs, objectiveMs: objective });
  },
);

Then("engine {string} is left as it is", function (this: object, id: string) {
  assert.ok(!planOf(this).some((move) => move.engine === id));
});

Given("demand was watched for {int} ms", function (this: object, ms: number) {
  sceneOf(this).watchedMs = ms;
});

Then(
  "{string} is planned and {string} is not",
  function (this: object, planned: string, left: string) {
    const loads = planOf(this).map((move) => move.model);
    assert.ok(loads.includes(planned) && !loads.includes(left), loads.join(" "));
  },
);

Then("nothing is planned", function (this: object) {
  assert.deepEqual(planOf(this), []);
});

Then(
  "{string} takes the place of one of {string}",
  function (this: object, name: string, victims: string) {
    const moves = planOf(this);
    assert.equal(moves.length, 1);
    assert.equal(moves[0].model, name);
    assert.ok(moves[0].victims.every((victim) => words(victims).includes(victim)));
  },
);

const adapterPlan = (world: object) => {
  const { engines, adapterNeeds, models } = sceneOf(world);
  return planAdapters(engines, adapterNeeds, models, () => 0);
};

Then(
  "adapter {string} is loaded on engine {string}",
  function (this: object, key: string, id: string) {
    const [name, adapter] = key.split("/");
    assert.deepEqual(adapterPlan(this), [{ engine: id, action: "load", model: name, adapter }]);
  },
);

Then("an idle adapter is unloaded on engine {string}", function (this: object, id: string) {
  const [move] = adapterPlan(this);
  assert.equal(move.engine, id);
  assert.equal(move.action, "unload");
});

const names = ["a", "b", "c", "d", "e", "f", "g", "h"];
const randomEngine = fc.record({
  residents: fc.uniqueArray(fc.constantFrom(...names), { maxLength: 3 }),
  onDisk: fc.uniqueArray(fc.constantFrom(...names), { maxLength: 6 }),
  inFlight: fc.nat(80),
  freeInMs: fc.constantFrom(0, 0, 0, 700),
});
const randomNeed = fc.record({
  name: fc.constantFrom(...names),
  inFlight: fc.nat(60),
  load: fc.double({ min: 0, max: 8, noNaN: true }),
  objectiveMs: fc.constantFrom(400, 5_000),
  rate: fc.nat(30),
  waiting: fc.nat(5),
  idleMs: fc.nat(20_000),
});

/** What an engine holds after a move. */
function after(view: EngineView, move: WeightMove): EngineView {
  const kept = view.residents.filter((held) => !move.victims.includes(held.name));
  return { ...view, residents: [...kept, { name: move.model, version: 1, adapters: [] }] };
}

Then(
  "for random engines and demands every plan keeps the engines' memory and the models in use",
  () => {
    const models = new Map(names.map((name) => [name, model(name)]));
    const scenesOf = fc.tuple(
      fc.array(randomEngine, { minLength: 1, maxLength: 6 }),
      fc.array(randomNeed, { maxLength: 8 }),
      fc.nat(6),
    );
    fc.assert(
      fc.property(scenesOf, ([views, wanted, storeLoadsLeft]) => {
        const engines = views.map(({ residents, onDisk, ...view }, index) =>
          engine(String(index), residents, { ...view, cachedOnDisk: new Set(onDisk) }),
        );
        const placed = engines.map((view, index) => ({
          ...view,
          residents: views[index].residents.map((name) => ({ name, version: 1, adapters: [] })),
        }));
        const needs = new Map(
          wanted.map(({ name, ...part }) => [name, { model: model(name), ...part }]),
        );
        const moves = planMoves({
          engines: placed,
          demand: needs,
          models,
          observedMs: 10_000,
          storeLoadBudget: storeLoadsLeft,
          rules,
        });
        const loads = moves.filter((move) => move.source === "store");
        assert.ok(loads.length <= storeLoadsLeft);
        const left = placed.map((view) => {
          const move = moves.find((planned) => planned.engine === view.id);
          if (!move) return view;
          assert.equal(view.availableInMs, 0);
          const then = after(view, move);
          assert.ok(usedMb(then, models) <= memoryMb);
          return then;
        });
        for (const [name, { waiting }] of needs) {
          const had = placed.some((view) => view.residents.some((held) => held.name === name));
          const has = left.some((view) => view.residents.some((held) => held.name === name));
          if (had && waiting > 0) assert.ok(has, `${name} was dropped while requests wait for it`);
        }
      }),
      { seed: 11, numRuns: 500 },
    );
  },
);
