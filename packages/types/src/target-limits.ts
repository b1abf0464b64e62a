/** Request limits that targets advertise for the traffic of all boxes together. */
import type { Milliseconds } from "./identifiers.js";

/** The limit that a response advertises for its target. */
export type AdvertisedLimit =
  | { readonly kind: "none" }
  /** Requests per second that the target accepts from all boxes together. */
  | { readonly kind: "limited"; readonly perSecond: number }
  /** The response has a limit that cannot be parsed. */
  | { readonly kind: "unreadable"; readonly text: string };

/** A target with a limit in effect, as shown to operators. */
export interface LimitedTarget {
  readonly target: string;
  readonly perSecond: number;
  /** Time since the target first advertised a limit. */
  readonly forMs: Milliseconds;
}

/** Limit of one target, as exchanged between boxes. */
export interface TargetLimitRecord {
  readonly target: string;
  /** Start time of the target's incarnation, in Unix milliseconds by its clock; absent if unknown. */
  readonly born?: Milliseconds;
  /** Requests per second; absent if the target no longer has a limit. */
  readonly perSecond?: number;
  /** Time since a box received the response that advertised this limit. */
  readonly ageMs: Milliseconds;
}

/** The limits that have changed since the receiver's last acknowledged message. */
export interface TargetLimitMessage {
  /** Position in the sender's change sequence that the receiver has reached after applying this message. */
  readonly number: number;
  readonly records: readonly TargetLimitRecord[];
}
