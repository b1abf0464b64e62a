import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { InvariantBroken } from "@linkfall/errors";
import { engine, scenarioState, report } from "@linkfall/test-support";
import type { EngineRole, LoadOrder, Order } from "@linkfall/types";
import { assertMemoryAvailable, computeLedgers } from "./index.js";

const declaredEngine = engine("e1");
const orderFields = {
  id: "o1",
  engine: "e1",
  engineIncarnation: "e1-1",
  epoch: 1,
  cause: "reachability",
};
const load = (sizeMb: number): LoadOrder => ({
  ...orderFields,
  kind: "load",
  artifact: "model:b@1",
  accelerator: 0,
  sizeMb,
});

Given("an engine of 100 MB that reports 40 MB in use", function (this: object) {
  const resident = { artifact: "model:a@1", accelerator: 0, sizeMb: 40, state: "ready" } as const;
  scenarioState(this).set("report", report("e1", { residents: [resident] }));
  scenarioState(this).set("openOrders", []);
});

When("a load of 30 MB has been ordered and is not in the report yet", function (this: object) {
  scenarioState(this).set("openOrders", [load(30)]);
});

When("an unload of its resident has been ordered", function (this: object) {
  const unload: Order = { ...load(40), kind: "unload", artifact: "model:a@1" };
  scenarioState(this).set("openOrders", [unload]);
});

When(
  "a change to the role {string} has been ordered, which reserves 20 MB",
  function (this: object, role: EngineRole) {
    scenarioState(this).set("openOrders", [{ ...orderFields, kind: "role", role }]);
  },
);

Then("{int} MB are free", function (this: object, freeMb: number) {
  const [ledger] = computeLedgers(
    declaredEngine,
    scenarioState(this).get("report"),
    scenarioState(this).get("openOrders"),
  );
  assert.equal(ledger.freeMb, freeMb);
});

Then(
  "ordering a load of {int} MB violates the invariant {string}",
  function (this: object, sizeMb: number, name: string) {
    assert.throws(
      () =>
        assertMemoryAvailable(load(sizeMb), declaredEngine, scenarioState(this).get("report"), []),
      (error) => error instanceof InvariantBroken && error.invariant === name,
    );
  },
);
