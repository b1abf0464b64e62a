/** Messages between boxes about places at fragile targets. */
import type { AllocationGrant, AllocationRequest } from "@linkfall/allocation";
import type { Milliseconds } from "@linkfall/types";

/** How a send that held a place ended. */
export type PlaceResult =
  /** The target ran the request. */
  | "served"
  /** The target rejected the request for want of room. */
  | "rejected"
  /** The target could not be reached, or its answer was lost; it may have crashed. */
  | "lost"
  /** Nothing is known, or nothing was sent. */
  | "unused";

/** Requests a place for one send to a target, or gives one back if `correction` is "unused". */
export interface PlaceRequest extends AllocationRequest {
  readonly target: string;
  /** Rejections per second that the target survives. */
  readonly rejectionAllowance: number;
  /** Time since the sender first learned that the target is fragile. */
  readonly knownForMs: Milliseconds;
  /** Time after which the place is free again if it is not given back. */
  readonly holdMs: Milliseconds;
  /** Maximum time that the sender waits before it asks again. */
  readonly withinMs: Milliseconds;
  /** The place that is given back. */
  readonly ended?: { readonly place: string; readonly result: PlaceResult };
}

export interface PlaceGrant extends AllocationGrant {
  readonly granted: boolean;
  /** Id of the granted place. */
  readonly place?: string;
  /** Address of the box to which the place is given back; absent if it is this box's own. */
  readonly grantedBy?: string;
  /** Set on a refusal that lasts only until earlier sends have arrived: time after which to ask again. */
  readonly askAgainMs?: Milliseconds;
}
