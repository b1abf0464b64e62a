/** Costs of one kind of work, as a fixed part and a part per unit, by weighted least squares with forgetting. */
import type { Milliseconds } from "@linkfall/types";

export interface WorkCosts {
  readonly fixedMs: Milliseconds;
  readonly perUnitMs: Milliseconds;
}

export interface WorkCostEstimate {
  /** Number of observations, own and adopted. */
  count(): number;
  costs(): WorkCosts;
  expectedMs(amount: number): Milliseconds;
  observe(amount: number, durationMs: Milliseconds): void;
  /** Replaces the estimate by the costs that another box has observed. */
  adopt(costs: WorkCosts): void;
}

/** Weight of the past after each observation: the last 500 count, so that one target's stall of a second stays small. */
const retention = 0.998;
/** Durations count at most this many times the expected one, so that one outlier does not move the line. */
const maxOutlier = 3;
/** The first observations replace the initial costs, which may be wrong by orders of magnitude. */
const initialObservations = 10;
/** Relative variance of the amounts above which a fixed part can be told from a part per unit. */
const minAmountVariance = 0.02;
/** Observations whose weight adopted costs have. */
const adoptedWeight = 20;
const minExpectedMs: Milliseconds = 0.01;

/** Creates an estimate that returns `initial` until the first observation. */
export function createWorkCostEstimate(initial: WorkCosts): WorkCostEstimate {
  let { fixedMs, perUnitMs } = initial;
  let observations = 0;
  // Sums of weights w and of w, amount and duration products, over all observations.
  let w = 0;
  let wa = 0;
  let waa = 0;
  let wd = 0;
  let wad = 0;
  const expectedMs = (amount: number) => Math.max(minExpectedMs, fixedMs + perUnitMs * amount);
  const add = (amount: number, durationMs: Milliseconds, weight: number) => {
    w = w * retention + weight;
    wa = wa * retention + weight * amount;
    waa = waa * retention + weight * amount * amount;
    wd = wd * retention + weight * durationMs;
    wad = wad * retention + weight * amount * durationMs;
  };
  const solve = () => {
    const meanAmount = wa / w;
    const meanMs = wd / w;
    const variance = waa / w - meanAmount * meanAmount;
    fixedMs = 0;
    if (variance > minAmountVariance * meanAmount * meanAmount) {
      const slope = Math.max(0, (wad / w - meanAmount * meanMs) / variance);
      fixedMs = Math.max(0, meanMs - slope * meanAmount);
    }
    perUnitMs = meanAmount > 0 ? (meanMs - fixedMs) / meanAmount : 0;
  };
  return {
    count: () => observations,
    costs: () => ({ fixedMs, perUnitMs }),
    expectedMs,
    observe(amount, durationMs) {
      const expected = expectedMs(amount);
      const bounded =
        observations < initialObservations
          ? durationMs
          : Math.min(expected * maxOutlier, Math.max(expected / maxOutlier, durationMs));
      observations += 1;
      // Errors are relative: a long response must not outweigh many short ones.
      const scaleMs = observations < initialObservations ? bounded : expected;
      add(amount, bounded, 1 / Math.max(minExpectedMs, scaleMs) ** 2);
      solve();
    },
    adopt(costs) {
      ({ fixedMs, perUnitMs } = costs);
      observations = Math.max(observations, adoptedWeight);
      w = wa = waa = wd = wad = 0;
      // Two points of the line, from which later observations continue.
      for (const amount of perUnitMs > 0 && fixedMs > 0 ? [1, 2 * (fixedMs / perUnitMs)] : [1]) {
        const ms = expectedMs(amount);
        add(amount, ms, adoptedWeight / 2 / ms ** 2);
      }
    },
  };
}
