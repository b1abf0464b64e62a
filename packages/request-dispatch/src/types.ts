/** What requests get of a dispatcher, and what they tell it. */
import type { RejectionReason } from "@linkfall/dispatch-queue";
import type { Milliseconds } from "@linkfall/types";

/** A place at a target, until its end is reported. */
export interface DispatchGrant {
  readonly service: string;
  readonly target: string;
  readonly place: string;
  /** Expected time until the response. */
  readonly expectedMs: Milliseconds;
  /** Peer address of the box that granted it. */
  readonly dispatcher: string;
}

export type DispatchOutcome =
  | { readonly kind: "granted"; readonly grant: DispatchGrant }
  | {
      readonly kind: "rejected";
      readonly reason: RejectionReason;
      readonly retryAfterMs: Milliseconds;
    }
  /** No dispatcher answers: the box has to choose a target itself. */
  | { readonly kind: "unavailable" }
  /** The request has stopped waiting, since its caller is gone, its time is over or its box is stopping. */
  | { readonly kind: "left" };

/** The caller of a waiting request. */
export interface Waiter {
  /** Whether the request should stop waiting. */
  isGone(): boolean;
  /** Calls the listener when the caller disconnects. */
  onGone(listener: () => void): void;
}
