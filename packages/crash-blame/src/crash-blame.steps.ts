import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, pick, seededRandom, type VirtualClock } from "@linkfall/kernel";
import type { BlameRecord } from "@linkfall/types";
import {
  createCrashBlame,
  type CrashBlame,
  type RequestAttributes,
  sharedTrait,
  type Verdict,
} from "./index.js";

interface Context {
  readonly clock: VirtualClock;
  readonly boxes: Map<string, CrashBlame>;
  readonly targets: number;
}

const contexts = new WeakMap<object, Context>();
/** Interval at which the boxes exchange changes. */
const exchangeIntervalMs = 400;

function contextOf(world: object): Context {
  const context = contexts.get(world);
  assert.ok(context);
  return context;
}

const attributesOf = (request: string, account?: string): RequestAttributes => ({
  request,
  service: "engines",
  route: "r",
  account,
});
const requestsOf = (text: string): readonly string[] => text.split(", ");

/** Applies the changes of every box at every other one. */
function exchange({ boxes }: Context): void {
  for (const [name, blame] of boxes) {
    for (const [other, otherBlame] of boxes) {
      if (other !== name)
        otherBlame.applyChanges(name, blame.changesSince(otherBlame.appliedSequence(name), other));
    }
  }
}

async function advance(context: Context, ms: number): Promise<void> {
  const end = context.clock.now() + ms;
  while (context.clock.now() < end) {
    exchange(context);
    await context.clock.runUntil(Math.min(end, context.clock.now() + exchangeIntervalMs));
  }
  exchange(context);
}

function blameOf(context: Context, box: string): CrashBlame {
  const blame = context.boxes.get(box);
  assert.ok(blame);
  return blame;
}

function classifyAt(context: Context, box: string, request: string): Verdict {
  return blameOf(context, box).classify(attributesOf(request), context.targets).verdict;
}

/** Records a crash at a box for each request, and classifies the request as before a retry. */
function crashAt(
  context: Context,
  box: string,
  target: string,
  requests: readonly string[],
  targetsInUse = context.targets,
): void {
  const blame = blameOf(context, box);
  for (const request of requests)
    blame.recordCrash(target, attributesOf(request), { targetsInUse });
  for (const request of requests) classifyAt(context, box, request);
}

function createContext(names: readonly string[], targets: number): Context {
  const clock = createVirtualClock();
  const boxes = new Map(names.map((name) => [name, createCrashBlame(clock, name)]));
  return { clock, boxes, targets };
}

Given(
  "the boxes {string} and a service with {int} targets",
  function (this: object, names: string, targets: number) {
    contexts.set(this, createContext(names.split(" "), targets));
  },
);

When(
  "{string} crashes while running {string} at box {string}",
  function (this: object, target: string, requests: string, box: string) {
    crashAt(contextOf(this), box, target, requestsOf(requests));
    exchange(contextOf(this));
  },
);

When("{int} ms pass at all boxes", function (this: object, ms: number) {
  return advance(contextOf(this), ms);
});

When(
  "{string} is served successfully by box {string}",
  function (this: object, request: string, box: string) {
    blameOf(contextOf(this), box).recordServed(attributesOf(request));
  },
);

When(
  "{int} targets crash at the same time, one of them while running {string}, {int} times",
  async function (this: object, count: number, request: string, rounds: number) {
    const context = contextOf(this);
    for (let round = 0; round < rounds; round++) {
      for (let target = 0; target < count; target++) {
        const box = [...context.boxes.keys()][target % context.boxes.size];
        const under = target === round % count ? request : `other ${round} ${target}`;
        crashAt(context, box, `e${target}`, [under]);
      }
      await advance(context, 2_000);
    }
  },
);

When(
  "{int} targets crash at the same time, {int} of them while running {string}, and the other boxes report later",
  async function (this: object, count: number, copies: number, request: string) {
    const context = contextOf(this);
    for (let target = copies; target < count; target++) {
      crashAt(context, "b", `e${target}`, [`other ${target}`]);
    }
    for (let target = 0; target < copies; target++) crashAt(context, "a", `e${target}`, [request]);
    await advance(context, 1_000);
  },
);

