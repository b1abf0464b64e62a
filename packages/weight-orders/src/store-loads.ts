/** Loads from the weight store over a sliding window, so that its rate is kept. */
import type { Milliseconds } from "@linkfall/types";

export interface StoreLoadWindow {
  /** Loads that may begin now. */
  left(perSecond: number, now: Milliseconds): number;
  began(now: Milliseconds): void;
  /** Takes back the last that was counted: it was refused. */
  undo(): void;
  /** Counts the window as full: loads of another holder may have just begun. */
  assumeFull(perSecond: number, now: Milliseconds): void;
}

const windowMs: Milliseconds = 5_000;
const millisecondsPerSecond = 1000;

export function createStoreLoadWindow(): StoreLoadWindow {
  let begun: Milliseconds[] = [];
  const allowed = (perSecond: number) =>
    Math.max(1, Math.floor((perSecond * windowMs) / millisecondsPerSecond));
  return {
    left(perSecond, now) {
      begun = begun.filter((at) => now - at < windowMs);
      return allowed(perSecond) - begun.length;
    },
    began: (now) => void begun.push(now),
    undo: () => void begun.pop(),
    assumeFull(perSecond, now) {
      // Spread over the window, as they would be on average.
      const count = allowed(perSecond);
      begun = Array.from({ length: count }, (_, index) => now - (index * windowMs) / count);
    },
  };
}
