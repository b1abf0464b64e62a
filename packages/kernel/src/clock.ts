/** Time as an injected service, which makes test runs reproducible. */
import type { Milliseconds } from "@linkfall/types";

/** Cancels a pending timer; does nothing if the timer has fired or was cancelled. */
export type CancelTimer = () => void;

/** A monotonic clock with timers. Readings of different boxes are not comparable. */
export interface Clock {
  /** Monotonic reading in milliseconds. */
  now(): Milliseconds;
  /**
   * Like `now`, but includes the time for which the machine was suspended, which the monotonic clock omits. Used for the
   * expiry of what this box holds, such as leases; a forward step of the wall clock makes it expire early. Use `now` for
   * the expiry of what other boxes hold, and for callers' deadlines.
   */
  elapsed(): Milliseconds;
  /** Wall-clock time, ISO 8601; for display only. */
  wallTime(): string;
  /** Calls `action` once, after `delay` milliseconds. */
  after(delay: Milliseconds, action: () => void): CancelTimer;
}

/** Smaller jumps of the wall clock are attributed to its resolution and to clock corrections. */
const minSuspensionMs: Milliseconds = 20;

/**
 * Returns a reader of the monotonic time plus the time of suspensions. A process detects a suspension
 * only by the wall clock jumping ahead of the monotonic clock.
 */
export function createElapsedReader(
  readMonotonic: () => Milliseconds,
  readWall: () => Milliseconds,
): () => Milliseconds {
  let suspendedMs = 0;
  let previous = { monotonic: readMonotonic(), wall: readWall() };
  return () => {
    const current = { monotonic: readMonotonic(), wall: readWall() };
    const aheadMs = current.wall - previous.wall - (current.monotonic - previous.monotonic);
    previous = current;
    if (aheadMs > minSuspensionMs) suspendedMs += aheadMs;
    return current.monotonic + suspendedMs;
  };
}

/** A timer that fires later than this indicates a delayed event loop. */
const maxTimerLagMs: Milliseconds = 20;

/** Longest delay of Node's timers; those set to more fire at once. */
const maxTimerMs: Milliseconds = 2 ** 31 - 1;

/**
 * Creates the clock of the running process. After a long iteration the event loop runs expired timers before it polls its
 * sockets. A late timer therefore defers its action until the sockets were polled; otherwise requests would time out
 * although their responses have arrived.
 *
 * @param onLateTimer called before the sockets are polled when a timer is late, with the time at which it was due
 */
export function systemClock(onLateTimer?: (dueAt: Milliseconds) => void): Clock {
  return {
    now: () => performance.now(),
    elapsed: createElapsedReader(() => performance.now(), Date.now),
    wallTime: () => new Date().toISOString(),
    after(delay, action) {
      const dueAt = performance.now() + delay;
      let deferred: NodeJS.Immediate | undefined;
      const expire = () => {
        if (performance.now() - dueAt <= maxTimerLagMs) return action();
        onLateTimer?.(dueAt);
        deferred = setImmediate(action);
      };
      const start = (remainingMs: Milliseconds): NodeJS.Timeout =>
        remainingMs > maxTimerMs
          ? setTimeout(() => (timer = start(dueAt - performance.now())), maxTimerMs)
          : setTimeout(expire, remainingMs);
      let timer = start(delay);
      return () => {
        clearTimeout(timer);
        clearImmediate(deferred);
      };
    },
  };
}

/** Resolves after `delay` milliseconds by the given clock. */
export function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delay, resolve);
  });
}

/** Resolves with the promise's value, or with `undefined` after `timeoutMs`. */
export function withTimeout<T>(
  clock: Clock,
  timeoutMs: Milliseconds,
  promise: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const cancel = clock.after(timeoutMs, () => resolve(undefined));
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
