import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { DeclaredModel } from "@linkfall/types";
import fc from "fast-check";
import {
  type AdapterDemand,
  type DemandView,
  type EngineView,
  planAdapters,
  type PlanInput,
  planMoves,
  usedMb,
  type WeightMove,
} from "./index.js";

const rules = {
  targetReplicaLoad: 0.5,
  horizonMs: 10_000,
  refusalWeight: 1,
  initialReplicaCostMs: 180,
};
/** Engine capacity that one running request uses. */
const loadPerRequest = 0.125;
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
  overrides: Partial<EngineView> = {},
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
    relativeSpeed: 1,
    ...overrides,
  };
}

/** The model with those of the adapters, as `model/adapter`, that are its own. */
function residentWith(name: string, adapters: string) {
  const own = splitNames(adapters).filter((key) => key.startsWith(`${name}/`));
  return { name, version: 1, adapters: own.map((key) => key.slice(name.length + 1)) };
}

interface Scene {
  models: Map<string, DeclaredModel>;
  engines: EngineView[];
  demand: Map<string, DemandView>;
  adapterDemand: AdapterDemand[];
  storeLoadBudget: number;
  observedMs: number;
}

const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const splitNames = (text: string) => text.split(" ");

function input({ models, engines, demand, observedMs, storeLoadBudget }: Scene): PlanInput {
  return {
    models,
    engines,
    demand,
    observedMs,
    storeLoadBudget,
    rules,
  };
}

const planOf = (world: object): readonly WeightMove[] => planMoves(input(sceneOf(world)));

Given("models {string} of 70 GB and engines of 220 GB", function (this: object, names: string) {
  scenes.set(this, {
    models: new Map(splitNames(names).map((name) => [name, model(name)])),
    engines: [],
    demand: new Map(),
    adapterDemand: [],
    storeLoadBudget: 10,
    observedMs: 120_000,
  });
});

Given("engine {string} holds {string}", function (this: object, id: string, held: string) {
  sceneOf(this).engines.push(engine(id, splitNames(held)));
});

Given(
  /^engine "([^"]*)" of version "([^"]*)" holds "([^"]*)"(?: and adapters "([^"]*)")?$/,
  function (
    this: object,
    id: string,
    softwareVersion: string,
    held: string,
    adapters: string | null,
  ) {
    const residents = splitNames(held).map((name) => residentWith(name, adapters ?? ""));
    sceneOf(this).engines.push(engine(id, splitNames(held), { softwareVersion, residents }));
  },
);

Given(
  "engine {string} holds {string} with {string} on disk",
  function (this: object, id: string, held: string, onDisk: string) {
    sceneOf(this).engines.push(
      engine(id, splitNames(held), {
        cachedOnDisk: new Set([...splitNames(held), ...splitNames(onDisk)]),
      }),
    );
  },
);

Given(
  "engine {string} holds {string} and has {int} running requests",
  function (this: object, id: string, held: string, inFlight: number) {
    sceneOf(this).engines.push(engine(id, splitNames(held), { inFlight }));
  },
);

