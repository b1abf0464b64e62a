/** A simulated deployment in one process: real boxes, test doubles, a virtual clock and a faulty network. */
import { type Box, type BoxPorts, createBox } from "@linkfall/box";
import { createVirtualClock, type Random, seededRandom, type VirtualClock } from "@linkfall/kernel";
import { type EventName, recordingLogger } from "@linkfall/logger";
import { type CallerRequest, type CallerResponse, streams } from "@linkfall/ports";
import {
  type BatchOptions,
  type BoxListCore,
  createBoxListCore,
  createEngineCore,
  createLogCore,
  createServiceCore,
  createWeightStoreCore,
  type EngineCore,
  type LogCore,
  type ServiceCore,
  type WeightStoreCore,
} from "@linkfall/stand-ins";
import { stateStoreName } from "@linkfall/state-store";
import type { Engine, Milliseconds } from "@linkfall/types";
import { resolveUnlessKilled } from "./interruptible-bodies.js";
import { checkStart, checkUnload, countRun, createEpochCheck } from "./engine-checks.js";
import { createPausableProcess, type PausableProcess } from "./pausable-process.js";
import { createNetwork, type Network } from "./network.js";
import { domains, hashOf, serviceAddresses, soakEngines } from "./resources.js";
import { type ExtraSettings, operatorToken, soakSettings, soakBatchOptions } from "./settings.js";
import { withInterruptibleBody, createWorldPorts, type Trace } from "./world-ports.js";

const listLagMs: Milliseconds = 700;
const reportLagMs: Milliseconds = 300;
/** Boxes disturbed within this time before an append are excluded from in-force times. */
const disturbanceGraceMs: Milliseconds = 5_000;
const maxConcurrentLoads = 8;
const serviceCallMs: Milliseconds = 30;
/** Time from the start of a crashing request to the crash of its target. */
const crashDelayMs: Milliseconds = 20;
/** Time until a crashed target restarts. */
const downtimeMs: Milliseconds = 2_000;

/** A box and its simulated process. */
export interface WorldBox {
  readonly name: string;
  readonly peerAddress: string;
  readonly box: Box;
  readonly process: PausableProcess;
  /** Whether the box is draining. */
  draining: boolean;
  /** Number of active faults of this box or its links. */
  disturbances: number;
  /** Last time at which such a fault started or ended. */
  disturbedAt: Milliseconds;
  /** Time since which the box is partitioned from the log, the box list and all other boxes. */
  isolatedSince?: Milliseconds;
}

/** An engine that can be taken down. */
export interface WorldEngine {
  readonly core: EngineCore;
  down: boolean;
  leavingSince?: Milliseconds;
}

/** No prompt begins with this. */
const missingTrigger = "\u0000";

/** A simulated deployment. */
export interface World {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly network: Network;
  readonly log: LogCore;
  readonly list: BoxListCore;
  readonly weights: WeightStoreCore;
  readonly engines: readonly WorldEngine[];
  /** Last time at which an engine restarted, stopped or started leaving. */
  engineLostAt: Milliseconds;
  readonly services: readonly ServiceCore[];
  readonly boxes: WorldBox[];
  /** Prompt, or body of a service call, that crashes the target that runs it. */
  crashTrigger?: string;
  /** Number of targets crashed by it. */
  crashes: number;
  /** Number of runs by prompt at engines, and by path and body at services. */
  readonly runs: Map<string, number>;
  readonly violations: string[];
  violation(text: string): void;
  readonly eventCounts: Map<EventName, number>;
  /** Time from the append of a write until it is in force, for each accepted write and undisturbed box. */
  readonly inForceTimes: Milliseconds[];
  startBox(name: string): Promise<WorldBox>;
  removeBox(box: WorldBox): void;
  /** Boxes whose process is running. */
  liveBoxes(): readonly WorldBox[];
  /** Sends a caller's request to a box; resolves to undefined if the connection breaks. */
  call(box: WorldBox, request: CallerRequest): Promise<CallerResponse | undefined>;
  /** Checks that concurrent loads stayed within the limit of the weight store. */
  checkWeights(): void;
}

