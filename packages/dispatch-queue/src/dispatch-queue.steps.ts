import assert from "node:assert/strict";
import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { knownCapacities } from "./known-capacities.steps.js";
import {
  type Call,
  createVirtualService,
  defaultSpec,
  type LoadSpec,
  type ServiceSpec,
  type TargetSpec,
  type VirtualService,
} from "./virtual-service.steps.js";

interface Lab {
  spec: ServiceSpec;
  loads: Record<string, string>[];
  /** Actions at a time, on the running service. */
  readonly events: { atMs: number; act: (service: VirtualService) => void }[];
  runs: VirtualService[];
}

const seeds = [1, 2, 3];
const second = 1_000;
/** The first second, in which queues fill and rates are learned, isn't judged. */
const judgedFromMs = second;
const drainMs = 4 * second;
const defaultSlots = 6;

const labs = new WeakMap<object, Lab>();

function labOf(world: object): Lab {
  const lab = labs.get(world) ?? { spec: defaultSpec, loads: [], events: [], runs: [] };
  labs.set(world, lab);
  return lab;
}

function useTargets(world: object, targets: readonly TargetSpec[], known: boolean): void {
  const lab = labOf(world);
  const createCapacities = known
    ? () => knownCapacities(targets, defaultSpec.workMs)
    : defaultSpec.createCapacities;
  lab.spec = { ...lab.spec, targets, createCapacities };
}

const equalTargets = (count: number, slots: number, slowBeyond = Infinity): TargetSpec[] =>
  Array.from({ length: count }, () => ({ slots, speed: 1, slowBeyond }));

/** The row's load, or several if it repeats until `endMs`. */
function readLoads(row: Record<string, string>, endMs: number): LoadSpec[] {
  const seconds = (name: string) => (row[name] ? Number(row[name]) * second : undefined);
  const fromMs = seconds("from s") ?? 0;
  const untilMs = seconds("until s") ?? endMs;
  const everyMs = seconds("every s") ?? Infinity;
  const loads: LoadSpec[] = [];
  for (let offsetMs = 0; fromMs + offsetMs < endMs; offsetMs += everyMs) {
    loads.push({
      kind: row.kind,
      priority: Number(row.priority),
      account: row.account,
      perSecond: Number(row["per second"]),
      fromMs: fromMs + offsetMs,
      untilMs: Math.min(endMs, untilMs + offsetMs),
    });
  }
  return loads;
}

Given("{int} targets of known capacity", function (this: object, count: number) {
  useTargets(this, equalTargets(count, defaultSlots), true);
});

Given("{int} targets of learned capacity", function (this: object, count: number) {
  useTargets(this, equalTargets(count, defaultSlots), false);
});

Given(
  "one target is {int} times slower from {int} s to {int} s",
  function (this: object, factor: number, from: number, until: number) {
    const setSpeed = (speed: number) => (service: VirtualService) => {
      service.targets[0].speed = speed;
    };
    labOf(this).events.push({ atMs: from * second, act: setSpeed(1 / factor) });
    labOf(this).events.push({ atMs: until * second, act: setSpeed(1) });
  },
);

Given(
  "{int} targets of known capacity with {int} slots",
  function (this: object, count: number, slots: number) {
    useTargets(this, equalTargets(count, slots), true);
  },
);

Given(
  "{int} targets of known capacity whose speed halves beyond a concurrency of {int}",
  function (this: object, count: number, slowBeyond: number) {
    useTargets(this, equalTargets(count, defaultSlots, slowBeyond), true);
  },
);

Given(
  /^targets of (known|learned) capacity with speeds "(.*)"$/,
  function (this: object, how: string, speeds: string) {
    const targets = speeds
      .split(" ")
      .map((speed) => ({ slots: defaultSlots, speed: Number(speed), slowBeyond: Infinity }));
    useTargets(this, targets, how === "known");
  },
);

Given(
  "the work of the kind/target {string} is thought to take {float} times as long as it does",
  function (this: object, name: string, factor: number) {
    const { spec } = labOf(this);
    const createCapacities = () =>
      knownCapacities(spec.targets, spec.workMs, new Map([[name, factor]]));
    labOf(this).spec = { ...spec, createCapacities };
  },
);

Given("{int} boxes", function (this: object, boxes: number) {
  labOf(this).spec = { ...labOf(this).spec, boxes };
});

Given("these loads:", function (this: object, table: DataTable) {
  labOf(this).loads = table.hashes();
});

Given("a new dispatcher without state at {int} s", function (this: object, at: number) {
  labOf(this).events.push({ atMs: at * second, act: (service) => service.replaceDispatcher() });
});

Given("{float} of the ends are never reported", function (this: object, lostReports: number) {
  labOf(this).spec = { ...labOf(this).spec, lostReports };
});

When(
  /^callers arrive for (\d+) s with (exponential|spread) work$/,
  { timeout: 120 * second },
  async function (this: object, seconds: string, work: "exponential" | "spread") {
    const lab = labOf(this);
    const endMs = Number(seconds) * second;
    const loads = lab.loads.flatMap((row) => readLoads(row, endMs));
    for (const seed of seeds) {
      const service = createVirtualService({ ...lab.spec, loads, work, seed });
      for (const { atMs, act } of lab.events) service.clock.after(atMs, () => act(service));
      await service.run(endMs + drainMs);
      lab.runs.push(service);
    }
    printFigures(lab, endMs);
  },
);

