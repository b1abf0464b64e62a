import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createCrashBlame } from "@linkfall/crash-blame";
import { createFleet, type Fleet } from "@linkfall/fleet";
import {
  clockName,
  createKernel,
  createVirtualClock,
  seededRandom,
  type VirtualClock,
} from "@linkfall/kernel";
import { loggerName, recordingLogger } from "@linkfall/logger";
import { createTargetLimits, type PermitPeers } from "@linkfall/target-limits";
import { createMetrics } from "@linkfall/metrics";
import { createModelDemandMeter } from "@linkfall/model-demand";
import type { RawHeaders, RequestCodec } from "@linkfall/ports";
import { createRetryBudget } from "@linkfall/retry-budget";
import type { Milliseconds, Route, RoutedService } from "@linkfall/types";
import {
  type ResponseSink,
  createChangeWaiter,
  createForwardMetrics,
  createFinalAttempts,
  createTargetProbe,
  createStreamGapMeter,
  createWorkCostMeter,
  type ForwardContext,
  type ForwardedRequest,
  forwardRequest,
  pickTarget,
  type RequestOutcome,
} from "./index.js";
import { Left } from "purify-ts";

interface Answer {
  readonly status: number;
  readonly headers: RawHeaders;
}

interface Scene {
  readonly clock: VirtualClock;
  readonly fleet: Fleet;
  readonly context: ForwardContext;
  readonly expected: Map<string, Milliseconds>;
  route: Route;
  /** From then on the box takes nothing, for a planned stop. */
  stopsAt: Milliseconds;
  /** Prompts that the engine has to read for others. */
  queueMs: Milliseconds;
  answer?: Answer;
  end?: RequestOutcome;
  request?: ForwardedRequest;
}

const scenes = new WeakMap<object, Scene>();
const service: RoutedService = {
  name: "engines",
  healthPath: "/health",
  maxConnections: 10,
  engine: {
    slots: 8,
    cacheTokens: 10_000,
    memoryMb: 300,
    adapterSlots: 2,
    storeLoadsPerSecond: 1,
    models: new Map(),
  },
};
/** The only box, which hands out all permits itself. */
const oneBox: PermitPeers = {
  self: "b1",
  allocators: () => ["b1"],
  sendRequest: async () =>
    Left({ kind: "peer_unreachable", reason: "no peers", mayHaveArrived: false }),
  connected: () => true,
  ownShare: () => 1,
  silentShare: () => 0,
  boxCount: () => 1,
};
/** Nobody listens there: a send ends at once. */
const address = "127.0.0.1:1";

const codec: RequestCodec = {
  readMetadata: () => ({
    id: "r",
    tokensDeclared: false,
    promptTokens: 0,
    maxOutputTokens: 0,
    parts: [],
  }),
  readApiKey: () => undefined,
  describeInvalidHeaders: () => undefined,
  toTargetHeaders: () => [],
  toCallerHeaders: () => [],
  readResponse: () => ({ notRun: false, misdirected: false, limit: { kind: "none" } }),
};

function contextOf(
  clock: VirtualClock,
  expected: Map<string, Milliseconds>,
  stopsAt: () => Milliseconds,
) {
  const kernel = createKernel();
  const logger = recordingLogger(() => undefined);
  kernel.provide(clockName, clock);
  kernel.provide(loggerName, logger);
  const fleet = createFleet(kernel, {
    lapse: { graceMs: 1_600, minShare: 0.3 },
    ejection: { consecutiveFailures: 3, initialMs: 1_000, maxMs: 8_000 },
  });
  const waiter = createChangeWaiter(clock);
  fleet.onChange(waiter.wakeAll);
  const context: ForwardContext = {
    clock,
    random: seededRandom(1),
    logger,
    metrics: createForwardMetrics(createMetrics()),
    blame: createCrashBlame(clock),
    finalAttempts: createFinalAttempts(),
    targetProbe: createTargetProbe(clock, async () => "listens"),
    targetLimits: createTargetLimits(clock, oneBox, (id) => fleet.find(id)?.born),
    codec,
    fleet,
    demand: createModelDemandMeter(clock),
    changeWaiter: waiter,
    domain: "d1",
    announceDemand: () => undefined,
    acceptsRoute: () => clock.now() < stopsAt(),
    boxCount: () => 1,
    expectedWeightsMs: ({ model }) => {
      const at = expected.get(model);
      return at === undefined ? undefined : Math.max(0, at - clock.now());
    },
    retryBudget: createRetryBudget(clock, { ratio: 0.2, baseRetries: 10, windowMs: 10_000 }),
    streamGaps: createStreamGapMeter(clock),
    workCosts: createWorkCostMeter({
      perTokenMs: 0.02,
      perRequestMs: 30,
      perResponseMs: 300,
      crossDomainMs: 8,
    }),
    sendLimits: {
      connectTimeoutMs: 400,
      minIdleTimeoutMs: 600,
      idleTimeoutObjectives: 2,
      idleTimeoutExpectedFactor: 4,
      deadlineMarginMs: 5,
    },
    forwardLimits: {
      minTimeLeftMs: 15,
      maxSends: 5,
      retryPauseMs: 120,
      minReplicaGainMs: 150,
      maxQueueShare: 0.9,
      maxQueueObjectives: 1,
      defaultRetryAfterMs: 500,
    },
  };
  return { fleet, context };
}

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

