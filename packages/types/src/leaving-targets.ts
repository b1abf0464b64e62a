/** Notices of targets that are leaving or have left, as exchanged between boxes. */
import type { Milliseconds } from "./identifiers.js";
import type { ListPosition } from "./target-list.js";

export interface LeavingNotice {
  readonly target: string;
  /** Start time of the incarnation that is leaving, in Unix milliseconds by the target's clock; absent if unknown. */
  readonly born?: Milliseconds;
}

/** The notices that are new since the receiver's last acknowledged message. */
export interface LeavingMessage {
  /** Position in the sender's sequence of notices that the receiver has reached after applying this message. */
  readonly number: number;
  readonly notices: readonly LeavingNotice[];
}

/** The disappearance of a target's list entry while the store was settled. */
export interface Departure extends LeavingNotice {
  /** Position of the list after the entry had disappeared. */
  readonly position: ListPosition;
  /** Number of heartbeats that the last entry told; absent if unknown. */
  readonly heartbeats?: number;
}

/** The departures that are new since the receiver's last acknowledged message. */
export interface DepartureMessage {
  /** Position in the sender's sequence of departures that the receiver has reached after applying this message. */
  readonly number: number;
  readonly departures: readonly Departure[];
}
