import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createCrashBlame } from "@linkfall/crash-blame";
import { createFleet, type Fleet } from "@linkfall/fleet";
import {
  clockName,
  createKernel,
  createVirtualClock,
  randomName,
  seededRandom,
  type VirtualClock,
} from "@linkfall/kernel";
import { loggerName, recordingLogger } from "@linkfall/logger";
import type { PeerUnreachable } from "@linkfall/errors";
import { unboundedTargetBodies } from "@linkfall/held-bytes";
import { createFragileTargets, type PlacePeers } from "@linkfall/fragile-targets";
import { createTargetLimits, type PermitPeers } from "@linkfall/target-limits";
import { createMetrics, metricsName } from "@linkfall/metrics";
import { createTargetReach } from "@linkfall/target-reach";
import { createModelDemandMeter } from "@linkfall/model-demand";
import type { RawHeaders, RequestCodec } from "@linkfall/ports";
import { createExchangeOpener, type OpenExchange, tcpConnector } from "@linkfall/raw-exchange";
import { createRetryBudget } from "@linkfall/retry-budget";
import type { DeclaredModel, Milliseconds, Route, RoutedService } from "@linkfall/types";
import {
  createChangeWaiter,
  createFinalAttempts,
  createRestQueue,
  createForwardMetrics,
  createStreamGapMeter,
  createTargetProbe,
  createWorkCostMeter,
  type ForwardContext,
  type ForwardedRequest,
  forwardRequest,
  pickTarget,
  type RequestOutcome,
  type ResponseSink,
} from "./index.js";
import { Left } from "purify-ts";

interface SentResponse {
  readonly status: number;
  readonly headers: RawHeaders;
}

interface ForwardingWorld {
  readonly clock: VirtualClock;
  readonly fleet: Fleet;
  context: ForwardContext;
  /** Whether the request was written to the engine, if the scenario stands in for its connection. */
  written: boolean;
  /** Time at which each model is expected to be loaded. */
  readonly loadedAt: Map<string, Milliseconds>;
  route: Route;
  /** Time from which the box accepts no requests because of a planned shutdown. */
  stopsAt: Milliseconds;
  /** When the lease holder plans loads for the first time. */
  decidesAt: Milliseconds;
  /** Prefill time of the prompts queued at the engine. */
  queueMs: Milliseconds;
  response?: SentResponse;
  outcome?: RequestOutcome;
  request?: ForwardedRequest;
}

const worlds = new WeakMap<object, ForwardingWorld>();
/** A model that takes most of the callers' patience to load. */
const slowModel: DeclaredModel = {
  name: "slow",
  memoryMb: 100,
  loadFromMemoryMs: 1_400,
  loadFromDiskMs: 1_600,
  loadFromStoreMs: 6_000,
  adapterMb: 1,
};
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
    models: new Map([["slow", slowModel]]),
  },
};
const noPeers: PeerUnreachable = {
  kind: "peer_unreachable",
  reason: "no peers",
  mayHaveArrived: false,
};
/** A single box, which allocates all permits itself. */
const oneBox: PermitPeers = {
  self: "b1",
  allocators: () => ["b1"],
  sendRequest: async () => Left(noPeers),
  connected: () => true,
  ownShare: () => 1,
  silentShare: () => 0,
  boxCount: () => 1,
};
const oneBoxForPlaces: PlacePeers = { ...oneBox, sendRequest: async () => Left(noPeers) };
/** An address without a listener, where a send fails at once. */
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
  readResponse: () => ({
    requestId: "r",
    isSigned: true,
    notRun: false,
    misdirected: false,
    retryAfter: { kind: "none" },
    limit: { kind: "none" },
    rejectionAllowance: { kind: "none" },
    leaving: false,
  }),
};

