/** What boxes say to each other of turns at targets that have named limits. */
import type { AllocationAsk, AllocationGrant } from "@linkfall/allocation";
import type { Milliseconds } from "@linkfall/types";

/** Where a box answers operators: GET lists the targets whose limits hold. */
export const limitedTargetsPath = "/v1/limited-targets";

/** A box asks the allocator of a target for a turn to send one request there. */
export interface TurnAsk extends AllocationAsk {
  readonly target: string;
  /** The limit as the asking box knows it, in requests a second. */
  readonly perSecond: number;
  /** Longest time that the request may wait for its turn. */
  readonly withinMs: Milliseconds;
}

export interface TurnGrant extends AllocationGrant {
  readonly granted: boolean;
  /** Time until the turn; where none was granted, until one will be there for all who were refused before as well. */
  readonly waitMs: Milliseconds;
}
