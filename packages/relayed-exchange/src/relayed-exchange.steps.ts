import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { TargetUnreachable } from "@linkfall/errors";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import type {
  Exchange,
  ExchangeListener,
  ExchangeRequest,
  OpenExchange,
} from "@linkfall/raw-exchange";
import type { ExchangeReach } from "./direct-path.js";
import {
  createRelay,
  createTargetPaths,
  type FrameStream,
  type FrameStreamListener,
  type TargetLookup,
} from "./index.js";

/** A direct exchange of a stand-in connection. */
interface DirectExchange {
  readonly request: ExchangeRequest;
  readonly listener: ExchangeListener;
  written: boolean;
  aborted: boolean;
  paused: boolean;
}

/** How the stand-in connections of a box end up. */
type Connecting = "established" | "hanging" | "refused";

interface BoxStandIn {
  connecting: Connecting;
  cutOff: boolean;
  stopping: boolean;
  lookup: TargetLookup;
  readonly exchanges: DirectExchange[];
  readonly reach: ExchangeReach;
  readonly openDirect: OpenExchange;
  findCutOff(): void;
}

interface Scene {
  readonly clock: VirtualClock;
  readonly self: BoxStandIn;
  readonly relays: Map<string, BoxStandIn>;
  readonly tried: string[];
  readonly breakStream: Map<string, () => void>;
  readonly received: Buffer[];
  handsOver: boolean;
  /** Hands over the request that waits for it. */
  handOver(): void;
  complete: boolean;
  failure?: TargetUnreachable;
  exchange?: Exchange;
}

const connectTimeoutMs = 400;
const scenes = new WeakMap<object, Scene>();

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const relayOf = (world: object, name: string) => {
  const relay = sceneOf(world).relays.get(name);
  assert.ok(relay);
  return relay;
};

/** Lets all promises and delivered frames settle. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await new Promise((resolve) => setImmediate(resolve));
}

function createBoxStandIn(): BoxStandIn {
  const listeners: ((isCutOff: boolean, since: number) => void)[] = [];
  const box: BoxStandIn = {
    connecting: "established",
    cutOff: false,
    stopping: false,
    lookup: { kind: "address", address: "127.0.0.1:1" },
    exchanges: [],
    reach: {
      recordConnected: () => undefined,
      recordConnectFailure: () => undefined,
      isCutOff: () => box.cutOff,
      whenSettled: () => Promise.resolve(),
      onChange: (listener) => void listeners.push(listener),
    },
    openDirect(request, listener) {
      const exchange = { request, listener, written: false, aborted: false, paused: false };
      box.exchanges.push(exchange);
      const connect = async () => {
        if (box.connecting === "hanging") return;
        if (box.connecting === "refused") {
          const reason = "connect ECONNREFUSED";
          const failure = { kind: "target_unreachable", reason, mayHaveArrived: false } as const;
          return listener.onFailure(failure);
        }
        await request.beforeWrite?.();
        exchange.written = !exchange.aborted;
      };
      queueMicrotask(() => void connect());
      return {
        progress: () => ({ written: exchange.written, unsentBytes: 0 }),
        abort: () => void (exchange.aborted = true),
        pause: () => void (exchange.paused = true),
        resume: () => void (exchange.paused = false),
      };
    },
    findCutOff() {
      box.cutOff = true;
      for (const listener of listeners) listener(true, 0);
    },
  };
  return box;
}

/** Two ends of a stream in memory; frames and closes arrive in later turns. */
function createStreamPair(): { near: FrameStream; far: FrameStream; break: () => void } {
  const ends: { listener?: FrameStreamListener; closed: boolean }[] = [
    { closed: false },
    { closed: false },
  ];
  const close = (end: (typeof ends)[number], reason: string) =>
    queueMicrotask(() => {
      if (end.closed) return;
      end.closed = true;
      end.listener?.onClosed(reason);
    });
  const endOf = (own: (typeof ends)[number], other: (typeof ends)[number]): FrameStream => ({
    write: (frame) =>
      queueMicrotask(() => {
        if (!other.closed) other.listener?.onFrame(Buffer.from(frame));
      }),
    end: () => close(other, "ended"),
    cancel() {
      own.closed = true;
      close(other, "cancelled");
    },
    listen: (listener) => void (own.listener = listener),
  });
  const [near, far] = ends;
  return {
    near: endOf(near, far),
    far: endOf(far, near),
    break() {
      for (const end of ends) close(end, "the connection was lost");
    },
  };
}

