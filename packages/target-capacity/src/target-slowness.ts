/** How much longer one target's work takes than that of the others, as a natural logarithm. */
import type { Milliseconds } from "@linkfall/types";
import { createAgreement } from "./agreement.js";

/** Evidence of work that has not ended. */
interface RunningEvidence {
  readonly observer: string;
  /** Slowness that the elapsed time alone shows. */
  readonly atLeast: number;
  readonly at: Milliseconds;
}

/** Residuals of which all have to be larger (three) or smaller (two) before the target's slowness jumps. */
const agreeingIncrease = 3;
const agreeingDecrease = 2;
/** Deviations below 42 % are followed in steps: durations of equal requests differ by a third. */
const jumpThreshold = 0.35;
/** Share of the residual by which the slowness moves, and the largest residual that counts. */
const smoothing = 0.1;
/** After a time without observations, the next one counts for more: as much as those of this time would have. */
const forgettingMs: Milliseconds = 2_000;
const maxSmoothing = 0.5;
const maxResidual = 0.5;
/** Running work is evidence for as long as it is reported. */
const runningMs: Milliseconds = 250;
const minRunning = 2;
const maxRunning = 16;
/**
 * A target that looks slow is probed after this time without evidence; with the two probes that have to agree, it has
 * recovered within a second. While probes confirm that it is slow, they follow each other at up to the second interval.
 */
const probeAfterMs: Milliseconds = 300;
const maxProbeAfterMs: Milliseconds = 600;
/** A response that was faster than this (22 %) is followed by the next probe at once. */
const confirmBelow = 0.2;
/** Extra time for a target that is only a little slower than the others, whose estimate may be noise. */
const mildProbeExtraMs: Milliseconds = 700;
/** Records of others are not confirmed by each box on its own before this time. */
const probeReportedAfterMs: Milliseconds = 1_500;
/** Records of others replace an own estimate that is older. */
const ownFreshMs: Milliseconds = 1_000;

export interface TargetSlowness {
  value(): number;
  hasOwnEvidence(): boolean;
  /** Learns from a residual; returns whether the estimate agrees with it well enough to learn other things from it. */
  observe(residual: number, observer: string, now: Milliseconds): boolean;
  /**
   * @param startedAt time at which the work began, which identifies it together with its observer
   * @param atLeast slowness that the elapsed time alone shows
   * @param expectedMs duration of the work at the present estimate
   */
  observeRunning(
    observer: string,
    startedAt: Milliseconds,
    atLeast: number,
    expectedMs: Milliseconds,
    now: Milliseconds,
  ): void;
  /** Adds a change of what the value is relative to. */
  rebase(change: number): void;
  /** Replaces the value by one that another box has observed, unless there is a recent one of its own. */
  adopt(value: number, now: Milliseconds): boolean;
  /** @param looksSlow whether the target is so slow that it may get no requests otherwise */
  isConfirmationDue(looksSlow: boolean, now: Milliseconds): boolean;
}

/** @param initial value until the first observation */
export function createTargetSlowness(initial: number, createdAt: Milliseconds): TargetSlowness {
  const agreement = createAgreement(agreeingIncrease, agreeingDecrease);
  const running = new Map<string, RunningEvidence>();
  let value = initial;
  let observedAt: Milliseconds = -Infinity;
  let probeNotBefore = createdAt + probeReportedAfterMs;
  let probeIntervalMs = probeAfterMs;
  /** Time of the last observation that did not look slow. */
  let expectedAt: Milliseconds = -Infinity;
  const apply = (shift: number) => {
    value += shift;
    agreement.subtract(shift);
  };
  const scheduleProbe = (residual: number, now: Milliseconds) => {
    // A faster response than expected is confirmed at once.
    if (residual < -confirmBelow) probeIntervalMs = 0;
    else probeIntervalMs = Math.min(maxProbeAfterMs, Math.max(probeAfterMs, probeIntervalMs * 1.3));
    probeNotBefore = now + probeIntervalMs;
  };
  return {
    value: () => value,
    hasOwnEvidence: () => observedAt > -Infinity,
    observe(residual, observer, now) {
      const gapMs = now - observedAt;
      observedAt = now;
      if (residual <= jumpThreshold) expectedAt = now;
      scheduleProbe(residual, now);
      agreement.add(residual, observer);
      const shift = agreement.shift(jumpThreshold);
      if (shift !== 0) {
        apply(shift);
        probeNotBefore = now + probeAfterMs;
        return false;
      }
      const gain = Math.min(maxSmoothing, Math.max(smoothing, gapMs / forgettingMs));
      apply(gain * Math.max(-maxResidual, Math.min(maxResidual, residual)));
      return Math.abs(residual) < maxResidual;
    },
    observeRunning(observer, startedAt, atLeast, expectedMs, now) {
      probeNotBefore = Math.max(probeNotBefore, now + probeAfterMs);
      if (atLeast - value <= jumpThreshold) return;
      running.set(`${observer}@${Math.round(startedAt)}`, { observer, atLeast, at: now });
      for (const [key, { at }] of running) {
        if (now - at > runningMs || running.size > maxRunning) running.delete(key);
      }
      // Some long work alongside other work that ends as expected is no slow target.
      if (running.size < minRunning || now - expectedAt < expectedMs) return;
      const evidence = [...running.values()];
      if (!agreement.isSupportedBy(new Set(evidence.map((one) => one.observer)))) return;
      const sorted = evidence.map((one) => one.atLeast).sort((a, b) => b - a);
      const shift = sorted[minRunning - 1] - value;
      if (shift > jumpThreshold) apply(shift);
    },
    rebase: (change) => void (value += change),
    adopt(reported, now) {
      if (now - observedAt < ownFreshMs) return false;
      apply(reported - value);
      probeNotBefore = now + probeReportedAfterMs;
      return true;
    },
    isConfirmationDue: (looksSlow, now) =>
      now >= probeNotBefore + (looksSlow || probeIntervalMs === 0 ? 0 : mildProbeExtraMs),
  };
}
