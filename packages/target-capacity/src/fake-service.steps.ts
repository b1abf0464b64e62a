/** Targets and a greedy queue on a virtual clock: the smallest stand-in of a dispatcher. */
import { type Clock, type Random, seededRandom, type VirtualClock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { TargetCapacities } from "./index.js";

export interface FakeTarget {
  readonly id: string;
  readonly slots: number;
  /** Speed at a time with that many requests running; 1 does `workMs` in `workMs`. */
  readonly speed: (now: Milliseconds, running: number) => number;
}

interface Job {
  remainingMs: Milliseconds;
  readonly end: () => void;
}

/** Largest step in which the fake follows a change of its speed. */
const maxStepMs: Milliseconds = 25;

/** Runs jobs in slots, with a first-in-first-out queue; running jobs follow changes of the speed. */
export function runTarget(clock: Clock, { slots, speed }: FakeTarget) {
  const jobs: Job[] = [];
  let updatedAt = clock.now();
  let rate = 1;
  let cancel = () => {};
  const update = () => {
    cancel();
    const running = jobs.slice(0, slots);
    for (const job of running) job.remainingMs -= (clock.now() - updatedAt) * rate;
    const ended = running.filter(({ remainingMs }) => remainingMs < 1e-6);
    for (const job of ended) jobs.splice(jobs.indexOf(job), 1);
    const left = jobs.slice(0, slots);
    updatedAt = clock.now();
    rate = speed(updatedAt, left.length);
    const next = Math.min(...left.map(({ remainingMs }) => remainingMs)) / rate;
    if (left.length > 0) cancel = clock.after(Math.min(maxStepMs, next), update);
    for (const job of ended) job.end();
  };
  return (workMs: Milliseconds, end: () => void) => {
    update();
    jobs.push({ remainingMs: workMs, end });
    update();
  };
}

export interface Load {
  readonly targets: readonly FakeTarget[];
  readonly perSecond: number;
  readonly durationMs: Milliseconds;
  readonly observers: number;
  /** Time that an observer adds to what it measures. */
  readonly observerDelayMs: (observer: number, now: Milliseconds) => Milliseconds;
  readonly seed: number;
}

export interface Served {
  readonly arrivedAt: Milliseconds;
  readonly ms: Milliseconds;
  readonly target: string;
}

interface Grant {
  readonly target: string;
  readonly observer: string;
  readonly grantedAt: Milliseconds;
  readonly concurrency: number;
}

const workMs: Milliseconds = 100;
const tickMs: Milliseconds = 20;
const kind = "plain";

/** Work of one request, from 0.7 to 1.3 of the mean. */
const drawWork = (random: Random) => workMs * (0.7 + 0.6 * random.nextFloat());

/** Grants waiting requests in their order to where they end soonest, within the useful concurrency of each target. */
export async function runLoad(
  clock: VirtualClock,
  capacities: TargetCapacities,
  load: Load,
): Promise<readonly Served[]> {
  const random = seededRandom(load.seed);
  const served: Served[] = [];
  const waiting: { arrivedAt: Milliseconds; work: Milliseconds; observer: number }[] = [];
  const grants = new Set<Grant>();
  const start = new Map(load.targets.map((target) => [target.id, runTarget(clock, target)]));
  const inFlight = (id: string) => [...grants].filter(({ target }) => target === id);
  const expectedMs = (id: string, concurrency: number) =>
    capacities.expectedMs(id, kind, 1, concurrency);

  const send = (index: number, target: string) => {
    const [{ arrivedAt, work, observer }] = waiting.splice(index, 1);
    const grant: Grant = {
      target,
      observer: `b${observer}`,
      grantedAt: clock.now(),
      concurrency: inFlight(target).length + 1,
    };
    grants.add(grant);
    start.get(target)?.(work, () => {
      const now = clock.now();
      const durationMs = now - grant.grantedAt + load.observerDelayMs(observer, now);
      const concurrencyAtEnd = inFlight(target).length;
      grants.delete(grant);
      served.push({ arrivedAt, ms: now - arrivedAt, target });
      capacities.observe({ ...grant, concurrencyAtEnd, kind, amount: 1, durationMs });
      dispatch();
    });
  };
  /** Times at which the places of a target are free. */
  const freeTimes = ({ id, slots }: FakeTarget): Milliseconds[] => {
    const now = clock.now();
    const places = capacities.usefulConcurrency(id, slots);
    const ends = inFlight(id).map(({ grantedAt, concurrency }) => {
      const ms = expectedMs(id, concurrency);
      return Math.max(grantedAt + ms, now + 0.2 * ms);
    });
    while (ends.length < places) ends.push(now);
    return ends.sort((a, b) => a - b).slice(ends.length - places);
  };
  const dispatch = () => {
    const now = clock.now();
    for (const { id } of load.targets) {
      if (waiting.length > 0 && inFlight(id).length === 0 && capacities.isProbeDue(id)) send(0, id);
    }
    const free = new Map(load.targets.map((target) => [target.id, freeTimes(target)]));
    for (let index = 0; index < Math.min(waiting.length, 200); index++) {
      let best = { id: "", endsAt: Infinity };
      for (const { id, slots } of load.targets) {
        const concurrency = Math.min(slots, inFlight(id).length + 1);
        const endsAt = (free.get(id)?.[0] ?? Infinity) + expectedMs(id, concurrency);
        if (endsAt < best.endsAt) best = { id, endsAt };
      }
      const places = free.get(best.id) ?? [];
      if (places[0] <= now) {
        send(index, best.id);
        index -= 1;
      }
      places[0] = best.endsAt;
      places.sort((a, b) => a - b);
    }
  };
  const arrive = () => {
    const observer = random.nextInt(load.observers);
    waiting.push({ arrivedAt: clock.now(), work: drawWork(random), observer });
    dispatch();
    clock.after((-Math.log(1 - random.nextFloat()) * 1000) / load.perSecond, arrive);
  };
  const tick = () => {
    for (const grant of grants) {
      const elapsedMs = clock.now() - grant.grantedAt;
      capacities.observeRunning({ ...grant, kind, amount: 1 }, elapsedMs);
    }
    dispatch();
    clock.after(tickMs, tick);
  };
  arrive();
  tick();
  await clock.runUntil(load.durationMs);
  // Requests that are still waiting or running count with the time that they have taken so far.
  for (const { arrivedAt } of waiting)
    served.push({ arrivedAt, ms: clock.now() - arrivedAt, target: "" });
  return served;
}

/** Capacities of one queue that knows the speeds. */
export function knownCapacities(clock: Clock, targets: readonly FakeTarget[]): TargetCapacities {
  const find = (id: string) => targets.find((target) => target.id === id) as FakeTarget;
  const speed = (id: string) => find(id).speed(clock.now(), 1);
  return {
    observe: () => undefined,
    observeRejection: () => undefined,
    observeRunning: () => undefined,
    expectedMs: (id) => workMs / speed(id),
    usefulConcurrency: (_id, slots) => slots,
    relativeSpeed: speed,
    isProbeDue: () => false,
    forget: () => undefined,
    recordsSince: () => ({ sequence: 0, targets: [], kinds: [] }),
    applyRecords: () => undefined,
  };
}
