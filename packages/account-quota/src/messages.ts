/** Messages between boxes about the limits of client accounts. */
import type { AllocationGrant, AllocationRequest } from "@linkfall/allocation";
import type { Milliseconds } from "@linkfall/types";

/** The rate at which an account's bucket is refilled, in the unit of its limit. */
export interface QuotaRate {
  /** Units per second. */
  readonly perSecond: number;
  /** Capacity of the bucket, in units. */
  readonly burst: number;
}

/** Requests units of an account from its allocator. */
export interface QuotaRequest extends AllocationRequest {
  readonly account: string;
  /** The limit in the sender's configuration. */
  readonly rate: QuotaRate;
  /** Version of the sender's configuration. */
  readonly version: number;
  /** Units for a request that waits for the grant; 0 for a prefetch. */
  readonly needed: number;
  /** Additional units that the sender would prefetch for upcoming requests. */
  readonly ahead: number;
}

/** The allocator's response. */
export interface QuotaGrant extends AllocationGrant {
  /** Units granted: at least `needed`, or 0 if a positive `needed` was refused. */
  readonly granted: number;
  /** Time until `needed` is available behind earlier refused requests; 0 if granted. */
  readonly waitMs: Milliseconds;
}
