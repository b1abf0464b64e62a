import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { computeLedgers } from "@linkfall/ledger";
import { engine, model, scenarioState, report } from "@linkfall/test-support";
import { type Engine, type Model, modelArtifact, type Resident } from "@linkfall/types";
import fc from "fast-check";
import { planPool } from "./plan.js";
import type { Move, Plan, PlanLimits, PoolView } from "./pool-view.js";

const maxSteps = 200;

/** A pool of simulated engines that execute moves immediately. */
class FakePool {
  readonly residents = new Map<string, Resident[]>();
  readonly leaving = new Set<string>();
  readonly utilisations = new Map<string, number>();
  demandShares = new Map<string, number>();
  limits: PlanLimits = {
    attainmentWeight: 1,
    movesWeight: 1,
    mayUnload: true,
    demandMoveBudget: 0,
  };

  constructor(
    readonly engines: readonly Engine[],
    public models: readonly Model[],
  ) {
    for (const { name } of engines) this.residents.set(name, []);
  }

  view(): PoolView {
    return {
      engines: this.engines.map((declared) => ({
        engine: declared,
        accelerators: computeLedgers(
          declared,
          report(declared.name, { residents: this.residents.get(declared.name) }),
          [],
        ),
        role: "mixed",
        roleChangePending: false,
        acceptsOrders: !this.leaving.has(declared.name),
        available: !this.leaving.has(declared.name),
        utilisation: this.utilisations.get(declared.name) ?? 0,
      })),
      models: this.models.map((entry) => ({
        model: entry,
        adapters: [],
        demandShare: this.demandShares.get(entry.name) ?? 0,
        coolingDown: false,
      })),
      limits: this.limits,
    };
  }

  plan(): Plan {
    return planPool(this.view());
  }

  execute(moves: readonly Move[]): void {
    for (const move of moves) {
      if (move.kind === "role") continue;
      const { engine: name, artifact, accelerator, sizeMb } = move;
      const list = this.residents.get(name) ?? [];
      const others = list.filter((resident) => resident.artifact !== artifact);
      const loaded: Resident = { artifact, accelerator, sizeMb, state: "ready" };
      this.residents.set(name, move.kind === "load" ? [...list, loaded] : others);
      const used = this.residents.get(name)?.reduce((sum, entry) => sum + entry.sizeMb, 0) ?? 0;
      const capacity = this.engines.find((entry) => entry.name === name)?.acceleratorsMb[0] ?? 0;
      assert.ok(used <= capacity, `${name} holds ${used} of ${capacity} MB`);
    }
  }

  /** Executes plans until one is empty; `check` runs after every move. */
  settle(check: () => void = () => undefined): void {
    for (let step = 0; step < maxSteps; step++) {
      const { moves } = this.plan();
      if (moves.length === 0) return;
      for (const move of moves) {
        this.execute([move]);
        check();
      }
    }
    assert.fail("plans still contain moves after the maximum number of steps");
  }

  copies(name: string, version?: string): readonly { engine: string; artifact: string }[] {
    const prefix = version === undefined ? modelArtifact(name, "") : modelArtifact(name, version);
    return [...this.residents].flatMap(([engineName, list]) =>
      list
        .filter((resident) => resident.artifact.startsWith(prefix))
        .map((resident) => ({ engine: engineName, artifact: resident.artifact })),
    );
  }
}

const poolOf = (world: object) => scenarioState(world).get<FakePool>("pool");

Given(
  "3 engines of 100 MB in 3 failure domains, and 6 models of 30 MB of which {string} needs 2 replicas",
  function (this: object, name: string) {
    const engines = ["north", "south", "east"].map((domain, index) =>
      engine(`e${index + 1}`, { domain }),
    );
    const models = [0, 1, 2, 3, 4, 5].map((index) =>
      model(`m${index}`, { sizeMb: 30, minReplicas: `m${index}` === name ? 2 : 1 }),
    );
    scenarioState(this).set("pool", new FakePool(engines, models));
  },
);

When("plans are executed until no moves are left", function (this: object) {
  poolOf(this).settle();
});

