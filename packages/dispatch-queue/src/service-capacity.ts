/** The targets of one service, and how many requests they serve together. */
import type { TargetCapacities } from "@linkfall/target-capacity";
import type { Milliseconds } from "@linkfall/types";
import { createServicePace } from "./service-pace.js";
import {
  createTargetState,
  inFlight,
  placeLimit,
  profileOf,
  type TargetProfile,
  type TargetState,
  workMsAt,
} from "./target-state.js";

/** Capacity of the whole service for one kind of request. */
export interface ServiceCapacity {
  /** Responses per millisecond if all targets are busy. */
  readonly throughput: number;
  /** Mean duration of the work on a request. */
  readonly workMs: Milliseconds;
  /** Requests in the targets' own queues. */
  readonly queued: number;
}

export interface ServiceTargets {
  get(name: string): TargetState | undefined;
  /** Returns the target's state, which is created at the first request that lists it. */
  list(name: string, slots: number): TargetState;
  all(): Iterable<TargetState>;
  capacity(kind: string): ServiceCapacity;
  profile(target: TargetState, kind: string): TargetProfile;
  /** Expected duration of the work on a request at this concurrency. */
  work(target: TargetState, kind: string, concurrency: number): Milliseconds;
  inFlight(target: TargetState, profile: TargetProfile): number;
  limit(target: TargetState, profile: TargetProfile): number;
  hasRoom(target: TargetState, profile: TargetProfile): boolean;
  /** Whether requests have listed the target lately. */
  isListed(target: TargetState): boolean;
  /** Delay of the reports of ends, round trip included. */
  reportDelayMs(): Milliseconds;
  observeReportDelay(delayMs: Milliseconds): void;
  /** A request of this kind was served; `isBacklogged` if others wait. */
  observeServed(kind: string, isBacklogged: boolean): void;
  /** Marks the targets that a request should probe. */
  markProbes(): void;
  /** Drops targets that no request has listed for a while. */
  expire(): void;
}

/** Targets that were not listed for this time are leaving, ejected or gone, and don't count as capacity. */
const listedMs: Milliseconds = 1_000;
const forgetMs: Milliseconds = 60_000;
const maxTargets = 2_000;
/** Work on a single request changes over several responses. */
const cacheMs: Milliseconds = 10;
/** Delay before the first report: batches of 20 ms and a round trip between domains. */
const initialReportDelayMs: Milliseconds = 10;
/** A longer delay is a fault of one box, not the time for which all targets would idle. */
const maxReportDelayMs: Milliseconds = 60;
const reportDelaySmoothing = 0.05;
const maxKinds = 100;
/**
 * Machines of one service differ by a factor of two or three. A target that looks faster than that was learned wrong, and would
 * attract all requests; slower ones are plausible, as they may be overloaded.
 */
const maxRelativeSpeed = 2.5;

export function createServiceTargets(
  now: () => Milliseconds,
  capacities: TargetCapacities,
): ServiceTargets {
  const targets = new Map<string, TargetState>();
  const cached = new Map<string, { at: Milliseconds; capacity: ServiceCapacity }>();
  /** By kind, from the durations of all targets. */
  const minWorkMs = new Map<string, Milliseconds>();
  const pace = createServicePace();
  let reportDelayMs = initialReportDelayMs;

  const profile = (target: TargetState, kind: string) =>
    profileOf(
      target,
      capacities,
      kind,
      { reportDelayMs, pace: pace.value(), minWorkMs: minWorkMs.get(kind) ?? 0 },
      now(),
    );
  const countInFlight = (target: TargetState, { workMs }: TargetProfile) =>
    inFlight(target, workMs, now());
  const isListed = ({ listedAt }: TargetState) => now() - listedAt <= listedMs;

  const measure = (kind: string): ServiceCapacity => {
    let throughput = 0;
    let slots = 0;
    let queued = 0;
    const durations: Milliseconds[] = [];
    for (const target of targets.values()) {
      if (!isListed(target)) continue;
      const known = profile(target, kind);
      durations.push(known.workMs);
      throughput += known.useful / known.workMs;
      slots += known.useful;
      const atTarget = countInFlight(target, known) - known.underWay;
      queued += Math.max(0, atTarget - known.useful);
    }
    durations.sort((a, b) => a - b);
    const median = durations[durations.length >> 1] ?? 0;
    minWorkMs.set(kind, median / maxRelativeSpeed);
    return throughput === 0
      ? { throughput: 1e-3, workMs: 1, queued }
      : { throughput, workMs: slots / throughput, queued };
  };

  const capacityOf = (kind: string): ServiceCapacity => {
    const known = cached.get(kind);
    if (known && now() - known.at < cacheMs) return known.capacity;
    if (cached.size >= maxKinds) {
      cached.clear();
      minWorkMs.clear();
    }
    const capacity = measure(kind);
    cached.set(kind, { at: now(), capacity });
    return capacity;
  };

  return {
    get: (name) => targets.get(name),
    list(name, slots) {
      let target = targets.get(name);
      if (!target) {
        target = createTargetState(name, slots, now());
        if (targets.size < maxTargets) targets.set(name, target);
      }
      target.slots = Math.max(1, slots);
      target.listedAt = now();
      return target;
    },
    all: () => targets.values(),
    capacity: capacityOf,
    profile,
    work: (target, kind, concurrency) =>
      workMsAt(target, profile(target, kind), capacities, kind, concurrency),
    inFlight: countInFlight,
    limit: (target, known) => placeLimit(target, known, now()),
    hasRoom: (target, known) =>
      countInFlight(target, known) + 1 <= placeLimit(target, known, now()),
    isListed,
    reportDelayMs: () => reportDelayMs,
    observeReportDelay(delayMs) {
      const bounded = Math.min(maxReportDelayMs, Math.max(0, delayMs));
      reportDelayMs += reportDelaySmoothing * (bounded - reportDelayMs);
    },
    observeServed(kind, isBacklogged) {
      const { throughput } = capacityOf(kind);
      pace.observe(pace.value() / throughput, isBacklogged, now());
    },
    markProbes() {
      for (const target of targets.values())
        target.isProbeDue = target.places.size === 0 && capacities.isProbeDue(target.name);
    },
    expire() {
      for (const [name, { listedAt, places }] of targets) {
        if (places.size === 0 && now() - listedAt > forgetMs) targets.delete(name);
      }
    },
  };
}
