import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { createPlannedDemand, type PlannedDemand } from "./planned-demand.js";

interface DemandWorld {
  readonly clock: VirtualClock;
  readonly planned: PlannedDemand;
}

const worldOf = (world: object) => scenarioState(world).get<DemandWorld>("planned demand");

Given(
  "a box that sends its demand to the lease holder at 0, 400 and 800 ms",
  async function (this: object) {
    const clock = createVirtualClock();
    const planned = createPlannedDemand(clock);
    for (const [index, at] of [0, 400, 800].entries()) {
      await clock.runUntil(at);
      planned.recordHeartbeat(index + 1);
    }
    scenarioState(this).set("planned demand", { clock, planned });
  },
);

When(
  "a report at {int} ms says that heartbeat {int} has been planned",
  async function (this: object, at: number, beat: number) {
    const { clock, planned } = worldOf(this);
    await clock.runUntil(at);
    planned.recordPlanned(beat);
  },
);

When(
  "a report at {int} ms does not say which heartbeat has been planned",
  async function (this: object, at: number) {
    const { clock, planned } = worldOf(this);
    await clock.runUntil(at);
    planned.recordPlanned(undefined);
  },
);

Then("loads are planned for demand up to {int} ms", function (this: object, at: number) {
  assert.equal(worldOf(this).planned.decidedAt(), at);
});
