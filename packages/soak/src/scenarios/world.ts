/** A whole deployment in one process: real boxes over stand-ins, a virtual clock and faulty links. */
import { type Box, type BoxPorts, createBox } from "@linkfall/box";
import type { LogFailure, PeerUnreachable } from "@linkfall/errors";
import {
  createVirtualClock,
  type Random,
  seededRandom,
  type VirtualClock,
  withTimeout,
} from "@linkfall/kernel";
import { type EventName, recordingLogger } from "@linkfall/logger";
import {
  type BodyPart,
  type CallerRequest,
  type CallerResponse,
  type EnginePort,
  type LogPort,
  type PeerPort,
  streams,
  type TargetPort,
  type TargetResponse,
} from "@linkfall/ports";
import {
  type BatchSpeeds,
  type BoxListCore,
  createBoxListCore,
  createEngineCore,
  createLogCore,
  createServiceCore,
  createWeightStoreCore,
  type EngineCore,
  type EngineRequest,
  type LogCore,
  type ServiceCore,
  type WeightStoreCore,
} from "@linkfall/stand-ins";
import { stateStoreName } from "@linkfall/state-store";
import type { Engine, Milliseconds, Order } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { createGatedProcess, type GatedProcess } from "./gated-process.js";
import { createNetwork, type Network, peerLost, targetLost } from "./network.js";
import { domains, hashOf, serviceAddresses, soakEngines } from "./resources.js";
import { type ExtraSettings, operatorToken, soakSettings, soakSpeeds } from "./settings.js";

const listLagMs: Milliseconds = 700;
const reportLagMs: Milliseconds = 300;
const peerLimitMs: Milliseconds = 1_500;
const weightLoadsAtOnce = 8;
const serviceWorkMs: Milliseconds = 30;
/** A leaving target must get no new work after this time. */
const leavingGraceMs: Milliseconds = 3_000;

/** After the loss of an engine an unload that was right when it was ordered may still arrive. */
const unloadGraceMs: Milliseconds = 10_000;

/** A box with the process that it runs in. */
export interface WorldBox {
  readonly name: string;
  readonly peerAddress: string;
  readonly box: Box;
  readonly process: GatedProcess;
  /** Whether a planned stop has begun. */
  draining: boolean;
  /** Faults that touch this box or its links now. */
  disturbances: number;
  /** Last time at which such a fault began or ended. */
  disturbedAt: Milliseconds;
  /** Since when it has reached neither the log nor any other box. */
  isolatedSince?: Milliseconds;
}

/** An engine that can be out of reach. */
export interface WorldEngine {
  readonly core: EngineCore;
  down: boolean;
  leavingSince?: Milliseconds;
}

/** One exchange with the outside, for golden files. */
export type Trace = (line: string) => void;

export interface World {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly network: Network;
  readonly log: LogCore;
  readonly list: BoxListCore;
  readonly weights: WeightStoreCore;
  readonly engines: readonly WorldEngine[];
  /** Last time at which an engine restarted, stopped or began to leave. */
  engineLostAt: Milliseconds;
  readonly services: readonly ServiceCore[];
  readonly boxes: WorldBox[];
  /** Starts of a prompt at engines, and of a body at services. */
  readonly runs: Map<string, number>;
  readonly violations: string[];
  violation(text: string): void;
  readonly eventCounts: Map<EventName, number>;
  /** For each accepted write and box in good order: the time from the log to its being in force there. */
  readonly inForceTimes: Milliseconds[];
  startBox(name: string): Promise<WorldBox>;
  removeBox(box: WorldBox): void;
  /** Boxes whose process runs. */
  liveBoxes(): readonly WorldBox[];
  /** Sends a caller's request to a box; undefined when the connection breaks. */
  call(box: WorldBox, request: CallerRequest): Promise<CallerResponse | undefined>;
  /** Checks that the weight store's limit was kept. */
  checkWeights(): void;
}

/** The targets of a world. */
export interface WorldTargets {
  readonly engines: readonly Engine[];
  readonly serviceAddresses: readonly string[];
  readonly domains: readonly string[];
  readonly speeds: Omit<BatchSpeeds, "concurrency">;
  /** What the weight store gives each load, in megabytes a second. */
  readonly weightMbPerSecond: number;
}

/** The targets of the randomised runs. */
const soakTargets: WorldTargets = {
  engines: soakEngines,
  serviceAddresses,
  domains,
  speeds: soakSpeeds,
  weightMbPerSecond: 1_500,
};

