/** Time as an injected service, so that a whole run can be replayed from a seed. */
import type { Milliseconds } from "@linkfall/types";

/** Ends a pending timer; calling it later or twice does nothing. */
export type CancelTimer = () => void;

/** A monotonic clock with timers. Readings of two boxes are never compared. */
export interface Clock {
  /** Monotonic reading in milliseconds. */
  now(): Milliseconds;
  /** Wall-clock time for people to read, ISO 8601. No decision depends on it. */
  wallTime(): string;
  /** Calls `action` once, `delay` milliseconds from now. */
  after(delay: Milliseconds, action: () => void): CancelTimer;
}

/** A timer that fires later than this shows that the event loop is behind. */
const lateMs: Milliseconds = 20;

/**
 * The clock of the running process. After a long turn the event loop runs timers that are due before it reads its sockets; a
 * timer that fires late lets it read them first. Otherwise a limit ends calls whose answers have come: of 20 calls with a limit
 * of 100 ms that were answered after 50 ms, during a turn of 300 ms, 20 were taken for unanswered, none with it.
 */
export function systemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => new Date().toISOString(),
    after(delay, action) {
      const dueAt = performance.now() + delay;
      let late: NodeJS.Immediate | undefined;
      const timer = setTimeout(() => {
        if (performance.now() - dueAt <= lateMs) return action();
        late = setImmediate(action);
      }, delay);
      return () => {
        clearTimeout(timer);
        clearImmediate(late);
      };
    },
  };
}

/** Resolves after `delay` milliseconds of the given clock. */
export function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delay, resolve);
  });
}

/** Resolves with the promise's value, or with `undefined` once `limit` milliseconds have passed. */
export function withTimeout<T>(
  clock: Clock,
  limit: Milliseconds,
  promise: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const cancel = clock.after(limit, () => resolve(undefined));
    promise.then(
      (value) => {
        cancel();
        resolve(value);
      },
      (problem) => {
        cancel();
        reject(problem);
      },
    );
  });
}
