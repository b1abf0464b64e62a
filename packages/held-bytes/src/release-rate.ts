/** Measures how fast held bytes are released. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** The rate is averaged over this time and the one before it. */
const windowMs: Milliseconds = 1_000;

export interface ReleaseRate {
  record(bytes: number): void;
  bytesPerMs(): number;
}

/** Creates a meter that keeps the sums of two windows. */
export function createReleaseRate(clock: Clock): ReleaseRate {
  let windowStart = clock.now();
  let current = 0;
  let previous = 0;
  const advance = () => {
    const windows = Math.floor((clock.now() - windowStart) / windowMs);
    if (windows === 0) return;
    previous = windows === 1 ? current : 0;
    current = 0;
    windowStart += windows * windowMs;
  };
  return {
    record(bytes) {
      advance();
      current += bytes;
    },
    bytesPerMs() {
      advance();
      return (previous + current) / (windowMs + clock.now() - windowStart);
    },
  };
}
