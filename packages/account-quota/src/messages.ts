/** What boxes say to each other of the limits of client accounts. */
import type { AllocationRequest, AllocationGrant } from "@linkfall/allocation";
import type { Milliseconds } from "@linkfall/types";

/** How fast an account's allowance grows, in the unit of its limit. */
export interface QuotaRate {
  /** Units a second. */
  readonly perSecond: number;
  /** Most units that may be saved up. */
  readonly burst: number;
}

/** A box asks the allocator of an account for a part of its limit. */
export interface QuotaRequest extends AllocationRequest {
  readonly account: string;
  /** The limit as the asking box has it, and the version of that configuration. */
  readonly rate: QuotaRate;
  readonly version: number;
  /** Units for a request that waits for the answer; 0 where none does. */
  readonly needed: number;
  /** Units that the box would like to have at hand for the requests that come next. */
  readonly ahead: number;
}

/** The allocator's answer. */
export interface QuotaGrant extends AllocationGrant {
  /** Units that the box may let through; covers `needed` or is 0 where that was more than 0. */
  readonly granted: number;
  /** Time until `needed` will be there, for all who were refused before as well; 0 where it was granted. */
  readonly waitMs: Milliseconds;
}
