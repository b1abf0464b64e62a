/** How a target's responses slow down with its concurrency, and up to which concurrency its throughput grows. */
import type { Milliseconds } from "@linkfall/types";

/** Concurrencies up to this have a step of their own; above, a step spans a quarter. */
const exactSteps = 8;
const stepsPerDoubling = 3;
const maxSteps = 32;
/** Gain of an observation: with works that differ by a third, a step's estimate then varies by 3 %. */
const smoothing = 0.06;
/** Largest deviation that one observation counts with. */
const maxResidual = 0.7;
/** The first observations of a step count equally; before, it is taken to be as fast as the next lower step. */
const calibrationObservations = 8;
/** Observations of a step before it counts: its calibration. */
const minObservations = calibrationObservations;
/** A step that has not been observed for this long is calibrated anew. */
const forgetAfterMs: Milliseconds = 60_000;
/**
 * A step that looks slower than the next lower one gets no requests where others are faster. Once it has not been observed
 * for two seconds, the difference is doubted more and more, so that it is tried again.
 */
const staleMs: Milliseconds = 2_000;
const doubtMs: Milliseconds = 5_000;
/** Steps count in the bound for this long after an observation: two trials of a bounded target. */
const freshMs: Milliseconds = 10_000;
/**
 * Steps are compared with the target's slowness of the last two seconds: load moves between them within a tenth of that, while
 * a change of the target's speed lasts longer. The faster estimate of its slowness follows the load from step to step.
 */
const slownessMs: Milliseconds = 2_000;
/** After the two have differed by 42 % for half a second, the target's speed has changed. */
const maxDifference = 0.35;
const differsMs: Milliseconds = 500;
/**
 * Share of the gain from more concurrency that has to be lost to longer responses. Below 1 for the noise of the estimates;
 * at 0.85 a processor-sharing target is bounded where its throughput ceases to grow.
 */
const minLostShare = 0.85;
/** A bound in force is kept while this much of the evidence for it remains: trials with few requests are noisy. */
const keepFactor = 0.6;
/** Responses that are longer by this (28 %) are not accepted for ... */
const minSlowdown = 0.25;
/** ... less than this gain of throughput (22 %). */
const minGain = 0.2;
/** A bounded target is tried with one request more for this long, three times a response of 100 ms ... */
const trialMs: Milliseconds = 300;
/** ... once in this time, which costs at most 1 request in 16 at a target that is still as it was. */
const trialEveryMs: Milliseconds = 5_000;
/** Time from the first response that was too fast for the bound to the second trial. */
const secondTrialMs: Milliseconds = 700;
/**
 * A target that is always full shows nothing of lower concurrencies. It is tried with half of its slots if that has not been
 * observed for this long. The time doubles with each such trial: 2 % of its capacity at first, a quarter of that soon.
 */
const firstHalfTrialMs: Milliseconds = 8_000;
const maxHalfTrialMs: Milliseconds = 64_000;
const minSlotsForHalf = 4;
/** A target counts as full if three quarters of its slots were in use within this time. */
const fullWithinMs: Milliseconds = 500;
const fullShare = 0.75;
interface Step {
  /** Natural logarithm of the duration relative to the fastest step. */
  slowdown: number;
  observations: number;
  observedAt: Milliseconds;
}

export interface ConcurrencyCurve {
  /** Natural logarithm of the expected slowdown at a concurrency. */
  slowdownAt(concurrency: number, now: Milliseconds): number;
  /**
   * @param slowness natural logarithm of measured duration over that of a target of slowness 0 at low concurrency
   * @param estimate estimate of the target's own slowness from its last few responses
   * @returns by how much the fastest step has changed, which the caller adds to its estimate
   */
  observe(concurrency: number, slowness: number, estimate: number, now: Milliseconds): number;
  /** Largest concurrency at which throughput grows; `undefined` if no bound is known. */
  bound(): number | undefined;
  /**
   * The bound, raised by one while the target is tried beyond it; half of the slots while a full target is tried with less.
   *
   * @param mayTryHalf whether no other target of the service is tried with half of its slots
   */
  allowedAt(now: Milliseconds, slots: number, mayTryHalf: () => boolean): number | undefined;
  /** Whether the target is tried with half of its slots. */
  isTryingHalf(now: Milliseconds): boolean;
}