/** The targets of a simulated deployment. */
export interface WorldTargets {
  readonly engines: readonly Engine[];
  readonly serviceAddresses: readonly string[];
  readonly domains: readonly string[];
  readonly batchOptions: Omit<BatchOptions, "concurrency">;
  /** Transfer rate of the weight store for each load. */
  readonly weightMbPerSecond: number;
}

/** The targets of the randomised runs. */
const soakTargets: WorldTargets = {
  engines: soakEngines,
  serviceAddresses,
  domains,
  batchOptions: soakBatchOptions,
  weightMbPerSecond: 1_500,
};

export interface WorldOptions {
  readonly targets?: WorldTargets;
  readonly settings?: ExtraSettings;
  readonly trace?: Trace;
}

/** Creates a simulated deployment without boxes. */
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
  const trace = options.trace ?? (() => undefined);

  const violation = (text: string) => {
    violations.push(`${(clock.now() / 1000).toFixed(1)} s: ${text}`);
  };
  const checkEpoch = createEpochCheck(violation);

  const scheduleCrash = (crash: () => void) => {
    clock.after(crashDelayMs, () => {
      world.crashes += 1;
      crash();
    });
  };
  const crashEngine = (engine: WorldEngine) => {
    engine.down = true;
    engine.core.restart();
    world.engineLostAt = clock.now();
    clock.after(downtimeMs, () => (engine.down = false));
  };

  const engines: WorldEngine[] = targets.engines.map((declared) => {
    const engine: WorldEngine = {
      down: false,
      core: createEngineCore({
        engine: declared,
        clock,
        random,
        store: weights,
        batchOptions: { ...targets.batchOptions, concurrency: declared.concurrency },
        reportLagMs,
        onViolation: violation,
        onRequestStarted(request) {
          checkStart(world, engine, request);
          if (request.prompt.startsWith(world.crashTrigger ?? missingTrigger))
            scheduleCrash(() => crashEngine(engine));
        },
        onOrder: (order) => checkEpoch(declared, order),
        onUnload: (artifact) => checkUnload(world, declared.name, artifact),
      }),
    };
    return engine;
  });
  const services = targets.serviceAddresses.map((address): ServiceCore => {
    const service = createServiceCore(address, clock, serviceCallMs, (path, body) => {
      countRun(world, `${path} ${body}`);
      if (body === world.crashTrigger) scheduleCrash(() => service.crash(downtimeMs));
    });
    return service;
  });

  const recordInForceTimes = (worldBox: WorldBox) => {
    const store = worldBox.box.kernel.find(stateStoreName);
    store.onFold((event) => {
      if (event.type !== "write_accepted") return;
      const appendedAt = log.appendedAt(streams.state, event.revision);
      const disturbed =
        worldBox.disturbances > 0 || worldBox.disturbedAt > appendedAt - disturbanceGraceMs;
      if (!disturbed) inForceTimes.push(clock.now() - appendedAt);
    });
  };

  const startBox = async (name: string): Promise<WorldBox> => {
    const process = createPausableProcess(clock);
    const domain = targets.domains[Number(name.slice(1)) % targets.domains.length];
    const settings = soakSettings(name, domain, hashOf(operatorToken), options.settings);
    const ports: BoxPorts = {
      clock: process.clock,
      random,
      logger: recordingLogger((event) => eventCounts.set(event, (eventCounts.get(event) ?? 0) + 1)),
      ...createWorldPorts({ world, name, process, trace }),
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
    recordInForceTimes(worldBox);
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
    crashes: 0,
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
      const responsePromise = target.process.deliver(target.box.callers.handle(request));
      const response = await resolveUnlessKilled(clock, target.process, responsePromise);
      if (!response && target.draining) violation(`draining ${target.name} aborted a request`);
      return response && withInterruptibleBody(world, target, response);
    },
    checkWeights() {
      if (weights.peakConcurrentLoads() > maxConcurrentLoads)
        violation(`${weights.peakConcurrentLoads()} loads ran concurrently`);
    },
  };
  return world;
}
