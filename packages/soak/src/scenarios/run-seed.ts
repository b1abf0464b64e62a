/** Runs a simulated deployment with callers, operators and faults from one seed, and checks its invariants. */
import { membershipName } from "@linkfall/membership";
import { type StreamName, streams } from "@linkfall/ports";
import { serialiseState } from "@linkfall/state-fold";
import { stateStoreName } from "@linkfall/state-store";
import type { Milliseconds } from "@linkfall/types";
import { createCallers, type ReportedOutcome } from "./callers.js";
import { type FaultName, faultsByName, injectFaults } from "./faults.js";
import { createOperators } from "./operators.js";
import { accounts, boxNames, soakModel } from "./resources.js";
import type { ExtraSettings } from "./settings.js";
import { createWorld, type World, type WorldBox, type WorldOptions } from "./world.js";

const faultsFromMs: Milliseconds = 12_000;
const faultsUntilMs: Milliseconds = 60_000;
const probeAtMs: Milliseconds = 95_000;
/** Duration of a run in virtual time. */
export const endMs: Milliseconds = 112_000;
const modelCount = 10;

/** Result of a run. */
export interface SeedResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly faults: readonly FaultName[];
  readonly outcomes: ReadonlyMap<ReportedOutcome, number>;
  readonly inForceTimes: readonly Milliseconds[];
  readonly acceptedWrites: number;
  readonly conflicts: number;
  readonly appends: LogAppends;
}

/** Appends to the log in a run. */
export interface LogAppends {
  /** Number of appends by stream. */
  readonly byStream: ReadonlyMap<StreamName, number>;
  /** Maximum within any one second, over all streams. */
  readonly peakPerSecond: number;
}

/** Options of a run. */
export interface SeedOptions extends WorldOptions {
  /** Faults to choose from; all by default. */
  readonly faults?: readonly FaultName[];
  /** Receives the simulated deployment before the run, for inspection. */
  readonly onWorld?: (world: World) => void;
}

const membershipCheckIntervalMs: Milliseconds = 1_000;
const membershipGraceMs: Milliseconds = 5_000;
/** Time after a healed partition in which heartbeats arrive again. */
const reconnectGraceMs: Milliseconds = 1_000;
/** While the box list is down, started boxes find each other through the next lease claim in the log. */
const nextLeaseClaimMs: Milliseconds = 7_000;

/** Returns the boxes that are not draining and have not been disturbed for a while. */
function undisturbedBoxes(world: World) {
  const graceMs = world.list.down ? membershipGraceMs + nextLeaseClaimMs : membershipGraceMs;
  const disturbedBefore = world.clock.now() - graceMs;
  return world
    .liveBoxes()
    .filter((box) => box.disturbances === 0 && box.disturbedAt < disturbedBefore && !box.draining);
}

/** Whether heartbeats of one box reach another, directly or relayed by a third. */
function canReceiveFrom(world: World, box: WorldBox, other: WorldBox): boolean {
  const { connectedForMs } = world.network;
  const connected = (a: WorldBox, b: WorldBox) =>
    Math.min(connectedForMs(a.name, b.name), connectedForMs(b.name, a.name)) >= reconnectGraceMs;
  const relays = undisturbedBoxes(world).filter((relay) => relay !== box && relay !== other);
  return (
    connected(box, other) ||
    relays.some((relay) => connected(box, relay) && connected(relay, other))
  );
}

/** Checks periodically that undisturbed boxes do not suspect each other. */
function checkMembership(world: World): void {
  const boxes = undisturbedBoxes(world);
  for (const box of boxes) {
    const alive = new Set(
      box.box.kernel
        .find(membershipName)
        .alive()
        .map((entry) => entry.incarnation),
    );
    const suspected = boxes.find(
      (other) => !alive.has(other.box.incarnation) && canReceiveFrom(world, box, other),
    );
    if (suspected)
      world.violation(`${box.name} suspects ${suspected.name}, which is alive and connected`);
  }
  world.clock.after(membershipCheckIntervalMs, () => checkMembership(world));
}