const requestFor = (request: string, adapter: string): RequestAttributes => ({
  ...attributesOf(request),
  shared: [sharedTrait("adapter", adapter)],
});

When(
  "targets crash while running requests for the adapter {string}, of which no two are alike, {int} times",
  async function (this: object, adapter: string, times: number) {
    const context = contextOf(this);
    const boxes = [...context.boxes.keys()];
    for (let time = 0; time < times; time++) {
      const details = { targetsInUse: context.targets };
      const blame = blameOf(context, boxes[time % boxes.length]);
      blame.recordCrash(`e${time}`, requestFor(`r${time}`, adapter), details);
      await advance(context, 1_000);
    }
  },
);

function verdictsOnAdapter({ boxes, targets }: Context, adapter: string): readonly Verdict[] {
  return [...boxes.values()].map(
    (blame) => blame.classify(requestFor("another", adapter), targets).verdict,
  );
}

Then(
  /^requests for the adapter "(.*)" (are held back|may run) at every box$/,
  function (this: object, adapter: string, state: string) {
    const expected = state === "may run" ? "clear" : "guilty";
    for (const verdict of verdictsOnAdapter(contextOf(this), adapter))
      assert.equal(verdict, expected);
  },
);

When(
  "a box of an earlier build reports that {int} targets crashed while running {string}",
  function (this: object, count: number, request: string) {
    const records = Array.from({ length: count }, (_, index): BlameRecord => {
      const common = { target: `e${index}`, service: "engines", targetsInUse: 13 };
      return { kind: "end", ...common, ageMs: 1_000 * (count - index), requests: [request] };
    });
    blameOf(contextOf(this), "a").applyChanges("earlier", { number: count, records });
  },
);

Then("{string} is not held back", function (this: object, request: string) {
  const context = contextOf(this);
  for (const box of context.boxes.keys())
    assert.notEqual(classifyAt(context, box, request), "guilty");
});

Given("{string} is held back", async function (this: object, request: string) {
  const context = contextOf(this);
  for (const target of ["e1", "e2", "e3"]) {
    crashAt(context, "a", target, [request]);
    await advance(context, 1_000);
  }
  assert.equal(classifyAt(context, "a", request), "guilty");
  exchange(context);
});

When(
  "an operator releases {string} at box {string}",
  function (this: object, request: string, box: string) {
    assert.ok(blameOf(contextOf(this), box).release(request));
  },
);

When("box {string} restarts", function (this: object, box: string) {
  const { boxes, clock } = contextOf(this);
  boxes.set(box, createCrashBlame(clock, `${box}, restarted`));
});

When(
  "{int} requests of the account {string} are held back",
  async function (this: object, count: number, account: string) {
    const context = contextOf(this);
    for (let index = 0; index < count; index++) {
      const request = `loud ${index}`;
      const heldRequest = {
        ...attributesOf(request, account),
        revision: 1,
        held: true,
        targets: [],
        since: "",
      };
      blameOf(context, "a").restore(heldRequest);
    }
    await advance(context, exchangeIntervalMs);
  },
);

Then("no box holds back more than {int} requests", function (this: object, max: number) {
  for (const blame of contextOf(this).boxes.values()) assert.ok(blame.heldRequests().length <= max);
});

Then(
  "{string} is unsettled at box {string}",
  function (this: object, request: string, box: string) {
    assert.equal(classifyAt(contextOf(this), box, request), "unsettled");
  },
);

Then(
  "{string} is held back at box {string} and listed as held by every box",
  function (this: object, request: string, box: string) {
    const context = contextOf(this);
    assert.equal(classifyAt(context, box, request), "guilty");
    exchange(context);
    for (const blame of context.boxes.values()) {
      assert.ok(blame.heldRequests().some((held) => held.request === request));
    }
  },
);

Then("{string} may run at every box", function (this: object, requests: string) {
  const context = contextOf(this);
  for (const request of requestsOf(requests)) {
    for (const box of context.boxes.keys()) {
      assert.match(classifyAt(context, box, request), /^(clear|suspect)$/, request);
    }
  }
});

Then("{string} may be sent once more", function (this: object, requests: string) {
  const context = contextOf(this);
  for (const request of requestsOf(requests)) {
    for (const box of context.boxes.keys())
      assert.equal(classifyAt(context, box, request), "last_try");
  }
});

