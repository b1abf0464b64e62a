/**
 * Tells since when the input that is being read may have been waiting. While the event loop is blocked, nothing is read; what has
 * arrived meanwhile is read in the next iteration, before which the timers that were due fire late.
 */
import type { Milliseconds } from "@linkfall/types";

export interface UnreadInput {
  /** Records, before input is read, that a timer is late. */
  recordLateTimer(dueAt: Milliseconds): void;
  /** Start of the blocked period whose input is being read; undefined if there is none. */
  since(): Milliseconds | undefined;
}

/** Creates a record without unread input; `afterIteration` calls its action when the input of the current iteration has been read. */
export function createUnreadInput(
  afterIteration: (action: () => void) => void = setImmediate,
): UnreadInput {
  let since: Milliseconds | undefined;
  return {
    recordLateTimer(dueAt) {
      if (since === undefined) afterIteration(() => (since = undefined));
      since = Math.min(since ?? dueAt, dueAt);
    },
    since: () => since,
  };
}