Given(
  /^engine "([^"]*)" holds "([^"]*)" and takes ([\d.]+) requests? a second$/,
  function (this: object, id: string, held: string, perSecond: string) {
    const maxRequestsPerSecond = Number(perSecond);
    sceneOf(this).engines.push(engine(id, splitNames(held), { maxRequestsPerSecond }));
  },
);

Given(
  "engine {string} holds {string} and finishes a load from the store in {int} ms",
  function (this: object, id: string, held: string, availableInMs: number) {
    sceneOf(this).engines.push(
      engine(id, splitNames(held), { availableInMs, isLoadingFromStore: true }),
    );
  },
);

Given(
  "engine {string} holds {string} and finishes loading {string} from the store in {int} ms",
  function (this: object, id: string, held: string, loadingModel: string, availableInMs: number) {
    const overrides = { availableInMs, isLoadingFromStore: true, loadingModel };
    sceneOf(this).engines.push(engine(id, splitNames(held), overrides));
  },
);

Given(
  "engine {string} holds {string} and is busy for {int} ms",
  function (this: object, id: string, held: string, availableInMs: number) {
    sceneOf(this).engines.push(engine(id, splitNames(held), { availableInMs }));
  },
);

Given(
  "engine {string} holds {string} and adapters {string}",
  function (this: object, id: string, held: string, adapters: string) {
    const residents = splitNames(held).map((name) => residentWith(name, adapters));
    sceneOf(this).engines.push(engine(id, splitNames(held), { residents }));
  },
);

Given("the weight store allows {int} more loads", function (this: object, count: number) {
  sceneOf(this).storeLoadBudget = count;
});

function setDemand(world: object, name: string, part: Partial<DemandView>): void {
  const { demand, models } = sceneOf(world);
  const declared = models.get(name);
  assert.ok(declared);
  const engineLoad = (part.inFlight ?? 0) * loadPerRequest;
  demand.set(name, {
    model: declared,
    inFlight: 0,
    engineLoad,
    rate: 0,
    objectiveMs,
    waiting: 0,
    idleMs: 0,
    ...part,
  });
}

When(/^(\d+) requests? waits? for "(.*)"$/, function (this: object, waiting: string, name: string) {
  setDemand(this, name, { waiting: Number(waiting), inFlight: Number(waiting) });
});

When(
  "at version {string}, {int} request(s) wait(s) for {string}",
  function (this: object, version: string, waiting: number, name: string) {
    setDemand(this, name, { waitingAtVersion: new Map([[version, waiting]]) });
  },
);

When(
  "at version {string}, {int} request(s) wait(s) for adapter {string}",
  function (this: object, softwareVersion: string, waiting: number, key: string) {
    const [name, adapter] = key.split("/");
    sceneOf(this).adapterDemand.push({ model: name, adapter, softwareVersion, waiting });
  },
);

When(
  "{int} request(s) wait(s) for {string} with a latency objective of {int} ms",
  function (this: object, waiting: number, name: string, objectiveMs: number) {
    setDemand(this, name, { waiting, inFlight: waiting, objectiveMs });
  },
);

When(
  "{int} requests are running on {string}",
  function (this: object, inFlight: number, name: string) {
    setDemand(this, name, { inFlight });
  },
);

When(
  "{string} receives {float} requests per second",
  function (this: object, name: string, rate: number) {
    setDemand(this, name, { rate });
  },
);

When(
  /^(\d+) requests? waits? for adapter "(.*)\/(.*)"$/,
  function (this: object, waiting: string, name: string, adapter: string) {
    sceneOf(this).adapterDemand.push({ model: name, adapter, waiting: Number(waiting) });
  },
);

Then(
  /^engine "(.*)" swaps in "(.*)" from (memory|disk|store) for (one model|".*")$/,
  function (this: object, id: string, name: string, source: string, victims: string) {
    const move = planOf(this).find((planned) => planned.engine === id);
    assert.equal(move?.model, name);
    assert.equal(move.source, source);
    if (victims === "one model") assert.equal(move.victims.length, 1);
    else assert.deepEqual(move.victims, splitNames(victims.slice(1, -1)));
  },
);

When(
  "{int} requests per second for {string} are refused",
  function (this: object, rate: number, name: string) {
    setDemand(this, name, { rate, objectiveMs: 400 });
  },
);

When(
  "{string} runs {int} requests, and {int} per second are refused because its engine is busy",
  function (this: object, name: string, inFlight: number, refused: number) {
    setDemand(this, name, { inFlight, rate: refused, refused, objectiveMs: 500 });
  },
);

When(
  "{string} was last requested {int} ms ago with a latency objective of {int} ms",
  function (this: object, name: string, idleMs: number, objectiveMs: number) {
    setDemand(this, name, { idleMs, objectiveMs });
  },
);

Then("no move is planned on engine {string}", function (this: object, id: string) {
  assert.ok(!planOf(this).some((move) => move.engine === id));
});

Given("demand has been observed for {int} ms", function (this: object, ms: number) {
  sceneOf(this).observedMs = ms;
});

Then(
  "a load of {string} is planned and none of {string}",
  function (this: object, planned: string, absent: string) {
    const loads = planOf(this).map((move) => move.model);
    assert.ok(loads.includes(planned) && !loads.includes(absent), loads.join(" "));
  },
);

Then("no move is planned", function (this: object) {
  assert.deepEqual(planOf(this), []);
});

Then("{string} replaces one of {string}", function (this: object, name: string, victims: string) {
  const moves = planOf(this);
  assert.equal(moves.length, 1);
  assert.equal(moves[0].model, name);
  assert.ok(moves[0].victims.every((victim) => splitNames(victims).includes(victim)));
});

const adapterPlan = (world: object) => {
  const { engines, adapterDemand, models } = sceneOf(world);
  return planAdapters(engines, adapterDemand, models, () => 0);
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
  availableInMs: fc.constantFrom(0, 0, 0, 700),
});
const randomDemand = fc.record({
  name: fc.constantFrom(...names),
  inFlight: fc.nat(60),
  engineLoad: fc.double({ min: 0, max: 8, noNaN: true }),
  objectiveMs: fc.constantFrom(400, 5_000),
  rate: fc.nat(30),
  waiting: fc.nat(5),
  idleMs: fc.nat(20_000),
});

/** Applies a move to an engine. */
function applyMove(view: EngineView, move: WeightMove): EngineView {
  const kept = view.residents.filter((held) => !move.victims.includes(held.name));
  return { ...view, residents: [...kept, { name: move.model, version: 1, adapters: [] }] };
}

Then(
  "for random engines and demand no plan exceeds an engine's memory or evicts a model in use",
  () => {
    const models = new Map(names.map((name) => [name, model(name)]));
    const randomScenes = fc.tuple(
      fc.array(randomEngine, { minLength: 1, maxLength: 6 }),
      fc.array(randomDemand, { maxLength: 8 }),
      fc.nat(6),
    );
    fc.assert(
      fc.property(randomScenes, ([views, randomDemands, storeLoadBudget]) => {
        const engines = views.map(({ residents, onDisk, ...view }, index) =>
          engine(String(index), residents, { ...view, cachedOnDisk: new Set(onDisk) }),
        );
        const initial = engines.map((view, index) => ({
          ...view,
          residents: views[index].residents.map((name) => ({ name, version: 1, adapters: [] })),
        }));
        const demand = new Map(
          randomDemands.map(({ name, ...part }) => [name, { model: model(name), ...part }]),
        );
        const moves = planMoves({
          engines: initial,
          demand,
          models,
          observedMs: 10_000,
          storeLoadBudget,
          rules,
        });
        const loads = moves.filter((move) => move.source === "store");
        assert.ok(loads.length <= storeLoadBudget);
        const final = initial.map((view) => {
          const move = moves.find((planned) => planned.engine === view.id);
          if (!move) return view;
          assert.equal(view.availableInMs, 0);
          const updated = applyMove(view, move);
          assert.ok(usedMb(updated, models) <= memoryMb);
          return updated;
        });
        for (const [name, { waiting }] of demand) {
          const wasLoaded = initial.some((view) =>
            view.residents.some((held) => held.name === name),
          );
          const isLoaded = final.some((view) => view.residents.some((held) => held.name === name));
          if (wasLoaded && waiting > 0)
            assert.ok(isLoaded, `${name} was evicted while requests wait for it`);
        }
      }),
      { seed: 11, numRuns: 500 },
    );
  },
);