function contextOf(
  clock: VirtualClock,
  loadedAt: Map<string, Milliseconds>,
  stopsAt: () => Milliseconds,
  decidesAt: () => Milliseconds,
) {
  const kernel = createKernel();
  const logger = recordingLogger(() => undefined);
  kernel.provide(clockName, clock);
  kernel.provide(loggerName, logger);
  kernel.provide(randomName, seededRandom(1));
  kernel.provide(metricsName, createMetrics());
  const fleet = createFleet(kernel, {
    lapse: { graceMs: 1_600, minShare: 0.3, returnMs: 2_200 },
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
    targetReach: createTargetReach(kernel, {
      targets: () => [],
      isListening: async () => "listens",
      relayingBoxes: () => [],
    }),
    paths: { opener: () => createExchangeOpener(clock, tcpConnector) },
    targetLimits: createTargetLimits(clock, oneBox, (id) => fleet.find(id)?.born),
    fragileTargets: createFragileTargets(clock, seededRandom(1), oneBoxForPlaces),
    targetBodies: unboundedTargetBodies,
    softwareVersions: { versionsOf: () => ["v1"], soleVersion: () => "v1" },
    streamVersions: {
      recordBegun: () => undefined,
      lookUp: async () => ({
        kind: "unknown",
        servedElsewhere: [],
        allAnswered: true,
        soleVersion: "v1",
      }),
    },
    dispatch: {
      isActive: () => false,
      acquire: async () => ({ kind: "unavailable" }),
      firstBytes: () => undefined,
      end: () => undefined,
    },
    boxIncarnation: "box@1",
    heldUpMs: () => 0,
    codec,
    fleet,
    demand: createModelDemandMeter(clock),
    changeWaiter: waiter,
    restQueue: createRestQueue(),
    domain: "d1",
    announceDemand: () => undefined,
    acceptsRequest: () => clock.now() < stopsAt(),
    boxCount: () => 1,
    expectedWeightsMs: ({ model }) => {
      const at = loadedAt.get(model);
      return at === undefined ? undefined : Math.max(0, at - clock.now());
    },
    loadsDecidedAt: () => (clock.now() >= decidesAt() ? clock.now() : -Infinity),
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

function stateOf(world: object): ForwardingWorld {
  const state = worlds.get(world);
  assert.ok(state);
  return state;
}

Given("an engine with model {string} loaded", function (this: object, model: string) {
  const clock = createVirtualClock();
  const loadedAt = new Map<string, Milliseconds>();
  const stopsAt = () => worlds.get(this)?.stopsAt ?? Infinity;
  const decidesAt = () => worlds.get(this)?.decidesAt ?? 0;
  const { fleet, context } = contextOf(clock, loadedAt, stopsAt, decidesAt);
  const models = [{ name: model, version: 1, adapters: [] }];
  fleet.applyList(
    [{ id: "e1", service: "engines", address, domain: "d1", slots: 8, leaving: false, models }],
    { readFrom: "store", position: { end: 1, generation: 0 }, isContinuous: true },
  );
  const route = { name: "none" } as Route;
  const times = { stopsAt: Infinity, decidesAt: 0, queueMs: 0 };
  worlds.set(this, { clock, fleet, context, loadedAt, route, written: false, ...times });
});

Given(
  "a streaming route with an objective of {int} ms, a caller patience of {int} ms and a timeout of {int} ms",
  function (this: object, objectiveMs: number, patienceMs: number, timeoutMs: number) {
    stateOf(this).route = {
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
  "the weights of {string} are expected to load in {int} ms",
  function (this: object, model: string, ms: number) {
    stateOf(this).loadedAt.set(model, ms);
  },
);

Given("the box accepts no requests after {int} ms", function (this: object, ms: number) {
  stateOf(this).stopsAt = ms;
});

Given("the engine asks for a rest of {int} ms", function (this: object, forMs: number) {
  stateOf(this).fleet.recordRest({ target: "e1", forMs });
});

Given("the connection to the engine takes {int} ms", function (this: object, connectMs: number) {
  const state = stateOf(this);
  const opener = (): OpenExchange => (request) => {
    let aborted = false;
    const write = async () => {
      await request.beforeWrite?.();
      state.written = !aborted;
    };
    state.clock.after(connectMs, () => void write());
    return {
      progress: () => ({ written: false, unsentBytes: 0 }),
      abort: () => void (aborted = true),
      pause: () => undefined,
      resume: () => undefined,
    };
  };
  state.context = { ...state.context, paths: { opener } };
});

Given("no lease holder plans loads for {int} ms", function (this: object, ms: number) {
  stateOf(this).decidesAt = ms;
});

/** Records the response that the caller would get. */
function sinkOf(state: ForwardingWorld): ResponseSink {
  let detached = false;
  const listeners: (() => void)[] = [];
  return {
    headersSent: () => state.response !== undefined,
    writeHead: () => undefined,
    write: () => true,
    onDrain: () => undefined,
    end: () => undefined,
    abort: () => undefined,
    send: (status, headers) => void (state.response = { status, headers }),
    isCallerGone: () => detached,
    detach() {
      detached = true;
      for (const listener of listeners) listener();
    },
    onCallerGone: (listener) => void listeners.push(listener),
  };
}

function requestOf(
  state: ForwardingWorld,
  id: string,
  model: string,
  adapter?: string,
): ForwardedRequest {
  const { route, clock } = state;
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
    rank: 1,
    sink: sinkOf(state),
    arrivedAt: clock.now(),
    responseStartDueAt: clock.now() + (route.eventTimeoutMs ?? route.timeoutMs),
    deadlineAt: clock.now() + route.timeoutMs,
    streamPosition: {},
    triedTargets: new Set(),
    targetsWithoutPlace: new Set(),
    possibleRuns: 0,
    sends: 0,
    unwrittenSends: 0,
    maxStreamGapMs: 0,
    isFinalAttempt: false,
  };
}

/** Time in which a request that is decided immediately ends. */
const settleMs = 1;

When("a request for {string} arrives", async function (this: object, weights: string) {
  const [model, adapter] = weights.split("/");
  const state = stateOf(this);
  const { clock, context } = state;
  const request = requestOf(state, "r1", model, adapter);
  state.request = request;
  void forwardRequest(context, request).then((outcome) => void (state.outcome = outcome));
  await clock.runUntil(settleMs);
});

When(
  "the engine has loaded the adapter {string} after {int} ms",
  async function (this: object, weights: string, ms: number) {
    const [name, adapter] = weights.split("/");
    const { clock, fleet } = stateOf(this);
    await clock.runUntil(ms);
    const models = [{ name, version: 1, adapters: [adapter] }];
    fleet.applyRelayedHoldings("e1", { sequence: 1, models });
    await clock.runUntil(ms + settleMs);
  },
);

When(
  "the engine has loaded {string} after {int} ms",
  async function (this: object, model: string, ms: number) {
    const { clock, fleet } = stateOf(this);
    await clock.runUntil(ms);
    const models = [{ name: model, version: 1, adapters: [] }];
    fleet.applyRelayedHoldings("e1", { sequence: 1, models });
    await clock.runUntil(ms + settleMs);
  },
);

Then(
  "it is refused at once with {int}, with a Retry-After of {int} ms",
  function (this: object, status: number, ms: number) {
    const { response } = stateOf(this);
    assert.equal(response?.status, status);
    const retryAfter = response.headers[response.headers.indexOf("Retry-After") + 1];
    assert.equal(Number(retryAfter) * 1000, ms);
  },
);

Given(
  "the engine accepts {int} connections and other boxes use {int} of them",
  function (this: object, maxConnections: number, inFlight: number) {
    assert.equal(service.maxConnections, maxConnections);
    stateOf(this).fleet.setOtherBoxesLoads(new Map([["e1", { inFlight, promptTokens: 0 }]]));
  },
);

/** Prefill speed of the engine. */
const tokensPerMs = 50;

Given("the engine has prompts for {int} ms of prefill queued", function (this: object, ms: number) {
  const { fleet } = stateOf(this);
  fleet.setOtherBoxesLoads(new Map([["e1", { inFlight: 4, promptTokens: ms * tokensPerMs }]]));
  stateOf(this).queueMs = ms;
});

Then(
  "it is refused at once with {int}, with a Retry-After no shorter than the queue",
  function (this: object, status: number) {
    const { response, queueMs } = stateOf(this);
    assert.equal(response?.status, status);
    const retryAfter = response.headers[response.headers.indexOf("Retry-After") + 1];
    assert.ok(Number(retryAfter) * 1000 >= queueMs);
  },
);

Then("it is still held after {int} ms", async function (this: object, ms: number) {
  const state = stateOf(this);
  await state.clock.runUntil(ms);
  assert.equal(state.outcome, undefined);
});

Then(
  "it is refused with {int} within {int} ms",
  async function (this: object, status: number, ms: number) {
    const state = stateOf(this);
    await state.clock.runUntil(ms);
    assert.equal(state.response?.status, status);
  },
);

When("its work is ended after {int} ms", async function (this: object, ms: number) {
  const { clock, request } = stateOf(this);
  await clock.runUntil(ms);
  request?.sink.detach();
});

Then("no byte of it was written after {int} ms", async function (this: object, ms: number) {
  const state = stateOf(this);
  await state.clock.runUntil(ms);
  assert.deepEqual([state.written, state.outcome?.outcome], [false, "gone"]);
});

Then("no byte of it was written", function (this: object) {
  assert.equal(stateOf(this).written, false);
});

Then("it is sent to the engine", function (this: object) {
  assert.ok((stateOf(this).request?.sends ?? 0) > 0);
});

const finalAttempts = new WeakMap<object, Map<string, ForwardedRequest>>();

/** A request by its id; requests on their final attempt are kept between steps. */
function requestById(world: object, id: string): ForwardedRequest {
  return finalAttempts.get(world)?.get(id) ?? requestOf(stateOf(world), id, "m1");
}

function targetFor(world: object, id: string): string | undefined {
  const picked = pickTarget(stateOf(world).context, requestById(world, id));
  return picked.kind === "target" ? picked.target.listed.id : undefined;
}

Given(
  "{string} and {string} are on their final attempt",
  function (this: object, first: string, second: string) {
    const requests = [first, second].map((id) => requestOf(stateOf(this), id, "m1"));
    for (const request of requests) request.isFinalAttempt = true;
    finalAttempts.set(this, new Map(requests.map((request) => [request.terms.id, request])));
  },
);

When("{string} runs on the engine", function (this: object, id: string) {
  stateOf(this).context.finalAttempts.start(requestById(this, id), "e1");
});

When("{string} has ended", function (this: object, id: string) {
  stateOf(this).context.finalAttempts.end(requestById(this, id), "e1");
});

Then(
  "no target is picked for {string}, and the engine is picked for {string}",
  function (this: object, avoiding: string, other: string) {
    assert.equal(targetFor(this, avoiding), undefined);
    assert.equal(targetFor(this, other), "e1");
  },
);

Then("the engine is picked for {string}", function (this: object, id: string) {
  assert.equal(targetFor(this, id), "e1");
});