type LoadTimes = Pick<Load, "recoveryMs" | "executionMs">;

/** A simulated load of requests on boxes and targets, driven by a seed. */
interface Load {
  readonly context: Context;
  /** Requests that are being executed, by target. */
  readonly running: Map<string, { request: string; box: string; endsAt: number }[]>;
  readonly random: ReturnType<typeof seededRandom>;
  /** Scheduled requests, with their remaining retries. */
  scheduled: { request: string; at: number; retries: number }[];
  /** Time at which a crashed target is available again. */
  readonly availableAt: Map<string, number>;
  /** Time after a crash until the target serves requests again; it may be up before. */
  readonly recoveryMs: number;
  /** Average time that a target needs for a request. */
  readonly executionMs: number;
  /** The requests on each target that the poison request crashed. */
  readonly poisoned: ReadonlySet<string>[];
  heldBack: Set<string>;
}

const stepMs = 20;
const requestsPerStep = 1;
const shortExecutionMs = 300;
const restartMs = 1_500;
const poison = "poison";
const poisonExecutionMs = 40;

function createLoad(
  seed: number,
  retries: (request: string) => number,
  { recoveryMs = restartMs, executionMs = shortExecutionMs }: Partial<LoadTimes> = {},
): Load {
  const names = Array.from({ length: 7 }, (_, index) => `b${index}`);
  const load: Load = {
    context: createContext(names, 13),
    running: new Map(names.map(() => ["", []])),
    random: seededRandom(seed),
    scheduled: [],
    availableAt: new Map(),
    recoveryMs,
    executionMs,
    poisoned: [],
    heldBack: new Set(),
  };
  for (let target = 0; target < 13; target++) load.running.set(`e${target}`, []);
  load.running.delete("");
  for (let step = 0; step < 1_200; step++) {
    for (let index = 0; index < requestsPerStep; index++) {
      const request = `r${step}.${index}`;
      load.scheduled.push({ request, at: step * stepMs, retries: retries(request) });
    }
  }
  return load;
}

const retriesLeft = new WeakMap<Load, Map<string, number>>();

function dispatchDue(load: Load): void {
  const { context, random, running, availableAt } = load;
  const now = context.clock.now();
  const due = load.scheduled.filter(({ at }) => at <= now);
  load.scheduled = load.scheduled.filter(({ at }) => at > now);
  const available = [...running.keys()].filter((target) => (availableAt.get(target) ?? 0) <= now);
  for (const { request, retries } of due) {
    const left = retriesLeft.get(load) ?? new Map<string, number>();
    retriesLeft.set(load, left.set(request, retries));
    const box = pick(random, [...context.boxes.keys()]);
    const verdict = classifyAt(context, box, request);
    if (verdict === "guilty") load.heldBack.add(request);
    if (verdict === "unsettled") load.scheduled.push({ request, at: now + 500, retries });
    if (verdict === "guilty" || verdict === "unsettled" || available.length === 0) continue;
    const endsAt =
      now +
      (request === poison ? poisonExecutionMs : load.executionMs * (0.5 + random.nextFloat()));
    running.get(pick(random, available))?.push({ request, box, endsAt });
  }
}

function crash(load: Load, target: string): void {
  const { context, running, availableAt, random } = load;
  const now = context.clock.now();
  if ((availableAt.get(target) ?? 0) > now) return;
  availableAt.set(target, now + load.recoveryMs);
  const lost = running.get(target) ?? [];
  const targetsInUse = [...running.values()].filter((requests) => requests.length > 0).length;
  running.set(target, []);
  for (const { request, box } of lost) {
    crashAt(context, box, target, [request], targetsInUse);
    const left = retriesLeft.get(load)?.get(request) ?? 0;
    if (left === 0) continue;
    load.scheduled.push({ request, at: now + 50 + random.nextInt(400), retries: left - 1 });
  }
  exchange(context);
}

function completeDue(load: Load): void {
  const now = load.context.clock.now();
  for (const [target, executions] of load.running) {
    const done = executions.filter(({ endsAt }) => endsAt <= now);
    if (done.some(({ request }) => request === poison)) {
      load.poisoned.push(new Set(executions.map(({ request }) => request)));
      crash(load, target);
      continue;
    }
    for (const { request, box } of done)
      blameOf(load.context, box).recordServed(attributesOf(request));
    load.running.set(
      target,
      executions.filter(({ endsAt }) => endsAt > now),
    );
  }
}