Then(
  "every model is resident, and the replicas of {string} are in different failure domains",
  function (this: object, name: string) {
    const pool = poolOf(this);
    for (const { name: modelName } of pool.models)
      assert.ok(pool.copies(modelName).length >= 1, modelName);
    const engines = new Set(pool.copies(name).map((copy) => copy.engine));
    assert.equal(engines.size, 2);
  },
);

Then("100 further plans contain no moves", function (this: object) {
  for (let count = 0; count < 100; count++) assert.deepEqual(poolOf(this).plan().moves, []);
});

function changeVersion(pool: FakePool, name: string, version: string): void {
  pool.models = pool.models.map((entry) => (entry.name === name ? { ...entry, version } : entry));
}

When(
  "the version of {string} changes to {string}",
  function (this: object, name: string, version: string) {
    changeVersion(poolOf(this), name, version);
  },
);

Then(
  "{string} has a ready replica after every move, and finally only version {string} is loaded",
  function (this: object, name: string, version: string) {
    const pool = poolOf(this);
    pool.settle(() => assert.ok(pool.copies(name).length >= 1));
    assert.equal(pool.copies(name, version).length, pool.copies(name).length);
  },
);

When("engine {string} is leaving", function (this: object, name: string) {
  poolOf(this).leaving.add(name);
});

Then("every model is resident on the remaining engines", function (this: object) {
  const pool = poolOf(this);
  // The remaining two engines fit six models of 30 MB, but not the second replica.
  pool.settle();
  for (const { name } of pool.models) {
    const remaining = pool.copies(name).filter((copy) => !pool.leaving.has(copy.engine));
    assert.ok(remaining.length >= 1, name);
  }
});

Then(
  "for random model sizes and engine losses no plan unloads the last ready replica of a model or exceeds an accelerator's memory",
  () => {
    const sizes = fc.array(fc.integer({ min: 5, max: 60 }), { minLength: 1, maxLength: 12 });
    const losses = fc.array(fc.integer({ min: 0, max: 3 }), { maxLength: 4 });
    fc.assert(
      fc.property(sizes, losses, (modelSizes, lostEngines) => {
        const engines = [0, 1, 2, 3].map((index) =>
          engine(`e${index}`, { domain: `d${index % 2}` }),
        );
        const pool = new FakePool(
          engines,
          modelSizes.map((sizeMb, index) =>
            model(`m${index}`, { sizeMb, minReplicas: 1 + (index % 2) }),
          ),
        );
        const runSteps = (steps: number) => {
          for (let step = 0; step < steps; step++) {
            for (const move of pool.plan().moves) {
              pool.execute([move]);
              if (move.kind !== "unload") continue;
              const name = move.artifact.slice("model:".length, move.artifact.lastIndexOf("@"));
              assert.ok(pool.copies(name).length > 0, `last copy of ${name}`);
            }
          }
        };
        runSteps(10);
        for (const index of lostEngines) {
          pool.residents.set(`e${index}`, []);
          runSteps(6);
        }
      }),
      { seed: 11, numRuns: 300 },
    );
  },
);

When(
  "the version of {string} changes to {string} while unloads are not allowed",
  function (this: object, name: string, version: string) {
    const pool = poolOf(this);
    changeVersion(pool, name, version);
    pool.limits = { ...pool.limits, mayUnload: false };
  },
);

Then("no plan contains an unload", function (this: object) {
  const pool = poolOf(this);
  for (let step = 0; step < 10; step++) {
    const { moves } = pool.plan();
    assert.ok(moves.every((move) => move.kind !== "unload"));
    pool.execute(moves);
  }
});

When(
  "the engine of {string} is saturated with its requests",
  function (this: object, name: string) {
    const pool = poolOf(this);
    pool.utilisations.set(pool.copies(name)[0].engine, 2);
    pool.demandShares = new Map([[name, 0.5]]);
  },
);

Then(
  "the plan adds a replica of {string} at equal weights and none when moves weigh 200 times as much",
  function (this: object, name: string) {
    const pool = poolOf(this);
    pool.limits = { ...pool.limits, demandMoveBudget: 1 };
    const [move] = pool.plan().moves;
    assert.ok(move.kind === "load" && move.artifact === modelArtifact(name, "1"));
    assert.equal(move.cause, "demand");
    pool.limits = { ...pool.limits, movesWeight: 200 };
    assert.deepEqual(pool.plan().moves, []);
  },
);
