/** How busy this box is: whether callers use it, and whether its processor has room left. */
import { type Clock, type Random, repeatEvery, type Service } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface ActivityMonitor extends Service {
  /** Notes a request. */
  recordRequest(): void;
  /** Whether callers have sent requests lately. */
  takesRequests(): boolean;
  /** Whether little of the processor is left. */
  strained(): boolean;
}

/** Callers may come back for as long after their last request. */
const recentRequestWindowMs: Milliseconds = 10_000;
const sampleIntervalMs: Milliseconds = 1_000;
/** Two shares, so that a box does not change its mind with every sample. */
const strainedThreshold = 0.75;
const recoveredThreshold = 0.5;

/** `busyShare` tells the share of the time since its last call in which the process was at work. */
export function createActivityMonitor(
  clock: Clock,
  random: Random,
  busyShare: () => number,
): ActivityMonitor {
  let lastAt = -Infinity;
  let strained = false;
  const sampling = repeatEvery(clock, random, sampleIntervalMs, () => {
    strained = busyShare() > (strained ? recoveredThreshold : strainedThreshold);
  });
  return {
    recordRequest() {
      lastAt = clock.now();
    },
    takesRequests: () => clock.now() - lastAt < recentRequestWindowMs,
    strained: () => strained,
    start: sampling.start,
    stop: sampling.stop,
  };
}