function stepOf(concurrency: number): number {
  if (concurrency <= exactSteps) return Math.max(1, concurrency) - 1;
  const above = Math.floor(Math.log2(concurrency / exactSteps) * stepsPerDoubling + 1e-9);
  return Math.min(maxSteps - 1, exactSteps + above);
}

/** Largest concurrency of a step. */
const stepEnds: readonly number[] = Array.from({ length: maxSteps }, (_, step) =>
  step < exactSteps
    ? step + 1
    : Math.ceil(exactSteps * 2 ** ((step - exactSteps + 1) / stepsPerDoubling)) - 1,
);

/** Creates the curve of a target that is taken to be equally fast at any concurrency. */
export function createConcurrencyCurve(): ConcurrencyCurve {
  const steps: Step[] = [];
  let currentBound: number | undefined;
  let trialAt: Milliseconds = -Infinity;
  let nextTrialAt: Milliseconds = -Infinity;
  let halfTrialUntil: Milliseconds = -Infinity;
  let halfTrialEveryMs = firstHalfTrialMs;
  let createdAt: Milliseconds | undefined;
  /** Time since which the bound looks too low. */
  let doubtedAt: Milliseconds | undefined;
  /** Slowness of the target over the last two seconds. */
  let slowSlowness = NaN;
  let followedAt: Milliseconds = -Infinity;
  let agreedAt: Milliseconds = -Infinity;
  const nearest = (step: number): number => {
    for (let below = Math.min(step, steps.length - 1); below >= 0; below--) {
      if (steps[below]) return steps[below].slowdown;
    }
    for (let above = step + 1; above < steps.length; above++) {
      if (steps[above]) return steps[above].slowdown;
    }
    return 0;
  };
  const counts = (step: Step | undefined) => (step?.observations ?? 0) >= minObservations;
  /**
   * Whether more concurrency than that of the step only makes responses longer. Steps that have not been observed for long
   * don't count, since the estimates of load's rare peaks are the least reliable; without others, a bound stays in force.
   */
  const isBound = (step: number, now: Milliseconds): boolean => {
    const isInForce = stepEnds[step] === currentBound;
    const factor = isInForce ? keepFactor : 1;
    let hasFresh = false;
    let isKnown = false;
    for (let above = step + 1; above < steps.length; above++) {
      if (!counts(steps[above]) || now - steps[above].observedAt > freshMs) continue;
      hasFresh = true;
      const gain = Math.log(stepEnds[above] / stepEnds[step]);
      const loss = (steps[above].slowdown - steps[step].slowdown) / factor;
      const isWorthIt = loss < minSlowdown || gain - loss > minGain;
      if (loss < minLostShare * gain && isWorthIt) return false;
      isKnown ||= loss >= minSlowdown;
    }
    return isKnown || (isInForce && !hasFresh);
  };
  const findBound = (now: Milliseconds): number | undefined => {
    for (let step = 0; step < steps.length; step++) {
      if (counts(steps[step]) && isBound(step, now)) return stepEnds[step];
    }
    return undefined;
  };
  /** Makes the fastest known step 0. */
  const recentre = (): number => {
    let least = Infinity;
    for (const step of steps) if (counts(step)) least = Math.min(least, step.slowdown);
    if (least === Infinity) return 0;
    for (const step of steps) if (step) step.slowdown -= least;
    return least;
  };
  const followSlowness = (observed: number, estimate: number, now: Milliseconds): number => {
    const gain = Math.min(1, (now - followedAt) / slownessMs);
    followedAt = now;
    const bounded = Math.max(-maxResidual, Math.min(maxResidual, observed - slowSlowness));
    const followed = Number.isNaN(slowSlowness) ? estimate : slowSlowness + gain * bounded;
    if (Math.abs(estimate - followed) <= maxDifference) agreedAt = now;
    return now - agreedAt > differsMs ? estimate : followed;
  };
  const observedWithin = (from: number, to: number, ms: Milliseconds, now: Milliseconds) => {
    for (let step = stepOf(from); step <= Math.min(stepOf(to), steps.length - 1); step++) {
      if (now - steps[step].observedAt < ms) return true;
    }
    return false;
  };
  const startHalfTrial = (now: Milliseconds, slots: number, mayTryHalf: () => boolean) => {
    if (createdAt === undefined) createdAt = now;
    if (slots < minSlotsForHalf || now - Math.max(createdAt, halfTrialUntil) < halfTrialEveryMs)
      return;
    if (!observedWithin(Math.ceil(slots * fullShare), Infinity, fullWithinMs, now)) return;
    if (observedWithin(1, Math.ceil(slots / 2), halfTrialEveryMs, now) || !mayTryHalf()) return;
    halfTrialUntil = now + trialMs;
    halfTrialEveryMs = Math.min(maxHalfTrialMs, halfTrialEveryMs * 2);
  };
  const updateBound = (now: Milliseconds) => {
    const found = findBound(now);
    const previous = currentBound;
    if (previous === undefined || (found ?? Infinity) <= previous) {
      if (previous === undefined) nextTrialAt = now + trialEveryMs;
      currentBound = found;
      doubtedAt = undefined;
      return;
    }
    // The few requests of one trial may be fast by chance: a second one follows before the bound is raised.
    if (doubtedAt === undefined) {
      doubtedAt = now;
      nextTrialAt = now + secondTrialMs;
    }
    if (now - doubtedAt < secondTrialMs + trialMs) return;
    currentBound = found;
    doubtedAt = undefined;
    // What is known of higher concurrencies dates from before the bound: they are tried again in turn.
    if (found !== undefined) steps.length = Math.min(steps.length, stepOf(found) + 1);
  };
  return {
    isTryingHalf: (now) => now < halfTrialUntil,
    slowdownAt(concurrency, now) {
      const index = Math.min(stepOf(concurrency), steps.length - 1);
      if (index < 1) return nearest(index);
      const { slowdown, observedAt } = steps[index];
      const lower = steps[index - 1].slowdown;
      if (slowdown <= lower || now - observedAt < staleMs) return slowdown;
      return lower + (slowdown - lower) * Math.exp(-(now - observedAt - staleMs) / doubtMs);
    },
    observe(concurrency, slowness, estimate, now) {
      const index = stepOf(concurrency);
      // Filled in order, so that the array stays dense.
      while (steps.length <= index)
        steps.push({
          slowdown: nearest(steps.length),
          observations: 0,
          observedAt: -Infinity,
        });
      const step = steps[index];
      if (now - step.observedAt > forgetAfterMs) step.observations = 0;
      step.observations += 1;
      step.observedAt = now;
      const own = followSlowness(slowness - step.slowdown, estimate, now);
      const residual = slowness - own - step.slowdown;
      if (step.observations <= calibrationObservations) {
        step.slowdown += residual / step.observations;
      } else {
        step.slowdown += smoothing * Math.max(-maxResidual, Math.min(maxResidual, residual));
      }
      const change = recentre();
      slowSlowness = own + change;
      updateBound(now);
      return change;
    },
    bound: () => currentBound,
    allowedAt(now, slots, mayTryHalf) {
      if (currentBound === undefined) {
        startHalfTrial(now, slots, mayTryHalf);
        return now < halfTrialUntil ? Math.ceil(slots / 2) : undefined;
      }
      if (now - trialAt > trialMs && now >= nextTrialAt) {
        trialAt = now;
        nextTrialAt = now + trialEveryMs;
      }
      return now - trialAt <= trialMs ? currentBound + 1 : currentBound;
    },
  };
}