/** Checks that boxes at the same log offset have the same state. */
function checkStatesAgree(world: World): void {
  const byOffset = new Map<number, string>();
  for (const box of world.liveBoxes()) {
    const state = box.box.kernel.find(stateStoreName).state();
    const text = serialiseState(state);
    const sameOffsetText = byOffset.get(state.offset);
    if (sameOffsetText !== undefined && sameOffsetText !== text) {
      world.violation(`boxes disagree at offset ${state.offset}`);
    }
    byOffset.set(state.offset, text);
  }
}

async function checkReachability(
  world: World,
  callers: ReturnType<typeof createCallers>,
): Promise<void> {
  for (const box of world.liveBoxes()) {
    for (let index = 0; index < modelCount; index++) {
      const account = accounts[index % accounts.length];
      const outcome = await callers.probe(box, account, soakModel(index).name);
      if (outcome !== "answered") {
        world.violation(`model m${index} is not reachable through ${box.name}: ${outcome}`);
      }
    }
  }
}

/** Checks that the boxes stay within the append rate limit of the log. */
function checkAppendLimit({ log, violation }: World): void {
  if (log.refusedAppends() > 0)
    violation(`the log rejected ${log.refusedAppends()} appends over its rate limit`);
}

/** Enables shared polling of reports for every second seed. */
function settingsOf(seed: number): ExtraSettings {
  return { targets: { report_readers: seed % 2 } };
}

/** Runs one seed and returns its result. */
export async function runSeed(seed: number, options: SeedOptions = {}): Promise<SeedResult> {
  const world = createWorld(seed, { ...options, settings: options.settings ?? settingsOf(seed) });
  options.onWorld?.(world);
  const callers = createCallers(world);
  const operators = createOperators(world);
  const names = options.faults ?? (Object.keys(faultsByName) as FaultName[]);
  let injected: readonly FaultName[] = [];

  const scenario = async () => {
    await operators.writeInitialState();
    const faultsStart = new Promise<void>((resolve) => world.clock.after(faultsFromMs, resolve));
    await faultsStart;
    const faults = injectFaults(world, names, faultsUntilMs).then((list) => (injected = list));
    await Promise.all([faults, callers.run(faultsUntilMs + 5_000), operators.run(faultsUntilMs)]);
  };
  const defect = (problem: unknown) => world.violation(`defect: ${describe(problem)}`);
  process.on("unhandledRejection", defect);
  try {
    for (const name of boxNames) await world.startBox(name);
    const finished = scenario().catch(defect);
    world.clock.after(faultsFromMs, () => checkMembership(world));
    await world.clock.runUntil(probeAtMs);
    const probed = checkReachability(world, callers).catch(defect);
    await world.clock.runUntil(endMs);
    let ended = false;
    void Promise.all([finished, probed]).then(() => (ended = true));
    await new Promise((resolve) => setImmediate(resolve));
    if (!ended)
      world.violation(
        `requests without an outcome at the end of the run: ${callers.unanswered().join(", ")}`,
      );
  } catch (problem) {
    defect(problem);
  } finally {
    process.off("unhandledRejection", defect);
  }
  checkStatesAgree(world);
  world.checkWeights();
  checkAppendLimit(world);
  callers.check();
  return {
    seed,
    violations: world.violations,
    faults: injected,
    outcomes: callers.outcomeCounts(),
    inForceTimes: world.inForceTimes,
    acceptedWrites: operators.accepted(),
    conflicts: operators.conflicts(),
    appends: appendsOf(world),
  };
}

function appendsOf({ log }: World): LogAppends {
  const names = Object.values(streams);
  return {
    byStream: new Map(names.map((stream) => [stream, log.appendCount(stream)])),
    peakPerSecond: log.peakAppendsPerSecond(),
  };
}

function describe(problem: unknown): string {
  return problem instanceof Error ? (problem.stack ?? problem.message) : String(problem);
}
