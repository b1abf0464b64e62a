/** What boxes tell each other of requests that end the targets that run them. */
import type { Milliseconds } from "./identifiers.js";

/** Names a request by its content. */
export type Fingerprint = string;

/** A request that is held back, or was until an operator released it. */
export interface HeldRequest {
  readonly request: Fingerprint;
  /** Grows with each change; of two words the one with the higher revision holds. */
  readonly revision: number;
  /** False once it has been released. */
  readonly held: boolean;
  readonly service: string;
  readonly route: string;
  /** Absent where no key was needed. */
  readonly account?: string;
  /** Targets that had ended under it when it was held back. */
  readonly targets: readonly string[];
  /** Wall-clock time of the change, ISO 8601, for people to read. */
  readonly since: string;
}

/** One record between boxes; times are told as ages, since boxes' clocks are never compared. */
export type BlameRecord =
  | {
      readonly kind: "end";
      readonly target: string;
      readonly service: string;
      readonly ageMs: Milliseconds;
      readonly requests: readonly Fingerprint[];
    }
  /** The request was answered well by a target. */
  | { readonly kind: "served"; readonly request: Fingerprint; readonly ageMs: Milliseconds }
  | { readonly kind: "held"; readonly word: HeldRequest };

/** What one box tells another: what it has learnt since the other's last word. */
export interface BlameMessage {
  /** How far the reader has followed the sender once it has taken this. */
  readonly number: number;
  readonly records: readonly BlameRecord[];
}