Given("an engine that holds {string}", function (this: object, model: string) {
  const clock = createVirtualClock();
  const expected = new Map<string, Milliseconds>();
  const stopsAt = () => scenes.get(this)?.stopsAt ?? Infinity;
  const { fleet, context } = contextOf(clock, expected, stopsAt);
  const models = [{ name: model, version: 1, adapters: [] }];
  fleet.applyList([
    { id: "e1", service: "engines", address, domain: "d1", slots: 8, leaving: false, models },
  ]);
  const route = { name: "none" } as Route;
  scenes.set(this, { clock, fleet, context, expected, route, stopsAt: Infinity, queueMs: 0 });
});

Given(
  "a stream that is due after {int} ms, is awaited for {int} ms and may take {int} ms",
  function (this: object, objectiveMs: number, patienceMs: number, timeoutMs: number) {
    sceneOf(this).route = {
      name: "stream",
      host: "a.example",
      pathPrefix: "/",
      weightedServices: [{ service: service.name, weight: 1 }],
      repeatability: "not_repeatable",
      streaming: true,
      resumable: false,
      timeoutMs,
      objectiveMs,
      eventTimeoutMs: patienceMs,
      priority: 0,
      maxAttempts: 1,
      anonymous: false,
    };
  },
);

Given(
  "the weights of {string} are expected in {int} ms",
  function (this: object, model: string, ms: number) {
    sceneOf(this).expected.set(model, ms);
  },
);

Given("the box takes nothing more after {int} ms", function (this: object, ms: number) {
  sceneOf(this).stopsAt = ms;
});

/** Remembers the answer that its caller would get. */
function sinkOf(scene: Scene): ResponseSink {
  return {
    headersSent: () => scene.answer !== undefined,
    writeHead: () => undefined,
    write: () => true,
    onDrain: () => undefined,
    end: () => undefined,
    abort: () => undefined,
    send: (status, headers) => void (scene.answer = { status, headers }),
    isCallerGone: () => false,
    onCallerGone: () => undefined,
  };
}

function requestOf(scene: Scene, id: string, model: string, adapter?: string): ForwardedRequest {
  const { route, clock } = scene;
  return {
    route,
    service,
    method: "POST",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    fingerprint: () => id,
    terms: {
      id,
      model,
      adapter,
      tokensDeclared: true,
      promptTokens: 100,
      maxOutputTokens: 10,
      parts: [],
    },
    priority: 1,
    sink: sinkOf(scene),
    arrivedAt: clock.now(),
    responseStartDueAt: clock.now() + (route.eventTimeoutMs ?? route.timeoutMs),
    deadlineAt: clock.now() + route.timeoutMs,
    streamPosition: {},
    triedTargets: new Set(),
    possibleRuns: 0,
    sends: 0,
    unwrittenSends: 0,
    maxStreamGapMs: 0,
    waitedForWeights: false,
    isFinalAttempt: false,
  };
}

/** Lets a request that is decided at once come to its end. */
const settleMs = 1;

When("a caller asks for {string}", async function (this: object, weights: string) {
  const [model, adapter] = weights.split("/");
  const scene = sceneOf(this);
  const { clock, context } = scene;
  const request = requestOf(scene, "r1", model, adapter);
  scene.request = request;
  void forwardRequest(context, request).then((end) => void (scene.end = end));
  await clock.runUntil(settleMs);
});

