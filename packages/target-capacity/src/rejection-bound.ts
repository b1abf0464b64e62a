/** Bound of a target's concurrency that its rejections for want of room have shown. */
import type { Milliseconds } from "@linkfall/types";

/** The bound is raised by one in this time: at most one rejection in two seconds tells whether there is more room. */
const raiseAfterMs: Milliseconds = 2_000;

export interface RejectionBound {
  observe(concurrency: number, now: Milliseconds): void;
  /** Bound at a time; `Infinity` without rejections. */
  at(now: Milliseconds): number;
}

export function createRejectionBound(): RejectionBound {
  let bound = Infinity;
  let since: Milliseconds = 0;
  const at = (now: Milliseconds) => bound + Math.floor((now - since) / raiseAfterMs);
  return {
    at,
    observe(concurrency, now) {
      bound = Math.max(1, Math.min(at(now), concurrency - 1));
      since = now;
    },
  };
}
