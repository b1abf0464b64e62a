/** A service on a virtual clock: callers, boxes, one dispatcher, and targets with a queue of their own. */
import { createVirtualClock, type Random, seededRandom, type VirtualClock } from "@linkfall/kernel";
import { createTargetCapacities, type TargetCapacities } from "@linkfall/target-capacity";
import { createDispatchQueue, type DispatchQueue } from "./index.js";

export interface LoadSpec {
  readonly kind: string;
  readonly priority: number;
  readonly account: string | undefined;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

export interface TargetSpec {
  readonly slots: number;
  readonly speed: number;
  /** Concurrency beyond which the speed is divided by two. */
  readonly slowBeyond: number;
}

export interface ServiceSpec {
  readonly targets: readonly TargetSpec[];
  readonly loads: readonly LoadSpec[];
  readonly work: "exponential" | "spread";
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly boxes: number;
  /** Between a box and the dispatcher, one way. */
  readonly oneWayMs: number;
  /** Part of the ends that are never reported. */
  readonly lostReports: number;
  readonly honoursRetryAfter: boolean;
  readonly seed: number;
  readonly createCapacities: (clock: VirtualClock) => TargetCapacities;
}

export const defaultSpec: ServiceSpec = {
  targets: [],
  loads: [],
  work: "exponential",
  workMs: 100,
  objectiveMs: 480,
  deadlineMs: 2_400,
  boxes: 6,
  oneWayMs: 1.5,
  lostReports: 0,
  honoursRetryAfter: true,
  seed: 1,
  createCapacities: createTargetCapacities,
};

/** What a caller got. */
export interface Call {
  readonly load: LoadSpec;
  readonly arrivedAt: number;
  readonly work: number;
  /** Time from the arrival to the response; absent if there was none. */
  ms?: number;
  /** How long each rejection took from its request. */
  readonly rejections: number[];
  /** Time until the last grant. */
  grantedMs?: number;
  /** Time until the caller gave up. */
  gaveUpMs?: number;
}

export interface VirtualService {
  readonly clock: VirtualClock;
  readonly calls: readonly Call[];
  readonly targets: readonly FakeTarget[];
  queue(): DispatchQueue;
  /** Replaces the dispatcher by one without state. */
  replaceDispatcher(): void;
  /** Requests that a target rejected. */
  shed(): number;
  /** Rejections while under half of the slots were in use and nothing was queued. */
  needlessRejections(): number;
  run(untilMs: number): Promise<void>;
}

const targetQueue = 24;
const toTargetMs = 0.5;
const reportBatchMs = 20;
const maxAttempts = 4;

export interface FakeTarget {
  readonly name: string;
  readonly spec: TargetSpec;
  speed: number;
  running: number;
  maxRunning: number;
  /** Returns false if there is no room. */
  send(work: number, done: () => void): boolean;
}

export function createFakeTarget(clock: VirtualClock, name: string, spec: TargetSpec): FakeTarget {
  const queued: { work: number; done: () => void }[] = [];
  const begin = (work: number, done: () => void) => {
    target.running += 1;
    target.maxRunning = Math.max(target.maxRunning, target.running);
    const slowed = target.running > spec.slowBeyond ? 2 : 1;
    clock.after((work * slowed) / target.speed, () => {
      target.running -= 1;
      const next = queued.shift();
      if (next) begin(next.work, next.done);
      done();
    });
  };
  const target: FakeTarget = {
    name,
    spec,
    speed: spec.speed,
    running: 0,
    maxRunning: 0,
    send(work, done) {
      if (target.running < spec.slots) begin(work, done);
      else if (queued.length < targetQueue) queued.push({ work, done });
      else return false;
      return true;
    },
  };
  return target;
}

export function createVirtualService(spec: ServiceSpec): VirtualService {
  const clock = createVirtualClock();
  const random = seededRandom(spec.seed);
  const calls: Call[] = [];
  const targets = spec.targets.map((target, index) =>
    createFakeTarget(clock, `t${index + 1}`, target),
  );
  const byName = new Map(targets.map((target) => [target.name, target]));
  const slots = targets.reduce((sum, target) => sum + target.spec.slots, 0);
  let shed = 0;
  let needless = 0;

  const createQueue = () =>
    createDispatchQueue(clock, seededRandom(spec.seed + 1), spec.createCapacities(clock), {
      accountWeights: new Map(),
    });
  let queue = createQueue();

  const candidates = targets.map(({ name, spec: { slots: count } }) => ({
    target: name,
    slots: count,
    sameDomain: true,
  }));

  const attempt = (call: Call, box: string, askedAt: number, attemptsLeft: number) => {
    const { load } = call;
    const ageMs = clock.now() - call.arrivedAt;
    clock.after(spec.oneWayMs, () => {
      const asked = queue;
      asked.submit(
        {
          service: "s",
          kind: load.kind,
          box,
          account: load.account,
          priority: load.priority,
          objectiveMs: spec.objectiveMs,
          objectiveLeftMs: spec.objectiveMs - ageMs,
          timeLeftMs: spec.deadlineMs - ageMs,
          candidates,
        },
        (decision) => {
          if (decision.kind === "rejected") {
            const running = targets.reduce((sum, target) => sum + target.running, 0);
            if (running < slots / 2 && asked.summary().waiting === 0) needless += 1;
          }
          clock.after(spec.oneWayMs, () => {
            if (decision.kind === "granted") {
              call.grantedMs = clock.now() - call.arrivedAt;
              send(call, box, askedAt, attemptsLeft, decision.target, decision.place, asked);
              return;
            }
            call.rejections.push(clock.now() - askedAt);
            const age = clock.now() - call.arrivedAt;
            const honoured = decision.retryAfterMs <= (spec.deadlineMs - age) / 3;
            if (!honoured || !spec.honoursRetryAfter) {
              call.gaveUpMs = age;
              return;
            }
            clock.after(decision.retryAfterMs, () => attempt(call, box, clock.now(), attemptsLeft));
          });
        },
      );
    });
  };

  const send = (
    call: Call,
    box: string,
    askedAt: number,
    attemptsLeft: number,
    targetName: string,
    place: string,
    asked: DispatchQueue,
  ) => {
    const sentAt = clock.now();
    const report = (result: "served" | "rejected", ms: number) => {
      if (random.nextFloat() < spec.lostReports) return;
      clock.after(random.nextFloat() * reportBatchMs + spec.oneWayMs, () =>
        asked.end({ place, result, ms }),
      );
    };
    clock.after(toTargetMs, () => {
      const isAccepted = byName.get(targetName)?.send(call.work, () =>
        clock.after(toTargetMs, () => {
          call.ms = clock.now() - call.arrivedAt;
          report("served", clock.now() - sentAt);
        }),
      );
      if (isAccepted) return;
      shed += 1;
      report("rejected", 1);
      if (attemptsLeft > 1) attempt(call, box, askedAt, attemptsLeft - 1);
      else call.gaveUpMs = clock.now() - call.arrivedAt;
    });
  };

  const arrivals = (load: LoadSpec) => {
    const next = () => {
      const gapMs = exponential(random, 1_000 / load.perSecond);
      if (clock.now() + gapMs >= load.untilMs) return;
      clock.after(gapMs, () => {
        const work =
          spec.work === "exponential"
            ? exponential(random, spec.workMs)
            : spec.workMs * (0.7 + 0.6 * random.nextFloat());
        const call: Call = { load, arrivedAt: clock.now(), work, rejections: [] };
        calls.push(call);
        attempt(call, `b${random.nextInt(spec.boxes) + 1}`, clock.now(), maxAttempts);
        next();
      });
    };
    clock.after(load.fromMs, next);
  };
  spec.loads.forEach(arrivals);

  return {
    clock,
    calls,
    targets,
    queue: () => queue,
    replaceDispatcher: () => void (queue = createQueue()),
    shed: () => shed,
    needlessRejections: () => needless,
    run: (untilMs) => clock.runUntil(untilMs),
  };
}

function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random.nextFloat()) * mean;
}