When(
  "the engine holds the adapter {string} after {int} ms",
  async function (this: object, weights: string, ms: number) {
    const [name, adapter] = weights.split("/");
    const { clock, fleet } = sceneOf(this);
    await clock.runUntil(ms);
    const models = [{ name, version: 1, adapters: [adapter] }];
    fleet.applyRelayedHoldings("e1", { sequence: 1, models });
    await clock.runUntil(ms + settleMs);
  },
);

When(
  "the engine holds {string} after {int} ms",
  async function (this: object, model: string, ms: number) {
    const { clock, fleet } = sceneOf(this);
    await clock.runUntil(ms);
    const models = [{ name: model, version: 1, adapters: [] }];
    fleet.applyRelayedHoldings("e1", { sequence: 1, models });
    await clock.runUntil(ms + settleMs);
  },
);

Then(
  "it is refused at once with {int}, to come back after {int} ms",
  function (this: object, status: number, ms: number) {
    const { answer } = sceneOf(this);
    assert.equal(answer?.status, status);
    const retryAfter = answer.headers[answer.headers.indexOf("Retry-After") + 1];
    assert.equal(Number(retryAfter) * 1000, ms);
  },
);

Given(
  "the engine takes {int} connections and other boxes have {int} there",
  function (this: object, most: number, inFlight: number) {
    assert.equal(service.maxConnections, most);
    sceneOf(this).fleet.setOtherBoxesLoads(new Map([["e1", { inFlight, promptTokens: 0 }]]));
  },
);

/** What the engine of the scenes reads in a millisecond. */
const tokensPerMs = 50;

Given("the engine has {int} ms of prompts to read", function (this: object, ms: number) {
  const { fleet } = sceneOf(this);
  fleet.setOtherBoxesLoads(new Map([["e1", { inFlight: 4, promptTokens: ms * tokensPerMs }]]));
  sceneOf(this).queueMs = ms;
});

Then(
  "it is refused at once with {int}, to come back after the queue",
  function (this: object, status: number) {
    const { answer, queueMs } = sceneOf(this);
    assert.equal(answer?.status, status);
    const retryAfter = answer.headers[answer.headers.indexOf("Retry-After") + 1];
    assert.ok(Number(retryAfter) * 1000 >= queueMs);
  },
);

Then("it is held for {int} ms", async function (this: object, ms: number) {
  const scene = sceneOf(this);
  await scene.clock.runUntil(ms);
  assert.equal(scene.end, undefined);
});

Then(
  "it is refused with {int} before {int} ms have passed",
  async function (this: object, status: number, ms: number) {
    const scene = sceneOf(this);
    await scene.clock.runUntil(ms);
    assert.equal(scene.answer?.status, status);
  },
);

Then("it is sent to the engine", function (this: object) {
  assert.ok((sceneOf(this).request?.sends ?? 0) > 0);
});

const lastTries = new WeakMap<object, Map<string, ForwardedRequest>>();

/** A request by its name; one that has its last try is kept from step to step. */
function triedOf(world: object, id: string): ForwardedRequest {
  return lastTries.get(world)?.get(id) ?? requestOf(sceneOf(world), id, "m1");
}

function targetFor(world: object, id: string): string | undefined {
  const pick = pickTarget(sceneOf(world).context, triedOf(world, id));
  return pick.kind === "target" ? pick.target.listed.id : undefined;
}

Given(
  "{string} and {string} have their last try",
  function (this: object, one: string, other: string) {
    const requests = [one, other].map((id) => requestOf(sceneOf(this), id, "m1"));
    for (const request of requests) request.isFinalAttempt = true;
    lastTries.set(this, new Map(requests.map((request) => [request.terms.id, request])));
  },
);

When("{string} is at the engine", function (this: object, id: string) {
  sceneOf(this).context.finalAttempts.start(triedOf(this, id), "e1");
});

When("{string} has ended", function (this: object, id: string) {
  sceneOf(this).context.finalAttempts.end(triedOf(this, id), "e1");
});

Then(
  "{string} finds no target, and {string} finds the engine",
  function (this: object, kept: string, free: string) {
    assert.equal(targetFor(this, kept), undefined);
    assert.equal(targetFor(this, free), "e1");
  },
);

Then("{string} finds the engine", function (this: object, id: string) {
  assert.equal(targetFor(this, id), "e1");
});