export interface WorldOptions {
  readonly targets?: WorldTargets;
  readonly settings?: ExtraSettings;
  readonly trace?: Trace;
}

/** Creates a world without boxes. */
export function createWorld(seed: number, options: WorldOptions = {}): World {
  const clock = createVirtualClock();
  const random = seededRandom(seed);
  const network = createNetwork(clock, random);
  const log = createLogCore(clock, random);
  const list = createBoxListCore(clock, listLagMs);
  const targets = options.targets ?? soakTargets;
  const weights = createWeightStoreCore(clock, targets.weightMbPerSecond);
  const runs = new Map<string, number>();
  const violations: string[] = [];
  const eventCounts = new Map<EventName, number>();
  const inForceTimes: Milliseconds[] = [];
  const boxes: WorldBox[] = [];
  const epochsTaken = new Map<string, number>();
  const trace = options.trace ?? (() => undefined);

  const violation = (text: string) => {
    violations.push(`${(clock.now() / 1000).toFixed(1)} s: ${text}`);
  };
  const countRun = (key: string) => runs.set(key, (runs.get(key) ?? 0) + 1);

  const noteStart = (engine: WorldEngine, request: EngineRequest) => {
    countRun(request.prompt);
    const since = engine.leavingSince;
    if (since !== undefined && clock.now() - since > leavingGraceMs) {
      violation(
        `${engine.core.engine.name} got new work ${clock.now() - since} ms after it began to leave`,
      );
    }
  };

  /** An unload must not take the last copy that serves a model. */
  const noteUnload = (from: string, artifact: string) => {
    const anyVersion = artifact.slice(0, artifact.lastIndexOf("@") + 1);
    const serves = engines.some(({ core, down }) => {
      const copies = core.residents().filter((copy) => copy.state === "ready");
      const sameModel = copies.filter((copy) => copy.artifact.startsWith(anyVersion));
      const others = sameModel.filter(
        (copy) => core.engine.name !== from || copy.artifact !== artifact,
      );
      return !down && others.length > 0;
    });
    const recentLoss = clock.now() - world.engineLostAt < unloadGraceMs;
    if (!serves && !recentLoss && artifact.startsWith("model:")) {
      violation(`the last ready copy of ${artifact} was unloaded from ${from}`);
    }
  };

  /** Once an engine has taken an order of one epoch, its fence must keep out those of earlier ones. */
  const noteOrder = (engine: Engine, order: Order) => {
    const highest = epochsTaken.get(engine.name) ?? 0;
    if (engine.fenced && order.epoch < highest) {
      violation(`${engine.name} took an order of epoch ${order.epoch} after one of ${highest}`);
    }
    epochsTaken.set(engine.name, Math.max(highest, order.epoch));
  };

  const engines: WorldEngine[] = targets.engines.map((declared) => {
    const engine: WorldEngine = {
      down: false,
      core: createEngineCore({
        engine: declared,
        clock,
        random,
        store: weights,
        speeds: { ...targets.speeds, concurrency: declared.concurrency },
        reportLagMs,
        violation,
        ran: (request) => noteStart(engine, request),
        takes: (order) => noteOrder(declared, order),
        unloads: (artifact) => noteUnload(declared.name, artifact),
      }),
    };
    return engine;
  });
  const services = targets.serviceAddresses.map((address) =>
    createServiceCore(address, clock, serviceWorkMs, (path, body) => countRun(`${path} ${body}`)),
  );

  const engineAt = (address: string) =>
    engines.find((engine) => engine.core.engine.address === address);

  const logPort = (name: string, process: GatedProcess): LogPort => {
    const lost = (): LogFailure => ({ kind: "log_unavailable", reason: "lost on the way" });
    return {
      append: (stream, data) =>
        process.gate(
          network.exchange(name, "log", lost, async () => {
            trace(`${name} appends to ${stream}: ${data}`);
            return log.append(stream, data);
          }),
        ),
      read: (stream, from, limit) =>
        process.gate(network.exchange(name, "log", lost, () => log.read(stream, from, limit))),
    };
  };

  const enginePort = (name: string, process: GatedProcess): EnginePort => {
    const ask = <T>(address: string, act: (core: EngineCore) => T) => {
      const engine = engineAt(address);
      return process.gate(
        network.exchange(name, engine?.core.engine.name ?? address, targetLost, async () =>
          engine && !engine.down ? Right(act(engine.core)) : Left(targetLost(false)),
        ),
      );
    };
    return {
      report: (address) => ask(address, (core) => core.report()),
      raiseFence: (address, epoch) => ask(address, (core) => core.raiseFence(epoch)),
      order(address, order) {
        const again = () => {
          const engine = engineAt(address);
          if (engine && !engine.down) engine.core.order(order);
        };
        if (random.fraction() < network.faults.repeatedOrders) network.deliverLate(again);
        if (random.fraction() < network.faults.lateOrders) {
          network.deliverLate(again);
          return process.gate(Promise.resolve(Left(targetLost(true))));
        }
        return ask(address, (core) => {
          trace(`${name} orders ${order.engine}: ${JSON.stringify(order)}`);
          return core.order(order);
        });
      },
      cacheEvents: (address, after) => ask(address, (core) => core.cacheEvents(after)),
    };
  };

  const engineAnswer = (
    core: EngineCore,
    path: string,
    request: Parameters<TargetPort["send"]>[0],
  ) => {
    const attempt = () => decodeURIComponent(path.split("/")[3].split("?")[0]);
    if (request.method === "POST") {
      const body = JSON.parse(Buffer.from(request.body).toString("utf8")) as EngineRequest;
      return core.complete(request.headers["x-attempt-id"], body);
    }
    if (request.method === "GET") return core.resume(attempt(), Number(path.split("from=")[1]));
    core.cancel(attempt());
    return core.resume("", 0);
  };

  const targetPort = (name: string, process: GatedProcess): TargetPort => ({
    async send(request, signal) {
      const engine = engineAt(request.address);
      const service = services.find((entry) => entry.address === request.address);
      const place = engine?.core.engine.name ?? request.address;
      const act = async () => {
        trace(`${name} sends ${place}: ${request.method} ${request.path}`);
        if (service) return Right(await service.call(request));
        if (!engine || engine.down) return Left(targetLost(false));
        return Right(engineAnswer(engine.core, request.path, request));
      };
      const sent = await process.gate(network.exchange(name, place, targetLost, act));
      return sent.map((response): TargetResponse => {
        const carried = network.carry(place, name, response.body);
        return { ...response, body: untilAborted(process.gateBody(carried), signal) };
      });
    },
  });

  const boxAt = (peerAddress: string) =>
    boxes.find((box) => box.process.state() !== "dead" && box.peerAddress === peerAddress);

  /** What a peer answers, or that it died before it did. */
  const answerOf = async <T>(peer: WorldBox, act: (peer: WorldBox) => Promise<T>) => {
    const answer = peer.process.gate(peer.process.gate(Promise.resolve()).then(() => act(peer)));
    const value = await raceDeath(clock, peer.process, answer);
    return value === undefined ? Left(peerLost(true)) : Right(value);
  };

  const peerPort = (name: string, process: GatedProcess): PeerPort => {
    const ask = <T>(address: string, act: (peer: WorldBox) => Promise<T>) => {
      const peer = boxAt(address);
      return process.gate(
        network.exchange(name, peer?.name ?? address, peerLost, async () =>
          peer && peer.process.state() !== "dead" ? answerOf(peer, act) : Left(peerLost(false)),
        ),
      );
    };
    const limited = async <T>(asked: Promise<Either<PeerUnreachable, T>>) =>
      (await withTimeout(process.clock, peerLimitMs, asked)) ?? Left(peerLost(true));
    return {
      heartbeat: (address, message) =>
        limited(ask(address, async (peer) => peer.box.peerHandler.heartbeat(message))),
      reportUsage: (address, report) =>
        limited(ask(address, async (peer) => peer.box.peerHandler.reportUsage(report))),
      readReports: (address, request) =>
        limited(ask(address, async (peer) => peer.box.peerHandler.readReports(request))),
      fetchState: (address) =>
        limited(ask(address, async (peer) => peer.box.peerHandler.fetchState())),
      async forward(address, request) {
        return ask(address, async (peer) => {
          return bodyOver(peer, await peer.box.peerHandler.forward(request));
        });
      },
    };
  };

  /** A body that breaks off when the box that gives it dies. */
  const bodyOver = (box: WorldBox, response: CallerResponse): CallerResponse => {
    if (response.body instanceof Uint8Array) return response;
    return { ...response, body: untilDead(clock, box.process, response.body) };
  };

  const noteInForceTimes = (worldBox: WorldBox) => {
    const store = worldBox.box.kernel.find(stateStoreName);
    store.onFold((event) => {
      if (event.type !== "write_accepted") return;
      const appendedAt = log.appendedAt(streams.state, event.revision);
      const touched = worldBox.disturbances > 0 || worldBox.disturbedAt > appendedAt;
      if (!touched) inForceTimes.push(clock.now() - appendedAt);
    });
  };

  const startBox = async (name: string): Promise<WorldBox> => {
    const process = createGatedProcess(clock);
    const domain = targets.domains[Number(name.slice(1)) % targets.domains.length];
    const settings = soakSettings(name, domain, hashOf(operatorToken), options.settings);
    const ports: BoxPorts = {
      clock: process.clock,
      random,
      logger: recordingLogger((event) => eventCounts.set(event, (eventCounts.get(event) ?? 0) + 1)),
      log: logPort(name, process),
      boxList: {
        read: () =>
          process.gate(
            network.exchange(
              name,
              "list",
              () => ({ kind: "log_unavailable", reason: "lost" }) as const,
              () => list.read(),
            ),
          ),
      },
      peers: peerPort(name, process),
      engines: enginePort(name, process),
      targets: targetPort(name, process),
    };
    const peerAddress = settings.box.peer_address;
    const box = createBox(settings, ports);
    const disturbedAt = clock.now();
    const worldBox: WorldBox = {
      name,
      peerAddress,
      box,
      process,
      draining: false,
      disturbances: 0,
      disturbedAt,
    };
    boxes.push(worldBox);
    list.set({ box: name, peerAddress, state: "live" });
    noteInForceTimes(worldBox);
    void worldBox.box.start();
    return worldBox;
  };

  const world: World = {
    clock,
    random,
    network,
    log,
    list,
    weights,
    engines,
    engineLostAt: -Infinity,
    services,
    boxes,
    runs,
    violations,
    violation,
    eventCounts,
    inForceTimes,
    startBox,
    removeBox(box) {
      box.process.kill();
      boxes.splice(boxes.indexOf(box), 1);
    },
    liveBoxes: () => boxes.filter((box) => box.process.state() === "running"),
    async call(target, request) {
      if (target.process.state() === "dead") return undefined;
      const answered = target.process.gate(target.box.callers.handle(request));
      const response = await raceDeath(clock, target.process, answered);
      if (!response && target.draining)
        violation(`the planned stop of ${target.name} cut a request`);
      return response && bodyOver(target, response);
    },
    checkWeights() {
      if (weights.peak() > weightLoadsAtOnce) violation(`${weights.peak()} loads ran at once`);
    },
  };
  return world;
}

