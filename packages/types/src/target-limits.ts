/** Limits that targets name for themselves: what they take from all boxes together. */
import type { Milliseconds } from "./identifiers.js";

/** What one answer says of its target's limit. */
export type AdvertisedLimit =
  | { readonly kind: "none" }
  /** Requests a second that the target takes from all boxes together. */
  | { readonly kind: "limited"; readonly perSecond: number }
  /** The target names a limit in a form that can't be read. */
  | { readonly kind: "unreadable"; readonly text: string };

/** A target whose limit holds, as operators are told of it. */
export interface LimitedTarget {
  readonly target: string;
  readonly perSecond: number;
  /** Time since it first named a limit. */
  readonly forMs: Milliseconds;
}

/** What boxes tell each other of one target. */
export interface TargetLimitRecord {
  readonly target: string;
  /** Start of the life that said so, where it is known. */
  readonly born?: Milliseconds;
  /** Absent where the target takes any number again. */
  readonly perSecond?: number;
  /** Time since the answer that said so, at some box. */
  readonly ageMs: Milliseconds;
}

/** What one box tells another: limits that have changed since the other's last word. */
export interface TargetLimitMessage {
  /** How far the reader has followed the sender once it has taken this. */
  readonly number: number;
  readonly records: readonly TargetLimitRecord[];
}
