/** How busy this box is: whether callers use it, and whether its processor has room left. */
import { type Clock, type Random, repeatEvery, type Service } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface Activity extends Service {
  /** Notes a request. */
  note(): void;
  /** Whether callers have sent requests lately. */
  takesRequests(): boolean;
  /** Whether little of the processor is left. */
  strained(): boolean;
}

/** Callers may come back for as long after their last request. */
const recentMs: Milliseconds = 10_000;
const sampleMs: Milliseconds = 1_000;
/** Two shares, so that a box does not change its mind with every sample. */
const strainedFrom = 0.75;
const easyBelow = 0.5;

/** `busyShare` tells the share of the time since its last call in which the process was at work. */
export function createActivity(clock: Clock, random: Random, busyShare: () => number): Activity {
  let lastAt = -Infinity;
  let strained = false;
  const sampling = repeatEvery(clock, random, sampleMs, () => {
    strained = busyShare() > (strained ? easyBelow : strainedFrom);
  });
  return {
    note() {
      lastAt = clock.now();
    },
    takesRequests: () => clock.now() - lastAt < recentMs,
    strained: () => strained,
    start: sampling.start,
    stop: sampling.stop,
  };
}
