/** The closed set of outcomes of a caller's request. */
import type { Milliseconds } from "./identifiers.js";

/**
 * - `answered`: the whole answer was passed on.
 * - `not_run`: no target has started it, and none will.
 * - `failed`: a target started it and it did not come to its end.
 * - `outcome_unknown`: it may have run; it must not be repeated blindly.
 */
export const outcomes = ["answered", "not_run", "failed", "outcome_unknown"] as const;
export type Outcome = (typeof outcomes)[number];

/** Why a request was given up on. Each code has a row in docs/operators/refusals.md. */
export const refusalCodes = [
  "bad_request",
  "body_too_large",
  "unauthenticated",
  "unknown_model",
  "unknown_service",
  "unknown_path",
  "rate_limited",
  "deadline_unreachable",
  "deadline_passed",
  "no_replica",
  "overloaded",
  "not_ready",
  "isolated",
  "ticket_required",
  "ticket_invalid",
  "ticket_expired",
  "owner_gone",
  "once_memory_full",
  "retry_budget",
  "target_refused",
  "target_lost",
  "answer_not_kept",
  "held_back",
] as const;
export type RefusalCode = (typeof refusalCodes)[number];

/** What a caller is told when it does not get a whole answer. */
export interface Refusal {
  readonly outcome: Exclude<Outcome, "answered">;
  readonly code: RefusalCode;
  readonly reason: string;
  /** When to come back; absent where coming back cannot help. */
  readonly retryAfterMs?: Milliseconds;
}
