/**
 * How much of the work that the learned capacities promise a service gets done while requests wait. Corrects expected waits
 * if the learned durations are off for all targets alike, for example if they follow short responses.
 */
import type { Milliseconds } from "@linkfall/types";

/** Follows a change within a second, and still averages about 100 responses of a small service. */
const averagingMs: Milliseconds = 500;
/** Time for which the promised pace is assumed, so that the first responses count little. */
const assumedMs: Milliseconds = 100;
const minPace = 0.2;
const maxPace = 3;

export interface ServicePace {
  /** Work that has ended, in time of the whole service, and whether requests wait. */
  observe(work: number, isBacklogged: boolean, now: Milliseconds): void;
  /** Work done per work promised. */
  value(): number;
}

export function createServicePace(): ServicePace {
  let done = 0;
  let elapsed = 0;
  let observedAt = 0;
  let wasBacklogged = false;
  return {
    observe(work, isBacklogged, now) {
      if (isBacklogged && wasBacklogged) {
        const passed = now - observedAt;
        const kept = Math.exp(-passed / averagingMs);
        done = done * kept + work;
        elapsed = elapsed * kept + passed;
      }
      wasBacklogged = isBacklogged;
      observedAt = now;
    },
    value() {
      const pace = (done + assumedMs) / (elapsed + assumedMs);
      return Math.max(minPace, Math.min(maxPace, pace));
    },
  };
}
