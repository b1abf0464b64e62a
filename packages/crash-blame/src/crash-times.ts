/** Answers how many crashes there were around a time, from sorted times and running sums. */
import type { Milliseconds } from "@linkfall/types";
import type { TargetCrash } from "./target-crash.js";

export interface CrashTimes {
  /** Number of crashes from `from` to `to`, both included. */
  countWithin(from: Milliseconds, to: Milliseconds): number;
  /** Sum over these crashes of the share that each target had of the targets in use. */
  shareWithin(from: Milliseconds, to: Milliseconds): number;
}

const shareOf = ({ targetsInUse }: TargetCrash, targets: number): number =>
  1 / Math.max(1, targetsInUse ?? targets);

/** Sum of the shares that the crashed targets had of those in use. */
export const shareOfTargets = (crashes: readonly TargetCrash[], targets: number): number =>
  crashes.reduce((sum, crash) => sum + shareOf(crash, targets), 0);

/** Index of the first time that is not below `at`. */
function firstFrom(times: readonly Milliseconds[], at: Milliseconds): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle] < at) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Index after the last time that is not above `at`. */
function firstAfter(times: readonly Milliseconds[], at: Milliseconds): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle] <= at) low = middle + 1;
    else high = middle;
  }
  return low;
}

/**
 * Indexes crashes of one service, which are in the order of their times.
 *
 * @param targets number of targets of the service
 */
export function createCrashTimes(crashes: readonly TargetCrash[], targets: number): CrashTimes {
  const times = crashes.map(({ at }) => at);
  const sums = [0];
  for (const crash of crashes) sums.push(sums[sums.length - 1] + shareOf(crash, targets));
  return {
    countWithin: (from, to) => firstAfter(times, to) - firstFrom(times, from),
    shareWithin: (from, to) => sums[firstAfter(times, to)] - sums[firstFrom(times, from)],
  };
}
