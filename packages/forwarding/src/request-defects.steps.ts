import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock } from "@linkfall/kernel";
import type { RequestCodec, ResponseMetadata } from "@linkfall/ports";
import type { Exchange, ExchangeListener } from "@linkfall/raw-exchange";
import { scenarioState } from "@linkfall/test-support";
import { type AttemptInput, type AttemptResult, sendAttempt } from "./attempt.js";
import type { ResponseSink } from "./response-sink.js";

const deadlineMs = 1_000;
const largeBytes = 1_100_000;
const defect = new Error("planted");
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

interface Trial {
  result?: AttemptResult;
  wasOpened: boolean;
  isAborted: boolean;
}

Given(
  /^a response to a (plain|streaming) request$/,
  function (this: object, route: "plain" | "streaming") {
    scenarioState(this).set("route", route);
  },
);

/** Calls the listener as an exchange with a whole response does. */
function respond({ onHead, onBytes, onComplete }: ExchangeListener, streaming: boolean): void {
  const type = streaming ? "text/event-stream" : "text/plain";
  onHead({ status: 200, headers: ["Content-Type", type], framing: "chunked" });
  if (streaming) {
    onBytes(Buffer.from("id: 1\ndata: 1\n\n"));
    onBytes(Buffer.from("id: 2\ndata: 2\n\n"));
  } else onBytes(Buffer.alloc(largeBytes));
  onComplete();
}

When(
  /^an exception is thrown (as its .*|as a .*|as the .*|before the .*)$/,
  async function (this: object, where: string) {
    const streaming = scenarioState(this).get<string>("route") === "streaming";
    const throwIf = (place: string) => {
      if (where === place) throw defect;
    };
    const trial: Trial = { wasOpened: false, isAborted: false };
    scenarioState(this).set("trial", trial);
    const clock = createVirtualClock();
    let writes = 0;
    let begun = false;
    const sink: ResponseSink = {
      headersSent: () => begun,
      writeHead: () => void (begun = true),
      write() {
        writes += 1;
        throwIf("as a large body is passed on");
        if (writes > 1) throwIf("as a further event is passed on");
        return true;
      },
      onDrain: () => undefined,
      end: () => undefined,
      abort: () => undefined,
      send: () => undefined,
      isCallerGone: () => false,
      detach: () => undefined,
      onCallerGone(listener) {
        if (where === "as its caller disconnects") clock.after(1, listener);
      },
    };
    const codec = {
      readResponse() {
        throwIf("as its head is read");
        return facts;
      },
      toCallerHeaders: (headers: readonly string[]) => headers,
    } as unknown as RequestCodec;
    const exchange: Exchange = {
      progress: () => ({ written: true, unsentBytes: 0 }),
      abort: () => void (trial.isAborted = true),
      pause: () => undefined,
      resume: () => undefined,
    };
    const input: AttemptInput = {
      clock,
      codec,
      openExchange(request, listener) {
        throwIf("as the exchange is opened");
        trial.wasOpened = true;
        void request.beforeWrite?.();
        const isAnswered = !where.startsWith("before") && where !== "as its caller disconnects";
        if (isAnswered) clock.after(1, () => respond(listener, streaming));
        return exchange;
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
      sink,
      streaming,
      position: {},
      deadlineAt: deadlineMs,
      mayWrite: async () => {
        throwIf("before the request is written");
        return true;
      },
      onResponseHead: () => throwIf("as its head is recorded"),
      onCallerGone: () => throwIf("as its caller disconnects"),
      onFirstEvent: () => throwIf("as its first event is passed on"),
      onFirstBodyBytes: () => undefined,
      onStreamEnd: () => throwIf("as its end is recorded"),
      onStreamGap: () => undefined,
    };
    void sendAttempt(input).then((result) => (trial.result = result));
    await clock.runUntil(deadlineMs - 1);
  },
);

Then(
  "the attempt is lost with that exception, and its exchange, if there is one, is aborted",
  function (this: object) {
    const { result, isAborted, wasOpened } = scenarioState(this).get<Trial>("trial");
    assert.equal(result?.kind, "lost");
    assert.equal(result?.kind === "lost" && result.defect, defect);
    assert.equal(isAborted, wasOpened);
  },
);

Then(
  /^the attempt names (the box as its cause|no other cause than the target)$/,
  function (this: object, expected: string) {
    const { result } = scenarioState(this).get<Trial>("trial");
    assert.ok(result?.kind === "lost");
    assert.equal(result.cause, expected.startsWith("the box") ? "box" : undefined);
  },
);
