/** Tracks whether callers use this box and whether its processor is overloaded. */
import { type Clock, type Random, repeatEvery, type Service } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface ActivityMonitor extends Service {
  /** Records the arrival of a request. */
  recordRequest(): void;
  /** Whether a request arrived within the last few seconds. */
  takesRequests(): boolean;
  /** Records that a connection of a caller has waited in the listen queue. */
  recordConnectionWait(waitMs: Milliseconds): void;
  /** Whether the processor is close to full utilization, or connections wait before they are accepted. */
  strained(): boolean;
}

const recentRequestWindowMs: Milliseconds = 10_000;
const sampleIntervalMs: Milliseconds = 1_000;
/** Two thresholds, so that the state does not flap between samples. */
const strainedThreshold = 0.75;
const recoveredThreshold = 0.5;
/** Wait of a connection from which the box counts as strained. */
const strainedWaitMs: Milliseconds = 100;
/** Time for which it counts as strained after such a wait, so that callers who were sent elsewhere do not come back at once. */
const strainedAfterWaitMs: Milliseconds = 1_500;

/**
 * Creates a monitor.
 *
 * @param processorUtilization fraction of the time since its last call that the process was busy, from 0 to 1
 */
export function createActivityMonitor(
  clock: Clock,
  random: Random,
  processorUtilization: () => number,
): ActivityMonitor {
  let lastRequestAt = -Infinity;
  let strained = false;
  let waitedAt = -Infinity;
  const sampling = repeatEvery(clock, random, sampleIntervalMs, () => {
    strained = processorUtilization() > (strained ? recoveredThreshold : strainedThreshold);
  });
  return {
    recordRequest() {
      lastRequestAt = clock.now();
    },
    takesRequests: () => clock.now() - lastRequestAt < recentRequestWindowMs,
    recordConnectionWait(waitMs) {
      if (waitMs >= strainedWaitMs) waitedAt = clock.now();
    },
    strained: () => strained || clock.now() - waitedAt < strainedAfterWaitMs,
    start: sampling.start,
    stop: sampling.stop,
  };
}
