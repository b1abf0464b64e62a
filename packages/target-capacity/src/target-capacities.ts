/** Learns how fast each target is and how much concurrency it handles well. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { createPublishedRecords } from "./published-records.js";
import { createServiceState, type ServiceState } from "./service-capacities.js";
import { createTargetState, type TargetState } from "./target-state.js";
import type { CapacityOptions, RunningWork, TargetCapacities } from "./types.js";
import type { WorkCosts } from "./work-costs.js";

/** More than the targets of the largest supported deployment; the one known for longest is evicted. */
const maxTargets = 5_000;
/** Targets below this speed look slow: the dispatcher prefers others, so that they may get no requests. */
const slowBelow = 0.7;
/** Targets below this speed get fewer requests than their part, so that an estimate that is too low remains. */
const slightlySlowBelow = 0.95;
/** A bound that another box has reported holds for this long. */
const reportedBoundMs: Milliseconds = 10_000;
/** Costs of a kind that this box has observed this often are not replaced by those of others. */
const adoptCostsBelow = 20;
/** Deviation, as in the jumps of a target's slowness, from which a suspect observer's durations are not used. */
const suspectFactor = 1.42;
/** Speeds in records are in tenths. */
const speedSteps = 10;
const minDurationMs: Milliseconds = 0.1;

/** Costs until the first observations, which replace them: typical values of engines, and of plain services. */
const initialCostsByKind: ReadonlyMap<string, WorkCosts> = new Map([
  ["prefill", { fixedMs: 20, perUnitMs: 0.03 }],
  ["decode", { fixedMs: 0, perUnitMs: 20 }],
]);
const initialPlainCosts: WorkCosts = { fixedMs: 0, perUnitMs: 50 };