Given("a box that is cut off and the relays {string}", function (this: object, names: string) {
  const relays = new Map(names.split(" ").map((name) => [name, createBoxStandIn()]));
  const self = createBoxStandIn();
  self.cutOff = true;
  scenes.set(this, {
    clock: createVirtualClock(),
    self,
    relays,
    tried: [],
    breakStream: new Map(),
    received: [],
    handsOver: true,
    handOver: () => undefined,
    complete: false,
  });
});

Given("{string} connects to no target", function (this: object, name: string) {
  relayOf(this, name).connecting = "hanging";
});

Given("connections of {string} to the target are refused", function (this: object, name: string) {
  relayOf(this, name).connecting = "refused";
});

Given("{string} is cut off as well", function (this: object, name: string) {
  relayOf(this, name).cutOff = true;
});

Given("{string} knows the target as leaving", function (this: object, name: string) {
  relayOf(this, name).lookup = { kind: "declined", reason: "the target is leaving" };
});

Given("the box hands no request over", function (this: object) {
  sceneOf(this).handsOver = false;
});

Given("the box is not known to be cut off yet, and its connections hang", function (this: object) {
  const { self } = sceneOf(this);
  self.cutOff = false;
  self.connecting = "hanging";
});

When(
  "the box sends a request with a body of {int} bytes",
  async function (this: object, size: number) {
    const scene = sceneOf(this);
    const { clock, self } = scene;
    const dial = (name: string): FrameStream => {
      const relay = relayOf(this, name);
      const pair = createStreamPair();
      scene.breakStream.set(name, pair.break);
      createRelay({
        clock,
        reach: relay.reach,
        openDirect: relay.openDirect,
        relays: () => !relay.cutOff && !relay.stopping,
        find: () => relay.lookup,
        refusesConnections: () => Promise.resolve(relay.connecting === "refused"),
        onEnd: () => undefined,
      }).accept(pair.far);
      return pair.near;
    };
    const paths = createTargetPaths({
      clock,
      reach: self.reach,
      openDirect: self.openDirect,
      relays: () => [...scene.relays.keys()].map((box) => ({ box, peerAddress: box })),
      dial: ({ box }) => dial(box),
      onRelayedEnd: () => undefined,
    });
    const hooks = { headers: () => [], onRelay: (box: string) => void scene.tried.push(box) };
    const request = {
      address: "127.0.0.1:1",
      method: "POST",
      path: "/",
      headers: [],
      body: Buffer.alloc(size, "b"),
      connectTimeoutMs,
      beforeWrite: () =>
        scene.handsOver
          ? Promise.resolve()
          : new Promise<void>((resolve) => (scene.handOver = resolve)),
    };
    scene.exchange = paths.opener({ id: "t1" }, hooks)(request, {
      onHead: () => undefined,
      onBytes: (bytes) => void scene.received.push(bytes),
      onComplete: () => void (scene.complete = true),
      onFailure: (failure) => void (scene.failure = failure),
    });
    await settle();
  },
);

/** The exchange of the relay that has written the request. */
function writtenExchange(world: object): DirectExchange {
  const all = [...sceneOf(world).relays.values()].flatMap(({ exchanges }) => exchanges);
  const exchange = all.find(({ written }) => written);
  assert.ok(exchange, "no relay has written the request");
  return exchange;
}

const okHead = { status: 200, headers: [], framing: "chunked" } as const;

When(
  "the target responds with {string}, {string} and completes",
  async function (this: object, first: string, second: string) {
    const { listener } = writtenExchange(this);
    listener.onHead(okHead);
    listener.onBytes(Buffer.from(first));
    listener.onBytes(Buffer.from(second));
    listener.onComplete();
    await settle();
  },
);

/** Parts that the target has yet to send. */
const pendingParts = new WeakMap<object, Buffer[]>();
const sentBytes = new WeakMap<object, number>();

