/**
 * Waits for pending disconnects to be processed. The event loop notices a closed socket only when it polls next, so that
 * an overloaded box would otherwise forward requests of callers that have left.
 */
import type { Milliseconds } from "@linkfall/types";

/** Maximum age of the socket state on which work is started; callers tolerate half a second. */
const maxEventAgeMs: Milliseconds = 150;
/** Bounds the wait on a box whose iterations all take longer than `maxEventAgeMs`. */
const maxIterations = 3;

/** Resolves in the check phase of the event loop, after the I/O events of the current poll phase have been handled. */
const endOfIteration = () => new Promise<void>((resolve) => setImmediate(resolve));

/**
 * Resolves when all disconnects older than `maxEventAgeMs` have been processed, when the caller is gone, or after
 * `maxIterations` iterations of the event loop.
 *
 * @param polledAt time in an earlier iteration of the event loop, by the clock of `now`
 */
export async function awaitPendingDisconnects(
  now: () => Milliseconds,
  gone: () => boolean,
  polledAt: Milliseconds,
): Promise<void> {
  let previousAt = polledAt;
  for (let iterations = 0; iterations < maxIterations && !gone(); iterations++) {
    await endOfIteration();
    const currentAt = now();
    if (currentAt - previousAt <= maxEventAgeMs) return;
    previousAt = currentAt;
  }
}

/** Like `awaitPendingDisconnects`, for a request read in this iteration; data after it is read in the next one. */
export async function awaitPendingDisconnectsAfterRead(
  now: () => Milliseconds,
  gone: () => boolean,
): Promise<void> {
  const readAt = now();
  await endOfIteration();
  await awaitPendingDisconnects(now, gone, readAt);
}