async function simulate(load: Load, onStep: (now: number) => void): Promise<void> {
  const { context } = load;
  for (let step = 0; step < 1_300; step++) {
    completeDue(load);
    dispatchDue(load);
    onStep(context.clock.now());
    if (step % (exchangeIntervalMs / stepMs) === 0) exchange(context);
    await context.clock.runUntil(context.clock.now() + stepMs);
  }
}

/** A load in which some of the targets crash together at an interval. */
interface CrashWaves {
  readonly seed: number;
  /** Targets that crash in each wave. */
  readonly count: number;
  readonly intervalS: number;
  readonly retries: number;
  readonly times?: LoadTimes;
}

async function simulateWaves(waves: CrashWaves): Promise<Load> {
  const { seed, count, intervalS, retries, times } = waves;
  const load = createLoad(seed, () => retries, times);
  await simulate(load, (now) => {
    if (now === 0 || now % (intervalS * 1_000) !== 0) return;
    const targets = [...load.running.keys()];
    const from = load.random.nextInt(targets.length);
    for (let index = 0; index < count; index++) {
      crash(load, targets[(from + index) % targets.length]);
    }
  });
  return load;
}

Then(
  "with {int} of 13 targets crashing every {int} s for 24 s and callers that retry {int} times, no request is held back for seeds {int} to {int}",
  async (count: number, intervalS: number, retries: number, first: number, last: number) => {
    for (let seed = first; seed <= last; seed++) {
      const { heldBack } = await simulateWaves({ seed, count, intervalS, retries });
      assert.deepEqual([...heldBack], [], `seed ${seed}`);
    }
  },
);

Then(
  "with {int} of 13 targets crashing every {int} s for 24 s, each without requests for {int} ms after a crash, and requests of {int} ms that are retried {int} times, none is held back for seeds {int} to {int}",
  async (
    count: number,
    intervalS: number,
    recoveryMs: number,
    executionMs: number,
    retries: number,
    first: number,
    last: number,
  ) => {
    for (let seed = first; seed <= last; seed++) {
      const times = { recoveryMs, executionMs };
      const { heldBack } = await simulateWaves({ seed, count, intervalS, retries, times });
      assert.deepEqual([...heldBack], [], `seed ${seed}`);
    }
  },
);

async function simulatePoison(seed: number, crashIntervalMs: number): Promise<Load> {
  const load = createLoad(seed, () => 1);
  load.scheduled.push({ request: poison, at: 2_000, retries: 30 });
  await simulate(load, (now) => {
    if (now === 0 || now % crashIntervalMs !== 0) return;
    crash(load, pick(load.random, [...load.running.keys()]));
  });
  return load;
}

Then(
  "among 13 targets of which one crashes on its own each second, the request crashes at most {int} targets for seeds {int} to {int}",
  async (max: number, first: number, last: number) => {
    for (let seed = first; seed <= last; seed++) {
      const { poisoned, heldBack } = await simulatePoison(seed, 1_000);
      assert.ok(poisoned.length <= max, `seed ${seed}: ${poisoned.length}`);
      assert.deepEqual([...heldBack], [poison], `seed ${seed}`);
    }
  },
);

/** Whether an innocent request was running on both targets that crashed first. */
function hasCommonRequest([first, second]: readonly ReadonlySet<string>[]): boolean {
  return [...first].some((request) => request !== poison && second.has(request));
}

Then(
  "without other crashes, the request crashes at most {int} targets, or {int} if another request was running on both, for seeds {int} to {int}",
  async (alone: number, shared: number, first: number, last: number) => {
    for (let seed = first; seed <= last; seed++) {
      const { poisoned, heldBack } = await simulatePoison(seed, Infinity);
      const max = hasCommonRequest(poisoned) ? shared : alone;
      assert.ok(poisoned.length <= max, `seed ${seed}: ${poisoned.length}`);
      assert.deepEqual([...heldBack], [poison], `seed ${seed}`);
    }
  },
);