const allCalls = (lab: Lab) =>
  lab.runs.flatMap(({ calls }) => calls.filter(({ arrivedAt }) => arrivedAt >= judgedFromMs));

const callsOf = (lab: Lab, name: string) =>
  allCalls(lab).filter(({ load: { kind, account } }) => kind === name || account === name);

function share(calls: readonly Call[], withinMs: number): number {
  const served = calls.filter(({ ms }) => ms !== undefined && ms <= withinMs);
  return served.length / Math.max(1, calls.length);
}

/** Part of the capacity that responses within a time have used, until the load ends. */
function capacityUse({ spec, runs }: Lab, withinMs: number): number {
  const endMs = Math.max(...runs[0].calls.map(({ arrivedAt }) => arrivedAt));
  const slotMs = (endMs - judgedFromMs) * runs.length;
  const capacityMs = spec.targets.reduce((sum, { slots, speed }) => sum + slots * speed, 0);
  const usedMs = runs
    .flatMap(({ calls }) => calls)
    .filter(({ arrivedAt, ms = Infinity }) => {
      const endedAt = arrivedAt + ms;
      return ms <= withinMs && endedAt >= judgedFromMs && endedAt <= endMs;
    })
    .reduce((sum, { work }) => sum + work, 0);
  return usedMs / (slotMs * capacityMs);
}

function rejectionQuantile(lab: Lab, quantile: number): number {
  const times = allCalls(lab)
    .flatMap(({ rejections }) => rejections)
    .sort((a, b) => a - b);
  return times[Math.floor(times.length * quantile)] ?? 0;
}

function printFigures(lab: Lab, endMs: number): void {
  const { objectiveMs, deadlineMs } = lab.spec;
  const names = new Set(allCalls(lab).map(({ load: { kind, account } }) => account ?? kind));
  const shares = [...names].sort().map((name) => {
    const calls = callsOf(lab, name);
    return `${name} ${share(calls, objectiveMs).toFixed(3)} within the objective, ${share(calls, deadlineMs).toFixed(3)} in time`;
  });
  console.log(
    `\n${endMs / second} s: ${shares.join("; ")}; capacity used in time ${capacityUse(lab, deadlineMs).toFixed(3)}, ` +
      `within the objective ${capacityUse(lab, objectiveMs).toFixed(3)}; rejections 0.95 within ${rejectionQuantile(lab, 0.95).toFixed(0)} ms`,
  );
}

function assertAtLeast(actual: number, expected: number): void {
  assert.ok(actual >= expected, `${actual.toFixed(3)} is less than ${expected}`);
}

function assertAtMost(actual: number, expected: number): void {
  assert.ok(actual <= expected, `${actual.toFixed(3)} is more than ${expected}`);
}

Then(
  "{float} of the {string} requests end within the objective",
  function (this: object, expected: number, name: string) {
    const lab = labOf(this);
    assertAtLeast(share(callsOf(lab, name), lab.spec.objectiveMs), expected);
  },
);

Then(
  "{float} of the {string} requests from {float} s on end in time",
  function (this: object, expected: number, name: string, from: number) {
    const lab = labOf(this);
    const calls = callsOf(lab, name).filter(({ arrivedAt }) => arrivedAt >= from * second);
    assertAtLeast(share(calls, lab.spec.deadlineMs), expected);
  },
);

Then(
  "the {string} requests are served at most {float} less often than the {string} ones",
  function (this: object, urgent: string, less: number, other: string) {
    const lab = labOf(this);
    const shareOf = (name: string) => share(callsOf(lab, name), lab.spec.deadlineMs);
    assertAtLeast(shareOf(urgent), shareOf(other) - less);
  },
);

Then("responses in time use {float} of the capacity", function (this: object, expected: number) {
  const lab = labOf(this);
  assertAtLeast(capacityUse(lab, lab.spec.deadlineMs), expected);
});

Then(
  "responses within the objective use {float} of the capacity",
  function (this: object, expected: number) {
    const lab = labOf(this);
    assertAtLeast(capacityUse(lab, lab.spec.objectiveMs), expected);
  },
);

Then(
  "{float} of the rejections take at most {int} ms",
  function (this: object, part: number, ms: number) {
    assertAtMost(rejectionQuantile(labOf(this), part), ms);
  },
);

Then("no request is rejected while targets are idle", function (this: object) {
  for (const run of labOf(this).runs) assert.equal(run.needlessRejections(), 0);
});

Then("no request is held past its deadline", function (this: object) {
  const lab = labOf(this);
  for (const call of allCalls(lab)) {
    const decidedMs = call.gaveUpMs ?? call.grantedMs;
    assert.ok(decidedMs !== undefined && decidedMs <= lab.spec.deadlineMs, JSON.stringify(call));
  }
});

Then(
  "the targets reject at most {float} of the requests",
  function (this: object, expected: number) {
    const lab = labOf(this);
    const shed = lab.runs.reduce((sum, run) => sum + run.shed(), 0);
    assertAtMost(shed / allCalls(lab).length, expected);
  },
);

Then(
  "no target runs more than {int} requests at a time",
  function (this: object, expected: number) {
    for (const { targets } of labOf(this).runs)
      for (const { maxRunning } of targets) assertAtMost(maxRunning, expected);
  },
);
