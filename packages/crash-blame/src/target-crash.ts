/** The path of the operator API, and the record that a box keeps of a crashed target. */
import type { Fingerprint, Milliseconds } from "@linkfall/types";
import type { SharedTrait } from "./shared-trait.js";

/** Operator API: GET lists what is held back, DELETE with the query parameter `request` releases one entry. */
export const heldRequestsPath = "/v1/held-requests";

/** Something that lost requests of a crash had in common with other requests. */
export interface SharedInCrash extends SharedTrait {
  /** Time since the response to a request with it had begun; the shortest one, 0 if one had not begun. */
  readonly writingMs: Milliseconds;
}

/** The crash of a target while it was running requests. */
export interface TargetCrash {
  readonly target: string;
  readonly service: string;
  /** By this box's clock. */
  readonly at: Milliseconds;
  /** Requests that were running on the target, as reported by boxes so far. */
  readonly requests: ReadonlySet<Fingerprint>;
  /** What these requests share with others. */
  readonly shared: ReadonlyMap<Fingerprint, SharedInCrash>;
  /** Targets of the service that were running requests; undefined from boxes that don't count them. */
  readonly targetsInUse?: number;
}

/** Whether a request with the suspect was running on the target. */
export function hasSuspect({ requests, shared }: TargetCrash, suspect: Fingerprint): boolean {
  return requests.has(suspect) || shared.has(suspect);
}