const deathCheckMs: Milliseconds = 50;

/** The result, or undefined once the process that should give it is dead. */
function raceDeath<T>(clock: VirtualClock, process: GatedProcess, result: Promise<T>) {
  return new Promise<T | undefined>((resolve, reject) => {
    let settled = false;
    const check = () => {
      if (settled) return;
      if (process.state() === "dead") resolve(undefined);
      else clock.after(deathCheckMs, check);
    };
    check();
    result.then(
      (value) => {
        settled = true;
        resolve(value);
      },
      (problem) => {
        settled = true;
        reject(problem);
      },
    );
  });
}

async function* untilDead(
  clock: VirtualClock,
  process: GatedProcess,
  body: AsyncIterable<BodyPart>,
) {
  const parts = body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const read = await raceDeath(clock, process, process.gate(parts.next()));
      if (read === undefined) {
        yield Left(targetLost(true));
        return;
      }
      if (read.done) return;
      yield read.value;
    }
  } finally {
    void parts.return?.(undefined);
  }
}

/** A body that ends like a cut one when its reader gives it up. */
async function* untilAborted(body: AsyncIterable<BodyPart>, signal: AbortSignal) {
  const parts = body[Symbol.asyncIterator]();
  const aborted = new Promise<undefined>((resolve) => {
    if (signal.aborted) resolve(undefined);
    signal.addEventListener("abort", () => resolve(undefined), { once: true });
  });
  try {
    for (;;) {
      const read = await Promise.race([parts.next(), aborted]);
      if (read === undefined) {
        yield Left(targetLost(true));
        return;
      }
      if (read.done) return;
      yield read.value;
    }
  } finally {
    void parts.return?.();
  }
}
