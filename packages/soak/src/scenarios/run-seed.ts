/** One randomised run: a world, callers, operators and faults from one seed, and the checks at its end. */
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
/** Length of a run. */
export const endMs: Milliseconds = 112_000;
const modelCount = 10;

/** What a run showed. */
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

/** What the log took in a run. */
export interface LogAppends {
  /** Appends of each stream, over the whole run. */
  readonly byStream: ReadonlyMap<StreamName, number>;
  /** Most within any second. */
  readonly peakPerSecond: number;
}

export interface SeedOptions extends WorldOptions {
  /** Faults to draw from; all where none are named. */
  readonly faults?: readonly FaultName[];
  /** Called with the world before the run, to look into it afterwards. */
  readonly onWorld?: (world: World) => void;
}

const membershipCheckIntervalMs: Milliseconds = 1_000;
const membershipGraceMs: Milliseconds = 5_000;
/** After the end of a cut the next rounds of heartbeats bring word again. */
const reconnectGraceMs: Milliseconds = 1_000;
/** While the list is out, boxes that start find each other by the next claim of a lease in the log. */
const nextLeaseClaimMs: Milliseconds = 7_000;

/** Boxes that no fault has touched for some time, and that are not on their way out. */
function undisturbedBoxes(world: World) {
  const grace = world.list.down ? membershipGraceMs + nextLeaseClaimMs : membershipGraceMs;
  const before = world.clock.now() - grace;
  return world
    .liveBoxes()
    .filter((box) => box.disturbances === 0 && box.disturbedAt < before && !box.draining);
}

/** Whether word of a box can come to another, directly or through a third. */
function canReceiveFrom(world: World, box: WorldBox, other: WorldBox): boolean {
  const { connectedForMs: wholeFor } = world.network;
  const connected = (a: WorldBox, b: WorldBox) =>
    Math.min(wholeFor(a.name, b.name), wholeFor(b.name, a.name)) >= reconnectGraceMs;
  const relays = undisturbedBoxes(world).filter((third) => third !== box && third !== other);
  return (
    connected(box, other) ||
    relays.some((third) => connected(box, third) && connected(third, other))
  );
}

/** Boxes in good order must not suspect each other, whatever happens to others. */
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
    if (suspected) world.violation(`${box.name} suspects ${suspected.name} without a reason`);
  }
  world.clock.after(membershipCheckIntervalMs, () => checkMembership(world));
}

/** Boxes that have read as far hold the same state. */
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
      const told = await callers.probe(box, account, soakModel(index).name);
      if (told !== "answered") {
        world.violation(`model m${index} is not reachable through ${box.name}: ${told}`);
      }
    }
  }
}

/** The boxes keep their own limits, so that the log never has to refuse them. */
function checkAppendLimit({ log, violation }: World): void {
  if (log.refusedAppends() > 0)
    violation(`the log refused ${log.refusedAppends()} appends as too many`);
}

/** In every second seed the boxes divide the reading of reports among themselves. */
function settingsOf(seed: number): ExtraSettings {
  return { targets: { report_readers: seed % 2 } };
}

/** Runs one seed to its end. */
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
    if (!ended) world.violation(`never ended: ${callers.unanswered().join(", ")}`);
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
