/** What boxes say to each other of permits at targets that have named limits. */
import type { AllocationRequest, AllocationGrant } from "@linkfall/allocation";
import type { Milliseconds } from "@linkfall/types";

/** Where a box answers operators: GET lists the targets whose limits hold. */
export const limitedTargetsPath = "/v1/limited-targets";

/** A box asks the allocator of a target for a permit to send one request there. */
export interface PermitRequest extends AllocationRequest {
  readonly target: string;
  /** The limit as the asking box knows it, in requests a second. */
  readonly perSecond: number;
  /** Longest time that the request may wait for its permit. */
  readonly withinMs: Milliseconds;
}

export interface PermitGrant extends AllocationGrant {
  readonly granted: boolean;
  /** Time until the permit; where none was granted, until one will be there for all who were refused before as well. */
  readonly waitMs: Milliseconds;
}