async function sendUntilPaused(world: object): Promise<void> {
  const exchange = writtenExchange(world);
  const parts = pendingParts.get(world) ?? [];
  while (!exchange.paused && parts.length > 0) {
    const part = parts.shift() as Buffer;
    sentBytes.set(world, (sentBytes.get(world) ?? 0) + part.length);
    exchange.listener.onBytes(part);
    await settle();
  }
}

When(
  "the target is asked for {int} parts of {int} bytes while the caller takes none",
  async function (this: object, count: number, size: number) {
    pendingParts.set(
      this,
      Array.from({ length: count }, () => Buffer.alloc(size)),
    );
    writtenExchange(this).listener.onHead(okHead);
    sceneOf(this).exchange?.pause();
    await sendUntilPaused(this);
  },
);

When("the caller takes what arrives", async function (this: object) {
  sceneOf(this).exchange?.resume();
  await settle();
  await sendUntilPaused(this);
});

Then("the target has been read for at most {int} bytes", function (this: object, max: number) {
  assert.ok((sentBytes.get(this) ?? 0) <= max, `${sentBytes.get(this)} bytes`);
});

Then("the target has been read for {int} bytes", function (this: object, bytes: number) {
  assert.equal(sentBytes.get(this), bytes);
});

When("the caller leaves", async function (this: object) {
  sceneOf(this).exchange?.abort();
  await settle();
});

When("the stream to {string} breaks", async function (this: object, name: string) {
  sceneOf(this).breakStream.get(name)?.();
  await settle();
});

When("{int} ms pass for the boxes and relays", async function (this: object, ms: number) {
  const { clock } = sceneOf(this);
  await clock.runUntil(clock.now() + ms);
  await settle();
});

When("{string} is found to be cut off", async function (this: object, name: string) {
  relayOf(this, name).findCutOff();
  await settle();
});

When("{string} begins to stop", function (this: object, name: string) {
  relayOf(this, name).stopping = true;
});

When("the box hands the request over", async function (this: object) {
  const scene = sceneOf(this);
  scene.handsOver = true;
  scene.handOver();
  await settle();
});

When("the box is found to be cut off", async function (this: object) {
  sceneOf(this).self.findCutOff();
  await settle();
});

Then("{string} has sent the whole body once", function (this: object, name: string) {
  const all = [...sceneOf(this).relays.values()].flatMap(({ exchanges }) => exchanges);
  assert.equal(all.filter(({ written }) => written).length, 1);
  const [sent] = relayOf(this, name).exchanges.filter(({ written }) => written);
  assert.ok(sent, `${name} has not sent the request`);
  assert.ok(sent.request.body.every((byte) => byte === "b".charCodeAt(0)));
});

Then("the box has received {string} and the end", function (this: object, text: string) {
  const { received, complete } = sceneOf(this);
  assert.equal(Buffer.concat(received).toString(), text);
  assert.ok(complete);
});

Then("{string} has reset its connection to the target", function (this: object, name: string) {
  assert.deepEqual(
    relayOf(this, name).exchanges.map(({ aborted }) => aborted),
    [true],
  );
});

Then("the box has reset its own connection to the target", function (this: object) {
  assert.deepEqual(
    sceneOf(this).self.exchanges.map(({ aborted, written }) => aborted && !written),
    [true],
  );
});

When(
  /^the target of "(.*)" (crashes|resets the connection)$/,
  async function (this: object, name: string, event: string) {
    const relay = relayOf(this, name);
    if (event === "crashes") relay.connecting = "refused";
    const reason = "socket hang up";
    for (const { listener } of relay.exchanges)
      listener.onFailure({ kind: "target_unreachable", reason, mayHaveArrived: true });
    await settle();
  },
);

Then(
  /^the box learns that the target (has crashed|still accepts connections)$/,
  function (this: object, state: string) {
    assert.equal(sceneOf(this).failure?.targetRefuses, state === "has crashed");
  },
);

Then("the relays were tried in the order {string}", function (this: object, names: string) {
  assert.equal(sceneOf(this).tried.join(" "), names);
});

Then(
  /^the exchange fails by (?:"(.*)"|the target) and (may have|has not) arrived$/,
  function (this: object, cause: string | null, arrived: string) {
    const { failure } = sceneOf(this);
    assert.ok(failure, "the exchange has not failed");
    assert.equal(failure.cause, cause ?? undefined);
    assert.equal(failure.mayHaveArrived, arrived === "may have");
  },
);
