/** Loads from the weight store over a sliding window, so that its rate is kept. */
import type { Milliseconds } from "@linkfall/types";

export interface StoreLoadWindow {
  /** Loads that may begin now. */
  remaining(perSecond: number, now: Milliseconds): number;
  record(now: Milliseconds): void;
  /** Takes back the last that was counted: it was refused. */
  removeLast(): void;
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
    remaining(perSecond, now) {
      begun = begun.filter((at) => now - at < windowMs);
      return allowed(perSecond) - begun.length;
    },
    record: (now) => void begun.push(now),
    removeLast: () => void begun.pop(),
    assumeFull(perSecond, now) {
      // Spread over the window, as they would be on average.
      const count = allowed(perSecond);
      begun = Array.from({ length: count }, (_, index) => now - (index * windowMs) / count);
    },
  };
}
