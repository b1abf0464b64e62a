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
const delay = fc.integer({ min: 0, max: 5_000 });

Then(
  "for any delays of sending and reading, no rival finds the lease lapsed while the holder may act",
  () => {
    fc.assert(
      fc.property(delay, delay, delay, delay, (sentAt, inLog, read, wait) => {
        const holder = createLeaseClock();
        const rival = createLeaseClock();
        holder.recordSent(lease.epoch, sentAt);
        const readAt = sentAt + inLog + read;
        rival.recordRead(lease, readAt);
        const now = readAt + wait;
        assert.ok(!(holder.isHeld(lease, now) && rival.hasExpired(lease, 0, now)));
      }),
      { seed: 3, numRuns: 1_000 },
    );
  },
);

Given("a lease of 1000 ms that a rival has read at 500 ms", function (this: object) {
  const rival = createLeaseClock();
  rival.recordRead(lease, 500);
  scenarioState(this).set("rival", rival);
});

Then(
  "it has not lapsed for the rival at 1500 ms and has at 1701 ms with a margin of 200 ms",
  function (this: object) {
    const rival = scenarioState(this).get<LeaseClock>("rival");
    assert.equal(rival.hasExpired(lease, 200, 1_500), false);
    assert.equal(rival.hasExpired(lease, 200, 1_701), true);
  },
);
