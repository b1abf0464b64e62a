/**
 * Whether a box may go on serving. A box that reaches neither the log nor anyone who does cannot
 * know whether a configuration has been accepted since. Only when a majority of the boxes confirms
 * that the log is silent for them too is it an outage of the log, in which nothing is accepted.
 */
import type { Milliseconds } from "@linkfall/types";

/** What this box knows about its contact with the log. */
export interface LogContact {
  /** Time since this box, or a peer that it hears, last read the log. */
  readonly sinceLogReadMs: Milliseconds;
  /** Boxes of which word comes, directly or through others, this one included. */
  readonly aliveBoxes: number;
  /** All boxes that are known and not forgotten, this one included. */
  readonly knownBoxes: number;
}

/** Says whether the box is cut off and must refuse requests. */
export function isIsolated(contact: LogContact, staleServingMs: Milliseconds): boolean {
  if (contact.sinceLogReadMs <= staleServingMs) return false;
  const majorityConfirms = 2 * contact.aliveBoxes > contact.knownBoxes;
  return !majorityConfirms;
}
