/** Messages between boxes about requests that crash the targets that run them. */
import type { Incarnation, Milliseconds } from "./identifiers.js";

/** Hash of a request's content. */
export type Fingerprint = string;

/** What requests of a service may have in common. */
export type SharedKind = "prompt part" | "prompt beginning" | "adapter";

/** What may cause the crashes of targets: one request, or something that several share. */
export type SuspectKind = "request" | SharedKind;

/** What was known of a suspect when it was held back. */
export interface HoldEvidence {
  /** Crashes under it, those that coincide with others in part. */
  readonly crashes: number;
  /** Requests with it that were served. */
  readonly served: number;
  /** Chance that a request met an unrelated crash. */
  readonly byChance: number;
  /** Logarithm of the likelihood ratio. */
  readonly weight: number;
}

/** A request, or something that requests share, that is held back (blocked on all boxes), or was until an operator released it. */
export interface HeldRequest {
  /** Fingerprint of what is held. */
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
  readonly evidence?: HoldEvidence;
  /** Wall-clock time of the change, ISO 8601; for display only. */
  readonly since: string;
}

/** Something that lost requests share: its kind, its text, and the shortest time since a response to one had begun. */
export type SharedRecord = readonly [kind: SharedKind, text: string, writingMs: Milliseconds];

/** One event of a {@link BlameMessage}. Times are sent as ages, because the clocks of boxes are not synchronized. */
export type BlameRecord =
  /** A target crashed while it ran these requests. */
  | {
      readonly kind: "end";
      readonly target: string;
      readonly service: string;
      readonly ageMs: Milliseconds;
      readonly requests: readonly Fingerprint[];
      /** Absent from boxes that don't know shared traits. */
      readonly shared?: readonly SharedRecord[];
      /** Targets of the service that were running requests; absent from boxes that don't count them. */
      readonly targetsInUse?: number;
    }
  /** Requests with a suspect have been served. */
  | {
      readonly kind: "served";
      readonly request: Fingerprint;
      readonly ageMs: Milliseconds;
      /** The box that served them, and how many; one request of an unnamed box if absent. */
      readonly by?: Incarnation;
      readonly count?: number;
    }
  /** A request was blocked or released. */
  | { readonly kind: "held"; readonly word: HeldRequest };

/** The blame records that the receiver has not acknowledged yet. */
export interface BlameMessage {
  /** Position in the sender's change sequence that the receiver has reached after applying this message. */
  readonly number: number;
  readonly records: readonly BlameRecord[];
}
