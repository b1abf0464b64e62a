import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { InvariantBroken } from "@linkfall/errors";
import { engine, scenarioState, report } from "@linkfall/test-support";
import type { EngineRole, LoadOrder, Order } from "@linkfall/types";
import { assertMemoryAvailable, computeLedgers } from "./index.js";

const declared = engine("e1");
const head = { id: "o1", engine: "e1", engineIncarnation: "e1-1", epoch: 1, cause: "reachability" };
const load = (sizeMb: number): LoadOrder => ({
  ...head,
  kind: "load",
  artifact: "model:b@1",
  accelerator: 0,
  sizeMb,
});

Given("an engine of 100 MB that reports 40 MB in use", function (this: object) {
  const resident = { artifact: "model:a@1", accelerator: 0, sizeMb: 40, state: "ready" } as const;
  scenarioState(this).set("report", report("e1", { residents: [resident] }));
  scenarioState(this).set("open", []);
});

When("a load of 30 MB has been ordered and is not in the report yet", function (this: object) {
  scenarioState(this).set("open", [load(30)]);
});

When("its resident has been ordered to go", function (this: object) {
  const unload: Order = { ...load(40), kind: "unload", artifact: "model:a@1" };
  scenarioState(this).set("open", [unload]);
});

When(
  "the role {string} has been ordered, which takes 20 MB",
  function (this: object, role: EngineRole) {
    scenarioState(this).set("open", [{ ...head, kind: "role", role }]);
  },
);

Then("{int} MB are free", function (this: object, free: number) {
  const [ledger] = computeLedgers(
    declared,
    scenarioState(this).get("report"),
    scenarioState(this).get("open"),
  );
  assert.equal(ledger.freeMb, free);
});

Then(
  "giving an order to load {int} MB stops with the invariant {string}",
  function (this: object, sizeMb: number, name: string) {
    assert.throws(
      () => assertMemoryAvailable(load(sizeMb), declared, scenarioState(this).get("report"), []),
      (problem) => problem instanceof InvariantBroken && problem.invariant === name,
    );
  },
);
