import assert from "node:assert/strict";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import type { BodyPart, TargetResponse } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { Left, Right } from "purify-ts";
import { attemptHeader, readEngineStream, type StreamResult } from "./engine-stream.js";
import type { CompletionToken } from "./job.js";

const stallMs = 2_000;
const event = (position: number, last = false) => {
  const choice = { text: ` t${position}`, finish_reason: last ? "stop" : null };
  return `id: ${position}\ndata: ${JSON.stringify({ choices: [choice] })}\n\n`;
};
const marker = "data: [DONE]\n\n";
const cut: BodyPart = Left({ kind: "target_unreachable", reason: "cut", mayHaveArrived: true });

interface ReadResult {
  readonly tokens: readonly CompletionToken[];
  readonly end: StreamResult;
}

async function read(
  clock: VirtualClock,
  parts: AsyncIterable<BodyPart>,
  from: number,
  answers = "r~1",
): Promise<ReadResult> {
  const response: TargetResponse = {
    status: 200,
    headers: { "x-attempt-id": answers },
    body: parts,
  };
  const tokens: CompletionToken[] = [];
  const end = await readEngineStream(clock, response, "r~1", from, stallMs, (token) => {
    tokens.push(token);
  });
  return { tokens, end };
}

async function* partsOf(list: readonly (string | BodyPart)[]): AsyncGenerator<BodyPart> {
  for (const part of list) yield typeof part === "string" ? Right(Buffer.from(part)) : part;
}

async function* silentAfter(clock: VirtualClock, text: string): AsyncGenerator<BodyPart> {
  yield Right(Buffer.from(text));
  await new Promise<void>((resolve) => clock.after(3_000, resolve));
  yield Right(Buffer.from(marker));
}

Then(
  "for any chunking of a stream and any place of resumption, each token comes once and in order",
  async () => {
    const cuts = fc.array(fc.nat(400), { maxLength: 12 });
    await fc.assert(
      fc.asyncProperty(cuts, fc.integer({ min: 0, max: 4 }), async (places, from) => {
        const bytes = Buffer.from(
          [0, 1, 2, 3, 4].map((at) => event(at, at === 4)).join("") + marker,
        );
        const sorted = [0, ...places.map((place) => place % bytes.length), bytes.length].sort(
          (a, b) => a - b,
        );
        const chunks = sorted.slice(1).map((to, index) => Right(bytes.subarray(sorted[index], to)));
        const result = await read(createVirtualClock(), partsOf(chunks), from);
        assert.equal(result.end.kind, "complete");
        assert.deepEqual(
          result.tokens.map((token) => token.position),
          [0, 1, 2, 3, 4].slice(from),
        );
      }),
      { seed: 5, numRuns: 200 },
    );
  },
);

const streams: Readonly<Record<string, readonly (string | BodyPart)[]>> = {
  "is whole": [event(0), event(1), event(2, true), marker],
  "ends without its marker": [event(0), event(1)],
  "breaks off": [event(0), event(1), cut],
  "breaks off after its last token": [event(0), event(1), event(2, true), cut],
  "leaves out a token": [event(0), event(2, true), marker],
  'belongs to attempt "r~0"': [event(0), event(1), event(2, true), marker],
  "holds an event that is no token": [event(0), "data: {}\n\n"],
};

When(/^a stream to attempt "r~1" is read that (.+)$/, async function (this: object, fault: string) {
  const clock = createVirtualClock();
  const parts = fault.startsWith("falls silent")
    ? silentAfter(clock, event(0))
    : partsOf(streams[fault]);
  const answers = fault.startsWith("belongs") ? "r~0" : "r~1";
  const result = read(clock, parts, 0, answers);
  await clock.runUntil(5_000);
  scenarioState(this).set("result", await result);
});

Then("its end is {string} after {int} tokens", function (this: object, end: string, count: number) {
  const result = scenarioState(this).get<ReadResult>("result");
  assert.deepEqual([result.end.kind, result.tokens.length], [end, count]);
});

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function heapAfterCollection(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

When(
  "a stream of {int} tokens has been read up to its last token",
  async function (this: object, count: number) {
    async function* body(): AsyncGenerator<BodyPart> {
      for (let position = 0; position < count; position++) {
        const data = JSON.stringify({ choices: [{ text: " t", finish_reason: null }] });
        yield Right(Buffer.from(`id: ${position}\ndata: ${data}\n\n`));
      }
      yield Right(Buffer.from("data: [DONE]\n\n"));
    }
    const before = heapAfterCollection();
    let held = Infinity;
    const headers = { [attemptHeader]: "r~1" };
    await readEngineStream(
      createVirtualClock(),
      { status: 200, headers, body: body() },
      "r~1",
      0,
      1_000,
      ({ position }) => {
        if (position === count - 1) held = heapAfterCollection() - before;
      },
    );
    scenarioState(this).set("held", held);
  },
);

Then("less than {int} MB are held for it", function (this: object, megabytes: number) {
  assert.ok(scenarioState(this).get<number>("held") < megabytes * 1_000_000);
});
