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
const brokenOff: BodyPart = Left({
  kind: "target_unreachable",
  reason: "cut",
  mayHaveArrived: true,
});

interface ReadResult {
  readonly tokens: readonly CompletionToken[];
  readonly result: StreamResult;
}

async function read(
  clock: VirtualClock,
  parts: AsyncIterable<BodyPart>,
  from: number,
  responseAttempt = "r~1",
): Promise<ReadResult> {
  const response: TargetResponse = {
    status: 200,
    headers: { "x-attempt-id": responseAttempt },
    body: parts,
  };
  const tokens: CompletionToken[] = [];
  const result = await readEngineStream(clock, response, "r~1", from, stallMs, (token) => {
    tokens.push(token);
  });
  return { tokens, result };
}

async function* partsOf(list: readonly (string | BodyPart)[]): AsyncGenerator<BodyPart> {
  for (const part of list) yield typeof part === "string" ? Right(Buffer.from(part)) : part;
}

async function* stallAfter(clock: VirtualClock, text: string): AsyncGenerator<BodyPart> {
  yield Right(Buffer.from(text));
  await new Promise<void>((resolve) => clock.after(3_000, resolve));
  yield Right(Buffer.from(marker));
}

Then(
  "for any chunking and any resume position, each token is delivered once and in order",
  async () => {
    const cutPositions = fc.array(fc.nat(400), { maxLength: 12 });
    await fc.assert(
      fc.asyncProperty(cutPositions, fc.integer({ min: 0, max: 4 }), async (positions, from) => {
        const bytes = Buffer.from(
          [0, 1, 2, 3, 4].map((at) => event(at, at === 4)).join("") + marker,
        );
        const sorted = [
          0,
          ...positions.map((position) => position % bytes.length),
          bytes.length,
        ].sort((a, b) => a - b);
        const chunks = sorted.slice(1).map((to, index) => Right(bytes.subarray(sorted[index], to)));
        const readResult = await read(createVirtualClock(), partsOf(chunks), from);
        assert.equal(readResult.result.kind, "complete");
        assert.deepEqual(
          readResult.tokens.map((token) => token.position),
          [0, 1, 2, 3, 4].slice(from),
        );
      }),
      { seed: 5, numRuns: 200 },
    );
  },
);

const endlessPart = "x".repeat(10_000);
/** Bytes that are read without end before the test counts them as endless. */
const endlessBytes = 50_000_000;

interface EndlessBody {
  bytes: number;
  closed: boolean;
}

/** Begins with the parts, then goes on with the same bytes until its reader closes it. */
async function* endlessBody(
  world: object,
  first: readonly (string | BodyPart)[],
): AsyncGenerator<BodyPart> {
  const state: EndlessBody = { bytes: 0, closed: false };
  scenarioState(world).set("endless", state);
  try {
    yield* partsOf(first);
    while (state.bytes < endlessBytes) {
      state.bytes += endlessPart.length;
      yield Right(Buffer.from(endlessPart));
    }
  } finally {
    state.closed = true;
  }
}

const endlessStreams: Readonly<Record<string, readonly string[]>> = {
  "holds an event without end": [event(0), "data: "],
  "holds a comment without end": [event(0), ": "],
  "goes on without end after its last token": [event(0), event(1), event(2, true), ": "],
};

const streams: Readonly<Record<string, readonly (string | BodyPart)[]>> = {
  "is whole": [event(0), event(1), event(2, true), marker],
  "ends without its marker": [event(0), event(1)],
  "breaks off": [event(0), event(1), brokenOff],
  "breaks off after its last token": [event(0), event(1), event(2, true), brokenOff],
  "leaves out a token": [event(0), event(2, true), marker],
  'belongs to attempt "r~0"': [event(0), event(1), event(2, true), marker],
  "holds an event that is no token": [event(0), "data: {}\n\n"],
};

When(/^a stream to attempt "r~1" is read that (.+)$/, async function (this: object, fault: string) {
  const clock = createVirtualClock();
  const endless = endlessStreams[fault];
  const orderly = () =>
    fault.startsWith("falls silent") ? stallAfter(clock, event(0)) : partsOf(streams[fault]);
  const parts = endless ? endlessBody(this, endless) : orderly();
  const responseAttempt = fault.startsWith("belongs") ? "r~0" : "r~1";
  const reading = read(clock, parts, 0, responseAttempt);
  await clock.runUntil(5_000);
  scenarioState(this).set("result", await reading);
});

Then(
  "the result is {string} after {int} tokens",
  function (this: object, kind: string, count: number) {
    const readResult = scenarioState(this).get<ReadResult>("result");
    assert.deepEqual([readResult.result.kind, readResult.tokens.length], [kind, count]);
  },
);

Then("its body is closed after at most {int} bytes", function (this: object, maxBytes: number) {
  const { bytes, closed } = scenarioState(this).get<EndlessBody>("endless");
  assert.ok(closed, `open after ${bytes} bytes`);
  assert.ok(bytes <= maxBytes, `${bytes} bytes`);
});

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function heapAfterCollection(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

When(
  "a stream of {int} tokens is read up to its last token",
  async function (this: object, count: number) {
    async function* body(): AsyncGenerator<BodyPart> {
      for (let position = 0; position < count; position++) {
        const data = JSON.stringify({ choices: [{ text: " t", finish_reason: null }] });
        yield Right(Buffer.from(`id: ${position}\ndata: ${data}\n\n`));
      }
      yield Right(Buffer.from("data: [DONE]\n\n"));
    }
    const initialBytes = heapAfterCollection();
    let retainedBytes = Infinity;
    const headers = { [attemptHeader]: "r~1" };
    await readEngineStream(
      createVirtualClock(),
      { status: 200, headers, body: body() },
      "r~1",
      0,
      1_000,
      ({ position }) => {
        if (position === count - 1) retainedBytes = heapAfterCollection() - initialBytes;
      },
    );
    scenarioState(this).set("retained", retainedBytes);
  },
);

Then("it retains less than {int} MB", function (this: object, megabytes: number) {
  assert.ok(scenarioState(this).get<number>("retained") < megabytes * 1_000_000);
});
