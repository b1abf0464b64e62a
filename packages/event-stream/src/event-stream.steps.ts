import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { createEventSplitter } from "./index.js";

Given(
  "a stream of {int} events with ids and a comment line",
  function (this: object, count: number) {
    const events = Array.from({ length: count }, (_, index) => {
      const end = index % 2 === 0 ? "\n" : "\r\n";
      return `: note${end}id: ${index + 1}${end}data: token ${index}${end}${end}`;
    });
    scenarioState(this).set("events", events);
    scenarioState(this).set("bytes", Buffer.from(events.join("")));
  },
);

Then(
  "for any cut of its bytes the events are the same and the bytes are all there",
  function (this: object) {
    const bytes = scenarioState(this).get<Buffer>("bytes");
    const events = scenarioState(this).get<string[]>("events");
    const cuts = fc.array(fc.nat(bytes.length), { maxLength: 20 });
    fc.assert(
      fc.property(cuts, (places) => {
        const splitter = createEventSplitter();
        const ends = [...places.sort((left, right) => left - right), bytes.length];
        let from = 0;
        const seen = ends.flatMap((end) => {
          const part = bytes.subarray(from, end);
          from = end;
          return splitter.push(part);
        });
        assert.deepEqual(
          seen.map((event) => event.bytes.toString()),
          events,
        );
        assert.deepEqual(
          seen.map((event) => event.id),
          events.map((_, index) => String(index + 1)),
        );
        assert.equal(splitter.rest().length, 0);
      }),
      { seed: 4, numRuns: 300 },
    );
  },
);

When("its last {int} bytes are missing", function (this: object, missing: number) {
  const bytes = scenarioState(this).get<Buffer>("bytes");
  scenarioState(this).set("bytes", bytes.subarray(0, bytes.length - missing));
});

Then("{int} event is whole and the rest is held", function (this: object, whole: number) {
  const splitter = createEventSplitter();
  const bytes = scenarioState(this).get<Buffer>("bytes");
  const events = splitter.push(bytes);
  assert.equal(events.length, whole);
  const passed = events.reduce((sum, event) => sum + event.bytes.length, 0);
  assert.equal(splitter.rest().length, bytes.length - passed);
});
