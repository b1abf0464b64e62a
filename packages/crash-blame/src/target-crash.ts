/** What one box keeps of targets that ended, and where operators ask for what is held back. */
import type { Fingerprint, Milliseconds } from "@linkfall/types";

/** Where a box answers operators: GET lists what is held back, DELETE with `request` in the query releases one. */
export const heldRequestsPath = "/v1/held-requests";

/** A target ended while it ran requests. */
export interface TargetEnd {
  readonly target: string;
  readonly service: string;
  /** By this box's clock. */
  readonly at: Milliseconds;
  /** What it ran then, as far as boxes have told. */
  readonly requests: ReadonlySet<Fingerprint>;
}
