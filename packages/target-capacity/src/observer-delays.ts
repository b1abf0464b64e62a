/** Delays that observers add to what they measure, such as a busy box or a low-bandwidth link. */
import type { Milliseconds } from "@linkfall/types";
import { type Agreement, createAgreement } from "./agreement.js";

export interface ObserverDelays {
  delayMs(observer: string): Milliseconds;
  /** Median delay of the observers, which every response has. */
  typicalMs(now: Milliseconds): Milliseconds;
  /** Whether other targets look slow to the observer, too. */
  isSuspect(observer: string, target: string): boolean;
  /** Learns from the difference between a measured duration and that expected of the target. */
  observe(
    observer: string,
    target: string,
    residualMs: Milliseconds,
    expectedMs: Milliseconds,
    now: Milliseconds,
  ): void;
}

/** More than the boxes of the largest supported deployment. */
const maxObservers = 512;
/** Four, so that a target that is slow is found (three of its observations) before its observers are blamed. */
const agreeingIncrease = 4;
const agreeingDecrease = 3;
/** Deviations below 42 % of the expected duration are no evidence: durations of equal requests differ by a third. */
const jumpThreshold = 0.42;
/**
 * Decrease of a delay with each observation that agrees with it. What all observers have in common thereby becomes part
 * of the costs, and a delay that has ended is forgotten.
 */
const decay = 0.003;

/** Observers without observations for this long do not count in the median. */
const activeMs: Milliseconds = 5_000;
/** Age up to which the median is used again. */
const medianAgeMs: Milliseconds = 100;

interface Observer {
  delayMs: Milliseconds;
  observedAt: Milliseconds;
  readonly agreement: Agreement;
}

/** Creates the delays of observers, all 0. */
export function createObserverDelays(): ObserverDelays {
  const observers = new Map<string, Observer>();
  let typicalMs: Milliseconds = 0;
  let typicalAt: Milliseconds = -Infinity;
  const observerOf = (id: string): Observer => {
    const known = observers.get(id);
    if (known) return known;
    const created = {
      delayMs: 0,
      observedAt: -Infinity,
      agreement: createAgreement(agreeingIncrease, agreeingDecrease),
    };
    observers.set(id, created);
    if (observers.size > maxObservers) observers.delete(observers.keys().next().value ?? "");
    return created;
  };
  return {
    delayMs: (observer) => observers.get(observer)?.delayMs ?? 0,
    isSuspect: (observer, target) =>
      observers.get(observer)?.agreement.isExceededElsewhere(target, jumpThreshold) ?? false,
    typicalMs(now) {
      if (now - typicalAt < medianAgeMs) return typicalMs;
      const delays: Milliseconds[] = [];
      for (const { delayMs, observedAt } of observers.values()) {
        if (now - observedAt < activeMs) delays.push(delayMs);
      }
      delays.sort((a, b) => a - b);
      typicalMs = delays[(delays.length - 1) >> 1] ?? 0;
      typicalAt = now;
      return typicalMs;
    },
    observe(id, target, residualMs, expectedMs, now) {
      const observer = observerOf(id);
      observer.observedAt = now;
      // Residuals are kept as shares of the expected duration, which differs by kind and target.
      observer.agreement.add(residualMs / expectedMs, target);
      const shift = observer.agreement.shift(jumpThreshold) * expectedMs;
      const previous = observer.delayMs;
      observer.delayMs = Math.max(0, shift === 0 ? previous * (1 - decay) : previous + shift);
      observer.agreement.subtract((observer.delayMs - previous) / expectedMs);
    },
  };
}
