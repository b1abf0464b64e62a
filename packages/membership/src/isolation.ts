/**
 * Decides whether a box may continue to serve. A box that reaches the log neither directly nor through peers
 * may have missed a newer configuration, unless a majority of boxes confirms an outage of the log, during
 * which no configuration is accepted.
 */
import type { Milliseconds } from "@linkfall/types";

/** This box's contact with the log and with other boxes. */
export interface LogContact {
  /** Time since this box, or a peer in contact with it, last read the log. */
  readonly sinceLogReadMs: Milliseconds;
  /** Boxes with recent heartbeats, direct or relayed, including this one. */
  readonly aliveBoxes: number;
  /** All known boxes, including this one. */
  readonly knownBoxes: number;
}

/** Whether the box is isolated and must reject requests. */
export function isIsolated(contact: LogContact, staleServingMs: Milliseconds): boolean {
  if (contact.sinceLogReadMs <= staleServingMs) return false;
  const majorityConfirms = 2 * contact.aliveBoxes > contact.knownBoxes;
  return !majorityConfirms;
}
