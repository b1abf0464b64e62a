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

const unescape = (text: string) => text.replaceAll("\\r", "\r").replaceAll("\\n", "\n");

Given(
  "a stream that ends with {string} after a complete event",
  function (this: object, end: string) {
    scenarioState(this).set("bytes", Buffer.from(`id: 1\ndata: 1\n\n${unescape(end)}`));
  },
);

Given(
  "a stream of {int} events with {string} line ends and a byte order mark",
  function (this: object, count: number, escapedEnd: string) {
    const end = unescape(escapedEnd);
    const events = Array.from({ length: count }, (_, index) => {
      const mark = index === 0 ? "\ufeff" : "";
      return `${mark}id: ${index + 1}${end}data: token ${index}${end}${end}`;
    });
    scenarioState(this).set("events", events);
    scenarioState(this).set("bytes", Buffer.from(events.join("")));
  },
);

Given("an empty stream", function (this: object) {
  scenarioState(this).set("bytes", Buffer.alloc(0));
});

Then(/^it ends (inside|outside) an event$/, function (this: object, where: string) {
  const splitter = createEventSplitter();
  splitter.push(scenarioState(this).get<Buffer>("bytes"));
  assert.equal(splitter.isInsideEvent(), where === "inside");
});

Then(
  "any division into chunks gives the same events without losing bytes",
  function (this: object) {
    const bytes = scenarioState(this).get<Buffer>("bytes");
    const events = scenarioState(this).get<string[]>("events");
    const boundaries = fc.array(fc.nat(bytes.length), { maxLength: 20 });
    fc.assert(
      fc.property(boundaries, (offsets) => {
        const splitter = createEventSplitter();
        const ends = [...offsets.sort((left, right) => left - right), bytes.length];
        let from = 0;
        const received = ends.flatMap((end) => {
          const chunk = bytes.subarray(from, end);
          from = end;
          return splitter.push(chunk);
        });
        assert.deepEqual(
          received.map((event) => event.bytes.toString()),
          events,
        );
        assert.deepEqual(
          received.map((event) => event.id),
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

Then(
  "{int} event is returned and the remaining bytes are buffered",
  function (this: object, count: number) {
    const splitter = createEventSplitter();
    const bytes = scenarioState(this).get<Buffer>("bytes");
    const events = splitter.push(bytes);
    assert.equal(events.length, count);
    const returnedBytes = events.reduce((sum, event) => sum + event.bytes.length, 0);
    assert.equal(splitter.rest().length, bytes.length - returnedBytes);
  },
);

const readBytes = 65_536;

/** Processor time of splitting one event that arrives in reads of a socket's size; the least of several runs. */
function splittingMicroseconds(lines: number, end: string): number {
  const event = Buffer.from(`${`data: ${"x".repeat(40)}${end}`.repeat(lines)}${end}`);
  const times = Array.from({ length: 4 }, () => {
    const splitter = createEventSplitter();
    const before = process.cpuUsage();
    for (let at = 0; at < event.length; at += readBytes)
      splitter.push(event.subarray(at, at + readBytes));
    const { user, system } = process.cpuUsage(before);
    return user + system;
  });
  return Math.min(...times);
}

Then(
  "an event of {int} lines with LF line ends is split in at most {int} times the processor time of one with CR LF",
  (lines: number, factor: number) => {
    const [pairs, feeds] = ["\r\n", "\n"].map((end) => splittingMicroseconds(lines, end));
    assert.ok(feeds <= factor * pairs, `LF: ${feeds} us, CR LF: ${pairs} us`);
  },
);

/** Processor time of splitting one event that arrives in equal chunks; the least of several runs. */
function chunkedMicroseconds(size: number, chunk: Buffer): number {
  const times = Array.from({ length: 4 }, () => {
    const splitter = createEventSplitter();
    const before = process.cpuUsage();
    for (let at = 0; at < size; at += chunk.length) splitter.push(chunk);
    const { user, system } = process.cpuUsage(before);
    return user + system;
  });
  return Math.min(...times);
}

Then(
  "an event of {int} bytes in chunks of {string} takes at most {int} times the processor time of one of {int}",
  (large: number, chunk: string, factor: number, small: number) => {
    const bytes = Buffer.from(unescape(chunk));
    // The first run includes the compilation of the code.
    chunkedMicroseconds(large, bytes);
    const [least, most] = [small, large].map((size) => chunkedMicroseconds(size, bytes));
    assert.ok(most <= factor * least, `${small} bytes: ${least} us, ${large} bytes: ${most} us`);
  },
);

Given(
  "a read of {int} blank lines between an event with the id {string} and one with the id {string}",
  function (this: object, count: number, first: string, last: string) {
    const event = (id: string) => `id: ${id}\ndata: x\n\n`;
    const bytes = Buffer.from(`${event(first)}${"\n".repeat(count)}${event(last)}`);
    scenarioState(this).set("bytes", bytes);
    scenarioState(this).set("ids", [first, undefined, last]);
  },
);

Then(
  "{int} parts are returned, of which the first and the last have these ids",
  function (this: object, count: number) {
    const bytes = scenarioState(this).get<Buffer>("bytes");
    const events = createEventSplitter().push(bytes);
    assert.equal(events.length, count);
    assert.deepEqual(
      events.map(({ id }) => id),
      scenarioState(this).get<unknown>("ids"),
    );
    assert.ok(Buffer.concat(events.map((event) => event.bytes)).equals(bytes));
  },
);
