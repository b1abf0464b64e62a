/**
 * Whether a caller is still there, by what the system knew a moment ago. A close that lies in a socket is seen when the event
 * loop asks the system next, so a box that is behind would send on what nobody waits for any more.
 */
import type { Milliseconds } from "@linkfall/types";

/** Work for a caller that left longer ago is not begun; callers' bound for that is half a second. */
const maxEventAgeMs: Milliseconds = 150;
/** A box whose turns are all longer goes on after so many, rather than keep those who are there waiting. */
const maxIterations = 3;

/** The end of this turn of the event loop: all that the system told at its beginning has been handled. */
const endOfIteration = () => new Promise<void>((resolve) => setImmediate(resolve));

/**
 * Resolves when the event loop has handled what the system knew at most `freshMs` before, or when the caller is gone.
 * Without it a box that falls behind sends on requests whose callers left long ago.
 *
 * @param turnOf reading of the clock in an earlier turn of the loop
 */
export async function awaitPendingDisconnects(
  now: () => Milliseconds,
  gone: () => boolean,
  turnOf: Milliseconds,
): Promise<void> {
  let since = turnOf;
  for (let looks = 0; looks < maxIterations && !gone(); looks++) {
    await endOfIteration();
    const at = now();
    if (at - since <= maxEventAgeMs) return;
    since = at;
  }
}

/** As `lookForCaller`, for a request that was read in this turn: what came behind it is read in the next one. */
export async function awaitPendingDisconnectsAfterRead(
  now: () => Milliseconds,
  gone: () => boolean,
): Promise<void> {
  const turnOf = now();
  await endOfIteration();
  await awaitPendingDisconnects(now, gone, turnOf);
}
