/** Tracks whether callers use this box and whether its processor is overloaded. */
import { type Clock, type Random, repeatEvery, type Service } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface ActivityMonitor extends Service {
  /** Records the arrival of a request. */
  recordRequest(): void;
  /** Whether a request arrived within the last few seconds. */
  takesRequests(): boolean;
  /** Whether the processor is close to full utilization. */
  strained(): boolean;
}

const recentRequestWindowMs: Milliseconds = 10_000;
const sampleIntervalMs: Milliseconds = 1_000;
/** Two thresholds, so that the state does not flap between samples. */
const strainedThreshold = 0.75;
const recoveredThreshold = 0.5;

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
  const sampling = repeatEvery(clock, random, sampleIntervalMs, () => {
    strained = processorUtilization() > (strained ? recoveredThreshold : strainedThreshold);
  });
  return {
    recordRequest() {
      lastRequestAt = clock.now();
    },
    takesRequests: () => clock.now() - lastRequestAt < recentRequestWindowMs,
    strained: () => strained,
    start: sampling.start,
    stop: sampling.stop,
  };
}
