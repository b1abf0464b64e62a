/**
 * Decides whether a box may continue to serve. A box that reaches the log neither directly nor through peers
 * may have missed a newer configuration, unless a majority of boxes confirms an outage of the log, during
 * which no configuration is accepted. A box that was heard only before this one lost the log confirms nothing.
 */
import type { Milliseconds } from "@linkfall/types";

/** This box's contact with the log and with other boxes. */
export interface LogContact {
  /** Time since this box, or a peer in contact with it, last read the log. */
  readonly sinceLogReadMs: Milliseconds;
  /** Number of boxes, including this one, with a heartbeat received within `ms`, direct or relayed. */
  countHeardWithin(ms: Milliseconds): number;
  /** All known boxes, including this one. */
  readonly knownBoxes: number;
}

/** Heartbeats from this latter share of the time without the log confirm the outage, however long a round of all boxes takes. */
const confirmingShare = 0.5;

/** Whether the box is isolated and must reject requests. */
export function isIsolated(contact: LogContact, staleServingMs: Milliseconds): boolean {
  const { sinceLogReadMs, knownBoxes } = contact;
  if (sinceLogReadMs <= staleServingMs) return false;
  const confirmingMs = Math.max(staleServingMs, sinceLogReadMs * confirmingShare);
  const majorityConfirms = 2 * contact.countHeardWithin(confirmingMs) > knownBoxes;
  return !majorityConfirms;
}
