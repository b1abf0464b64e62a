import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { RelayedReport } from "@linkfall/ports";
import type { EngineReportRecord } from "@linkfall/target-watch";
import { scenarioState } from "@linkfall/test-support";
import type { EngineReport, Milliseconds } from "@linkfall/types";
import fc from "fast-check";
import { createIncomingReports, type IncomingReports } from "./incoming.js";
import { createOutgoingReports, type OutgoingReports } from "./outgoing.js";

const reportOf = (sequence: number, running: number, models: number): EngineReport => ({
  engine: "e1",
  engineIncarnation: "e1-1",
  sequence,
  fence: 0,
  role: "mixed",
  residents: Array.from({ length: models }, (_, index) => ({
    artifact: `model:m${index}@1`,
    accelerator: 0,
    sizeMb: 10,
    state: "ready",
  })),
  running,
  queued: 0,
  pendingTokens: 0,
  tokensPerSecond: 0,
  leaving: false,
  settledOrders: [],
});

const watched = (report: EngineReport, requestedAt: Milliseconds): EngineReportRecord => ({
  report,
  requestedAt,
  receivedAt: requestedAt,
  source: "read",
});

/** Requests a report from another box; if `lost` is set, the reply is lost. */
function exchange(
  from: OutgoingReports,
  incarnation: string,
  to: IncomingReports,
  report: EngineReportRecord,
  lost = false,
): readonly EngineReport[] {
  const held = to.heldFrom() === incarnation ? to.held() : [];
  const reports = from.answer([report], held, report.requestedAt);
  if (lost) return [];
  return to.applyReply({ from: incarnation, reports }, 0).map((received) => received.report);
}

Then(
  "for any changes of an engine, lost replies and restarts of the reader, the requester receives the report or none",
  () => {
    const step = fc.record({
      models: fc.nat(3),
      running: fc.nat(9),
      lost: fc.boolean(),
      restart: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const incoming = createIncomingReports();
        let outgoing = createOutgoingReports();
        let restarts = 0;
        for (const [index, { models, running, lost, restart }] of steps.entries()) {
          if (restart) {
            outgoing = createOutgoingReports();
            restarts += 1;
          }
          const report = reportOf(index, running, models);
          const received = exchange(
            outgoing,
            `b@${restarts}`,
            incoming,
            watched(report, index),
            lost,
          );
          assert.deepEqual(received, lost ? [] : [report]);
        }
      }),
      { seed: 11, numRuns: 300 },
    );
  },
);

When(
  "a report that was read {int} ms ago is requested at {int} ms and the reply takes {int} ms",
  function (this: object, ageMs: number, askedAt: number, replyMs: number) {
    const repliedAt = askedAt + replyMs / 2;
    const report = watched(reportOf(1, 1, 1), repliedAt - ageMs);
    const reports = createOutgoingReports().answer([report], [], repliedAt);
    const [received] = createIncomingReports().applyReply({ from: "b@1", reports }, askedAt);
    scenarioState(this).set("requestedAt", received.requestedAt);
  },
);

Then("its request time is {int} ms", function (this: object, expected: number) {
  assert.equal(scenarioState(this).get("requestedAt"), expected);
});

When(
  "a box requests reports twice and only the load of the engine has changed",
  function (this: object) {
    const outgoing = createOutgoingReports();
    const incoming = createIncomingReports();
    exchange(outgoing, "b@1", incoming, watched(reportOf(1, 1, 2), 0));
    scenarioState(this).set(
      "second",
      outgoing.answer([watched(reportOf(2, 5, 2), 9)], incoming.held(), 9),
    );
  },
);

Then("the second reply contains no placement", function (this: object) {
  const [second] = scenarioState(this).get<readonly RelayedReport[]>("second");
  assert.equal(second.placement, undefined);
  assert.equal(second.load.running, 5);
});
