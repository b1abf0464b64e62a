import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock } from "@linkfall/kernel";
import type { RequestCodec, ResponseMetadata } from "@linkfall/ports";
import type { ExchangeListener, ResponseFraming } from "@linkfall/raw-exchange";
import { scenarioState } from "@linkfall/test-support";
import { type AttemptResult, sendAttempt } from "./attempt.js";
import type { ResponseSink } from "./response-sink.js";

interface PausingStream {
  readonly pauseMs: number;
  readonly idleTimeoutMs: number;
}

const firstEventMs = 10;
const deadlineMs = 10_000;
const framing: ResponseFraming = "chunked";
const facts: ResponseMetadata = {
  requestId: "r",
  isSigned: true,
  notRun: false,
  misdirected: false,
  retryAfter: { kind: "none" },
  limit: { kind: "none" },
  rejectionAllowance: { kind: "none" },
  leaving: false,
};
const codec = {
  readResponse: () => facts,
  toCallerHeaders: (headers: readonly string[]) => headers,
} as unknown as RequestCodec;

function createSink(): ResponseSink {
  let begun = false;
  return {
    headersSent: () => begun,
    writeHead: () => void (begun = true),
    write: () => true,
    onDrain: () => undefined,
    end: () => undefined,
    abort: () => undefined,
    send: () => undefined,
    isCallerGone: () => false,
    detach: () => undefined,
    onCallerGone: () => undefined,
  };
}

Given(
  "a stream that pauses for {int} ms after its first event, with an idle timeout of {int} ms",
  function (this: object, pauseMs: number, idleTimeoutMs: number) {
    scenarioState(this).set("pausing stream", { pauseMs, idleTimeoutMs } satisfies PausingStream);
  },
);

When(/^another target (can|cannot) take it up$/, async function (this: object, can: string) {
  const { pauseMs, idleTimeoutMs } = scenarioState(this).get<PausingStream>("pausing stream");
  const clock = createVirtualClock();
  const respond = ({ onHead, onBytes, onComplete }: ExchangeListener) => {
    clock.after(firstEventMs, () => {
      onHead({ status: 200, headers: ["Content-Type", "text/event-stream"], framing });
      onBytes(Buffer.from("id: 1\ndata: 1\n\n"));
    });
    clock.after(firstEventMs + pauseMs, () => {
      onBytes(Buffer.from("id: 2\ndata: 2\n\n"));
      onComplete();
    });
  };
  let end: { result: AttemptResult; atMs: number } | undefined;
  void sendAttempt({
    clock,
    codec,
    openExchange: (request, listener) => {
      void request.beforeWrite?.();
      respond(listener);
      const progress = () => ({ written: true, unsentBytes: 0 });
      return { progress, abort: () => undefined, pause: () => undefined, resume: () => undefined };
    },
    request: {
      address: "t",
      method: "GET",
      path: "/",
      headers: [],
      body: Buffer.alloc(0),
      connectTimeoutMs: deadlineMs,
    },
    requestId: "r",
    sink: createSink(),
    streaming: true,
    position: {},
    deadlineAt: deadlineMs,
    idleTimeoutMs,
    mayAbandon: () => can === "can",
    onResponseHead: () => undefined,
    onCallerGone: () => undefined,
    onFirstEvent: () => undefined,
    onFirstBodyBytes: () => undefined,
    onStreamEnd: () => undefined,
    onStreamGap: () => undefined,
  }).then((result) => (end = { result, atMs: clock.now() }));
  await clock.runUntil(deadlineMs);
  scenarioState(this).set("attempt end", end);
});

Then(
  "the attempt ends as {string} after {int} ms",
  function (this: object, kind: AttemptResult["kind"], ms: number) {
    const { result, atMs } = scenarioState(this).get<{ result: AttemptResult; atMs: number }>(
      "attempt end",
    );
    assert.deepEqual([result.kind, Math.round(atMs)], [kind, ms]);
  },
);
