/** Messages between boxes about requests that crash the targets that run them. */
import type { Milliseconds } from "./identifiers.js";

/** Hash of a request's content. */
export type Fingerprint = string;

/** What requests that crashed targets may have in common. */
export type SuspectKind = "request" | "prompt part" | "adapter";

/** A request that is held back (blocked on all boxes), or was until an operator released it. */
export interface HeldRequest {
  readonly request: Fingerprint;
  /** What is held: one request, or all that share something; one request if absent. */
  readonly kind?: SuspectKind;
  /** What the requests share, as their callers write it; absent for one request. */
  readonly text?: string;
  /** Incremented with each change; of two versions the higher revision wins. */
  readonly revision: number;
  /** Whether the request is still blocked. */
  readonly held: boolean;
  readonly service: string;
  readonly route: string;
  /** Client account of the request; absent on routes that allow anonymous requests. */
  readonly account?: string;
  /** Targets that had crashed while running the request when it was blocked. */
  readonly targets: readonly string[];
  /** Wall-clock time of the change, ISO 8601; for display only. */
  readonly since: string;
}

/** One event of a {@link BlameMessage}. Times are sent as ages, because the clocks of boxes are not synchronized. */
export type BlameRecord =
  /** A target crashed while it ran these requests. */
  | {
      readonly kind: "end";
      readonly target: string;
      readonly service: string;
      readonly ageMs: Milliseconds;
      readonly requests: readonly Fingerprint[];
      /** Targets of the service that were running requests; absent from boxes that don't count them. */
      readonly targetsInUse?: number;
    }
  /** A target answered the request successfully. */
  | { readonly kind: "served"; readonly request: Fingerprint; readonly ageMs: Milliseconds }
  /** A request was blocked or released. */
  | { readonly kind: "held"; readonly word: HeldRequest };

/** The blame records that the receiver has not acknowledged yet. */
export interface BlameMessage {
  /** Position in the sender's change sequence that the receiver has reached after applying this message. */
  readonly number: number;
  readonly records: readonly BlameRecord[];
}
