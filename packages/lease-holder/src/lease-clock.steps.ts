import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import type { Lease } from "@linkfall/state-fold";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { createLeaseClock, type LeaseClock } from "./lease-clock.js";

const lease: Lease = {
  pool: "p",
  epoch: 1,
  holder: "b@1",
  leaseMs: 1_000,
  touched: 1,
  released: false,
};
const delayMs = fc.integer({ min: 0, max: 5_000 });

Then(
  "for any delays of sending and reading, the lease has not expired for a competing box while it is valid for the holder",
  () => {
    fc.assert(
      fc.property(delayMs, delayMs, delayMs, delayMs, (sentAt, appendMs, readMs, waitMs) => {
        const holder = createLeaseClock();
        const competitor = createLeaseClock();
        holder.recordSent(lease.epoch, sentAt);
        const readAt = sentAt + appendMs + readMs;
        competitor.recordRead(lease, readAt);
        const now = readAt + waitMs;
        assert.ok(!(holder.isHeld(lease, now) && competitor.hasExpired(lease, 0, now)));
      }),
      { seed: 3, numRuns: 1_000 },
    );
  },
);

Given("a lease of 1000 ms that a competing box has read at 500 ms", function (this: object) {
  const competitor = createLeaseClock();
  competitor.recordRead(lease, 500);
  scenarioState(this).set("competitor", competitor);
});

Then(
  "it has not expired for the competing box at 1500 ms and has at 1701 ms with a margin of 200 ms",
  function (this: object) {
    const competitor = scenarioState(this).get<LeaseClock>("competitor");
    assert.equal(competitor.hasExpired(lease, 200, 1_500), false);
    assert.equal(competitor.hasExpired(lease, 200, 1_701), true);
  },
);
