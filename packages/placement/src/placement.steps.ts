import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { computeLedgers } from "@linkfall/ledger";
import { engine, model, scenarioState, report } from "@linkfall/test-support";
import { type Engine, type Model, modelArtifact, type Resident } from "@linkfall/types";
import fc from "fast-check";
import { planPool } from "./plan.js";
import type { Move, Plan, PlanLimits, PoolView } from "./pool-view.js";

const mostSteps = 200;

/** Engines that carry out moves at once; a load is ready in the next step. */
class SmallPool {
  readonly residents = new Map<string, Resident[]>();
  readonly leaving = new Set<string>();
  readonly busy = new Map<string, number>();
  shares = new Map<string, number>();
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
        utilisation: this.busy.get(declared.name) ?? 0,
      })),
      models: this.models.map((entry) => ({
        model: entry,
        adapters: [],
        demandShare: this.shares.get(entry.name) ?? 0,
        coolingDown: false,
      })),
      limits: this.limits,
    };
  }

  plan(): Plan {
    return planPool(this.view());
  }

  carryOut(moves: readonly Move[]): void {
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

  /** Carries plans out until one is empty; `check` sees each state on the way. */
  settle(check: () => void = () => undefined): void {
    for (let step = 0; step < mostSteps; step++) {
      const { moves } = this.plan();
      if (moves.length === 0) return;
      for (const move of moves) {
        this.carryOut([move]);
        check();
      }
    }
    assert.fail("the plans never come to rest");
  }

  copies(name: string, version?: string): readonly { engine: string; artifact: string }[] {
    const start = version === undefined ? modelArtifact(name, "") : modelArtifact(name, version);
    return [...this.residents].flatMap(([engineName, list]) =>
      list
        .filter((resident) => resident.artifact.startsWith(start))
        .map((resident) => ({ engine: engineName, artifact: resident.artifact })),
    );
  }
}

const poolOf = (world: object) => scenarioState(world).get<SmallPool>("pool");

Given(
  "3 engines of 100 MB in 3 domains, and 6 models of 30 MB of which {string} wants 2 copies",
  function (this: object, name: string) {
    const engines = ["north", "south", "east"].map((domain, index) =>
      engine(`e${index + 1}`, { domain }),
    );
    const models = [0, 1, 2, 3, 4, 5].map((index) =>
      model(`m${index}`, { sizeMb: 30, minReplicas: `m${index}` === name ? 2 : 1 }),
    );
    scenarioState(this).set("pool", new SmallPool(engines, models));
  },
);

When("plans are carried out until nothing is left to do", function (this: object) {
  poolOf(this).settle();
});

Then(
  "every model is resident, and the copies of {string} are in different domains",
  function (this: object, name: string) {
    const small = poolOf(this);
    for (const { name: each } of small.models) assert.ok(small.copies(each).length >= 1, each);
    const engines = new Set(small.copies(name).map((copy) => copy.engine));
    assert.equal(engines.size, 2);
  },
);

Then("100 further plans hold no move", function (this: object) {
  for (let count = 0; count < 100; count++) assert.deepEqual(poolOf(this).plan().moves, []);
});

function changeVersion(small: SmallPool, name: string, version: string): void {
  small.models = small.models.map((entry) => (entry.name === name ? { ...entry, version } : entry));
}

When(
  "the version of {string} changes to {string}",
  function (this: object, name: string, version: string) {
    changeVersion(poolOf(this), name, version);
  },
);

Then(
  "at no step of the way is {string} without a ready copy, and at the end only version {string} is there",
  function (this: object, name: string, version: string) {
    const small = poolOf(this);
    small.settle(() => assert.ok(small.copies(name).length >= 1));
    assert.equal(small.copies(name, version).length, small.copies(name).length);
  },
);

When("engine {string} is leaving", function (this: object, name: string) {
  poolOf(this).leaving.add(name);
});

Then("every model is resident on the engines that stay", function (this: object) {
  const small = poolOf(this);
  // Two engines hold six models of 30 MB; the second copy of the one that wants two has no room.
  small.settle();
  for (const { name } of small.models) {
    const staying = small.copies(name).filter((copy) => !small.leaving.has(copy.engine));
    assert.ok(staying.length >= 1, name);
  }
});

Then(
  "for any sizes and any losses, no plan takes the last ready copy of a model or exceeds an accelerator",
  () => {
    const sizes = fc.array(fc.integer({ min: 5, max: 60 }), { minLength: 1, maxLength: 12 });
    const losses = fc.array(fc.integer({ min: 0, max: 3 }), { maxLength: 4 });
    fc.assert(
      fc.property(sizes, losses, (modelSizes, lost) => {
        const engines = [0, 1, 2, 3].map((index) =>
          engine(`e${index}`, { domain: `d${index % 2}` }),
        );
        const small = new SmallPool(
          engines,
          modelSizes.map((sizeMb, index) =>
            model(`m${index}`, { sizeMb, minReplicas: 1 + (index % 2) }),
          ),
        );
        const runSteps = (steps: number) => {
          for (let step = 0; step < steps; step++) {
            for (const move of small.plan().moves) {
              small.carryOut([move]);
              if (move.kind !== "unload") continue;
              const name = move.artifact.slice("model:".length, move.artifact.lastIndexOf("@"));
              assert.ok(small.copies(name).length > 0, `last copy of ${name}`);
            }
          }
        };
        runSteps(10);
        for (const index of lost) {
          small.residents.set(`e${index}`, []);
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
    const small = poolOf(this);
    changeVersion(small, name, version);
    small.limits = { ...small.limits, mayUnload: false };
  },
);

Then("no plan holds an unload", function (this: object) {
  const small = poolOf(this);
  for (let step = 0; step < 10; step++) {
    const { moves } = small.plan();
    assert.ok(moves.every((move) => move.kind !== "unload"));
    small.carryOut(moves);
  }
});

When("the engine of {string} is busy with it", function (this: object, name: string) {
  const small = poolOf(this);
  small.busy.set(small.copies(name)[0].engine, 2);
  small.shares = new Map([[name, 0.5]]);
});

Then(
  "the plan adds a copy of {string} at equal weights and none when moves weigh 200 times as much",
  function (this: object, name: string) {
    const small = poolOf(this);
    small.limits = { ...small.limits, demandMoveBudget: 1 };
    const [move] = small.plan().moves;
    assert.ok(move.kind === "load" && move.artifact === modelArtifact(name, "1"));
    assert.equal(move.cause, "demand");
    small.limits = { ...small.limits, movesWeight: 200 };
    assert.deepEqual(small.plan().moves, []);
  },
);
