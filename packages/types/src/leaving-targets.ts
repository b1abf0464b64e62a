/** Notices of targets that have said in a response that they are leaving, as exchanged between boxes. */
import type { Milliseconds } from "./identifiers.js";

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
