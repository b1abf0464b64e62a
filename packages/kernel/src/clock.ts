/** Time as an injected service, so that a whole run can be replayed from a seed. */
import type { Milliseconds } from "@linkfall/types";

/** Ends a pending timer; calling it later or twice does nothing. */
export type CancelTimer = () => void;

/** A monotonic clock with timers. Readings of two boxes are never compared. */
export interface Clock {
  /** Monotonic reading in milliseconds. */
  now(): Milliseconds;
  /**
   * As `now`, and beside it the time for which the machine may have been suspended, which the steady clock leaves out. What
   * this box has a right to ends by it; a step of the wall clock ends it sooner than need be. The time for which another box
   * may still act, and what callers wait for, go by `now`.
   */
  elapsed(): Milliseconds;
  /** Wall-clock time for people to read, ISO 8601. No decision depends on it. */
  wallTime(): string;
  /** Calls `action` once, `delay` milliseconds from now. */
  after(delay: Milliseconds, action: () => void): CancelTimer;
}

/** A wall clock that ran ahead of the steady one by less shows no suspension: it is read in whole milliseconds, and is corrected. */
const minSuspensionMs: Milliseconds = 20;

/** Adds up by how much the wall clock has jumped ahead of the steady one: the only sign of a suspension that a process gets. */
export function createElapsedReader(
  steady: () => Milliseconds,
  wall: () => Milliseconds,
): () => Milliseconds {
  let suspendedMs = 0;
  let previous = { steady: steady(), wall: wall() };
  return () => {
    const current = { steady: steady(), wall: wall() };
    const aheadMs = current.wall - previous.wall - (current.steady - previous.steady);
    previous = current;
    if (aheadMs > minSuspensionMs) suspendedMs += aheadMs;
    return current.steady + suspendedMs;
  };
}

/** A timer that fires later than this shows that the event loop is behind. */
const maxTimerLagMs: Milliseconds = 20;

/**
 * The clock of the running process. After a long turn the event loop runs timers that are due before it reads its sockets; a
 * timer that fires late lets it read them first. Otherwise a limit ends calls whose answers have come.
 */
export function systemClock(): Clock {
  return {
    now: () => performance.now(),
    elapsed: createElapsedReader(() => performance.now(), Date.now),
    wallTime: () => new Date().toISOString(),
    after(delay, action) {
      const dueAt = performance.now() + delay;
      let late: NodeJS.Immediate | undefined;
      const timer = setTimeout(() => {
        if (performance.now() - dueAt <= maxTimerLagMs) return action();
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