/** Creates the capacities of targets of which nothing is known yet. */
export function createTargetCapacities(
  clock: Clock,
  options: CapacityOptions = {},
): TargetCapacities {
  const serviceOf = options.serviceOf ?? (() => "");
  const initialCosts =
    options.initialCosts ?? ((kind) => initialCostsByKind.get(kind) ?? initialPlainCosts);
  const services = new Map<string, ServiceState>();
  const targets = new Map<string, TargetState>();

  const serviceState = (name: string): ServiceState => {
    const known = services.get(name);
    if (known) return known;
    const created = createServiceState(name, initialCosts);
    services.set(name, created);
    return created;
  };
  const dropTarget = (id: string) => {
    const service = targets.get(id)?.service;
    targets.delete(id);
    published.forget(id);
    service?.targets.delete(id);
    if (service?.targets.size === 0 && service.kinds.size === 0) services.delete(service.name);
  };
  const createState = (id: string): TargetState => {
    const service = serviceState(serviceOf(id));
    const created = createTargetState(id, service, clock.now());
    targets.set(id, created);
    service.targets.set(id, created);
    if (targets.size > maxTargets) dropTarget(targets.keys().next().value ?? "");
    return created;
  };
  const stateOf = (id: string): TargetState => targets.get(id) ?? createState(id);
  const speedOf = ({ slowness, service }: TargetState) =>
    Math.exp(service.medianSlowness(clock.now()) - slowness.value());
  const published = createPublishedRecords(speedOf, options.onChange ?? (() => undefined));

  /** Duration at a target of slowness 0, at this concurrency. */
  const baseMs = (state: TargetState, { kind, amount, concurrency }: RunningWork): Milliseconds =>
    state.service.costsOf(kind).expectedMs(amount) *
    Math.exp(state.curveOf(kind).slowdownAt(concurrency, clock.now()));
  /**
   * Duration without the delay of its observer. The delay may have ended, so that up to all of it is left in, as far as the
   * duration does not exceed the expected one.
   */
  const ownMs = (
    state: TargetState,
    observer: string,
    durationMs: Milliseconds,
    expectedMs: Milliseconds,
  ): Milliseconds => {
    const withoutDelay = durationMs - state.service.delays.delayMs(observer);
    return Math.max(minDurationMs, Math.min(durationMs, Math.max(withoutDelay, expectedMs)));
  };

  return {
    observe(observation) {
      const { target, kind, observer, amount, durationMs } = observation;
      const { concurrencyAtEnd = observation.concurrency } = observation;
      const concurrency = Math.max(observation.concurrency, concurrencyAtEnd);
      const now = clock.now();
      const state = stateOf(target);
      const { service, slowness } = state;
      const costs = service.costsOf(kind);
      // The first durations of a kind set its costs; they say nothing of the target.
      if (costs.count() === 0) {
        costs.observe(amount, durationMs / Math.exp(slowness.value()));
        return;
      }
      const base = baseMs(state, { ...observation, concurrency });
      const estimateMs = base * Math.exp(slowness.value());
      const workMs = ownMs(state, observer, durationMs, estimateMs);
      const undelayedMs = durationMs - service.delays.delayMs(observer);
      // An observer to which other targets look as slow is no evidence against this one.
      if (service.delays.isSuspect(observer, target) && workMs > suspectFactor * estimateMs) {
        service.delays.observe(observer, target, undelayedMs - estimateMs, estimateMs, now);
        return;
      }
      const curve = state.curveOf(kind);
      const residual = Math.log(workMs / estimateMs);
      const isSettled = slowness.observe(residual, observer, now);
      const expectedMs = base * Math.exp(slowness.value());
      service.delays.observe(observer, target, undelayedMs - expectedMs, expectedMs, now);
      const workSlowness = Math.log(workMs / costs.expectedMs(amount));
      slowness.rebase(curve.observe(concurrency, workSlowness, slowness.value(), now));
      if (isSettled) costs.observe(amount, (workMs / expectedMs) * costs.expectedMs(amount));
      published.update(state, kind, now);
    },
    observeRejection: (target, concurrency) =>
      stateOf(target).rejections.observe(concurrency, clock.now()),
    observeRunning(work, elapsedMs) {
      const state = targets.get(work.target);
      if (!state || state.service.costsOf(work.kind).count() === 0) return;
      const now = clock.now();
      const base = baseMs(state, work);
      const expectedMs = base * Math.exp(state.slowness.value());
      const atLeast = Math.log(ownMs(state, work.observer, elapsedMs, expectedMs) / base);
      state.slowness.observeRunning(work.observer, now - elapsedMs, atLeast, expectedMs, now);
    },
    expectedMs(target, kind, amount, concurrency) {
      const state = targets.get(target);
      if (!state) {
        const service = serviceState(serviceOf(target));
        const median = Math.exp(service.medianSlowness(clock.now()));
        const workMs = service.costsOf(kind).expectedMs(amount) * median;
        return workMs + service.delays.typicalMs(clock.now());
      }
      const slots = state.slots > 0 ? state.slots : Infinity;
      // Work beyond the slots waits for a slot first.
      const waitFactor = Math.max(1, concurrency / slots);
      const work = {
        target,
        kind,
        observer: "",
        amount,
        concurrency: Math.min(concurrency, slots),
      };
      const ownMs = baseMs(state, work) * Math.exp(state.slowness.value());
      return ownMs * waitFactor + state.service.delays.typicalMs(clock.now());
    },
    usefulConcurrency(target, slots) {
      const state = targets.get(target);
      if (!state) return Math.max(1, slots);
      state.slots = slots;
      return Math.max(1, Math.min(slots, state.allowedAt(slots, clock.now())));
    },
    relativeSpeed(target) {
      const state = targets.get(target);
      return state ? speedOf(state) : 1;
    },
    isProbeDue(target) {
      const state = targets.get(target);
      if (!state) return false;
      const speed = speedOf(state);
      return (
        speed < slightlySlowBelow &&
        state.slowness.isConfirmationDue(speed < slowBelow, clock.now())
      );
    },
    forget: dropTarget,
    recordsSince: (since) => published.since(since),
    applyRecords(_from, { targets: targetRecords, kinds }) {
      const now = clock.now();
      for (const { service, kind, fixedMs, perUnitMs } of kinds) {
        const state = serviceState(service);
        const costs = state.costsOf(kind);
        const factor = Math.exp(-state.medianSlowness(now));
        if (costs.count() <= adoptCostsBelow)
          costs.adopt({ fixedMs: fixedMs * factor, perUnitMs: perUnitMs * factor });
      }
      for (const { target, speed, useful } of targetRecords) {
        const state = stateOf(target);
        const slowness = state.service.medianSlowness(now) - Math.log(speed / speedSteps);
        if (!state.slowness.adopt(slowness, now)) continue;
        state.reportedBound = useful ?? Infinity;
        state.reportedUntil = now + reportedBoundMs;
      }
    },
  };
}
