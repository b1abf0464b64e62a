/** Messages between boxes about permits for rate-limited targets. */
import type { AllocationGrant, AllocationRequest } from "@linkfall/allocation";
import type { Milliseconds } from "@linkfall/types";

/** Operator API: GET lists the targets that are currently limited. */
export const limitedTargetsPath = "/v1/limited-targets";

/** Requests a permit to send one request to a target. */
export interface PermitRequest extends AllocationRequest {
  readonly target: string;
  /** The target's limit as known to the sender, in requests per second. */
  readonly perSecond: number;
  /** Maximum time that the request may wait for its permit. */
  readonly withinMs: Milliseconds;
}

export interface PermitGrant extends AllocationGrant {
  readonly granted: boolean;
  /** Time until the permit is valid; if refused, time until a permit is free behind earlier refused requests. */
  readonly waitMs: Milliseconds;
}
