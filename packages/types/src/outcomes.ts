/** Outcomes of a caller's request and the reasons for which it is refused. */
import type { Milliseconds } from "./identifiers.js";

/**
 * - `answered`: the complete response was passed on.
 * - `not_run`: no target has started the request, and none will.
 * - `failed`: a target started the request and did not complete it.
 * - `outcome_unknown`: the request may have run; repeating it may run it twice.
 */
export const outcomes = ["answered", "not_run", "failed", "outcome_unknown"] as const;
export type Outcome = (typeof outcomes)[number];

/** Reason for a refusal. Each code has a row in docs/operators/refusals.md. */
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

/** Error that a caller receives in place of a complete response. */
export interface Refusal {
  readonly outcome: Exclude<Outcome, "answered">;
  readonly code: RefusalCode;
  readonly reason: string;
  /** Delay after which a retry may succeed; absent if a retry cannot help. */
  readonly retryAfterMs?: Milliseconds;
}
