import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { type Random, seededRandom } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { type Candidate, chooseBySampling, type LoadData } from "./index.js";

interface Fleet {
  readonly boxes: number;
  readonly targets: number;
  readonly slots: number;
  readonly workMs: number;
  queueing: Map<string, number>;
}

const costs = { perTokenMs: 0.026, perRequestMs: 5, perResponseMs: 100, crossDomainMs: 2 };
const snapshotMs = 20;
const draws = 2_000;

const candidate = (id: string, slots: number, inFlight: number, uncachedTokens = 0): Candidate => ({
  id,
  slots,
  inFlight,
  queuedPromptTokens: 0,
  uncachedTokens,
  streamGapMs: 0,
  sameDomain: true,
  costs,
});

type View = (box: number, now: number) => LoadData & { readonly viewMs: number };

/** Runs first-in-first-out targets and returns the 99th percentile of the time before a slot is free. */
function queueingOf(fleet: Fleet, perSecond: number, seconds: number, view: View): number {
  const random: Random = seededRandom(7);
  const { boxes, targets, slots, workMs } = fleet;
  const freeAt = Array.from({ length: targets }, () => new Array<number>(slots).fill(0));
  const running: { box: number; target: number; endsAt: number }[] = [];
  const snapshots: number[][] = [];
  const own = Array.from({ length: boxes }, () => new Array<number>(targets).fill(0));
  const total = new Array<number>(targets).fill(0);
  const waits: number[] = [];
  for (let now = 0; now < seconds * 1000;) {
    now -= (Math.log(1 - random.nextFloat()) * 1000) / perSecond;
    const ended = running.filter(({ endsAt }) => endsAt <= now);
    for (const { box, target } of ended) {
      own[box][target] -= 1;
      total[target] -= 1;
    }
    running.splice(0, running.length, ...running.filter(({ endsAt }) => endsAt > now));
    while (snapshots.length * snapshotMs <= now) snapshots.push([...total]);
    const box = random.nextInt(boxes);
    const data = view(box, now);
    const seen =
      data.viewMs === 0 ? total : (snapshots[Math.floor((now - data.viewMs) / snapshotMs)] ?? []);
    const candidates = total.map((_count, target) =>
      candidate(
        String(target),
        slots,
        data.viewMs === 0 ? seen[target] : Math.max(own[box][target], seen[target] ?? 0),
      ),
    );
    const target = Number(chooseBySampling(candidates, data, random)?.id);
    const slot = freeAt[target].indexOf(Math.min(...freeAt[target]));
    const startsAt = Math.max(now, freeAt[target][slot]);
    const endsAt = startsAt + workMs * (0.7 + 0.6 * random.nextFloat());
    freeAt[target][slot] = endsAt;
    running.push({ box, target, endsAt });
    own[box][target] += 1;
    total[target] += 1;
    waits.push(startsAt - now);
  }
  waits.sort((a, b) => a - b);
  return waits[Math.floor(waits.length * 0.99)];
}

/** Age of a box's load data, from 200 to 800 ms. */
const ageOf = (box: number) => 200 + ((box * 37) % 600);

Given(
  "{int} boxes and {int} targets of {int} slots with responses of {int} ms",
  function (this: object, boxes: number, targets: number, slots: number, workMs: number) {
    const queueing = new Map<string, number>();
    scenarioState(this).set("fleet", { boxes, targets, slots, workMs, queueing });
  },
);

When(
  "requests to the fleet arrive at {float} of the capacity for {int} s",
  { timeout: 60_000 },
  function (this: object, share: number, seconds: number) {
    const fleet = scenarioState(this).get<Fleet>("fleet");
    const perSecond = (share * fleet.targets * fleet.slots * 1000) / fleet.workMs;
    const views: readonly (readonly [string, View])[] = [
      ["fresh", () => ({ ageMs: 0, viewMs: 0 })],
      ["present", (box) => ({ ageMs: 0, viewMs: ageOf(box) })],
      ["correcting", (box) => ({ ageMs: ageOf(box), viewMs: ageOf(box) })],
      ["spare", (box) => ({ ageMs: ageOf(box), viewMs: ageOf(box), method: "spare_capacity" })],
      ["two", (box) => ({ ageMs: ageOf(box), viewMs: ageOf(box), method: "two_choices" })],
    ];
    for (const [name, view] of views) {
      fleet.queueing.set(name, queueingOf(fleet, perSecond, seconds, view));
    }
    const shown = [...fleet.queueing].map(([name, ms]) => `${name} ${ms.toFixed(0)}`).join(", ");
    console.log(
      `99th percentile of queueing at ${share} with ${fleet.slots} slots in ms: ${shown}`,
    );
  },
);

const queueingBy = (world: object, method: string) =>
  scenarioState(world).get<Fleet>("fleet").queueing.get(method) ?? NaN;

Then(
  "the 99th percentile of queueing by correcting weights is at most {float} of that with fresh loads",
  function (this: object, factor: number) {
    const fresh = queueingBy(this, "fresh");
    const correcting = queueingBy(this, "correcting");
    assert.ok(correcting <= factor * fresh, `${correcting} ms, ${fresh} ms with fresh loads`);
  },
);

Then(
  "the 99th percentile of queueing by correcting weights is below {float} of that of the present method",
  function (this: object, part: number) {
    assert.ok(queueingBy(this, "correcting") < part * queueingBy(this, "present"));
  },
);

Then("it is below that of two choices and of spare capacity", function (this: object) {
  assert.ok(queueingBy(this, "correcting") < queueingBy(this, "two"));
  assert.ok(queueingBy(this, "correcting") < queueingBy(this, "spare"));
});

Given(
  "a candidate {string} with {int} in flight and {int} uncached tokens",
  function (this: object, id: string, inFlight: number, uncached: number) {
    const state = scenarioState(this);
    let list: Candidate[] = [];
    try {
      list = state.get<Candidate[]>("candidates");
    } catch {
      state.set("candidates", list);
    }
    list.push(candidate(id, 6, inFlight, uncached));
  },
);

function shareOf(world: object, id: string, ageMs: number): number {
  const candidates = scenarioState(world).get<Candidate[]>("candidates");
  const random = seededRandom(3);
  let chosen = 0;
  for (let draw = 0; draw < draws; draw++) {
    if (chooseBySampling(candidates, { ageMs }, random)?.id === id) chosen += 1;
  }
  return chosen / draws;
}

Then(
  "{string} is always sampled with load data of {int} ms",
  function (this: object, id: string, ageMs: number) {
    assert.equal(shareOf(this, id, ageMs), 1);
  },
);

Then(
  "{string} is sampled for {float} to {float} of the requests with load data of {int} ms",
  function (this: object, id: string, least: number, most: number, ageMs: number) {
    const share = shareOf(this, id, ageMs);
    assert.ok(share >= least && share <= most, String(share));
  },
);
