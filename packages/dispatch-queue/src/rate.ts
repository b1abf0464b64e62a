/** Rate of arriving work, averaged over a time that follows bursts. */
import type { Milliseconds } from "@linkfall/types";

/** Bursts and load waves last 0.4 s and more; over a shorter time the count of a class would be too noisy. */
const averagingMs: Milliseconds = 250;

export interface Rate {
  add(work: number, now: Milliseconds): void;
  perMs(now: Milliseconds): number;
}

export function createRate(): Rate {
  let sum = 0;
  let updatedAt = 0;
  const decay = (now: Milliseconds) => {
    if (now > updatedAt) sum *= Math.exp((updatedAt - now) / averagingMs);
    updatedAt = now;
  };
  return {
    add(work, now) {
      decay(now);
      sum += work;
    },
    perMs(now) {
      decay(now);
      return sum / averagingMs;
    },
  };
}
