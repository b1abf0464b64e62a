/** Turns a refusal into the answer that a caller gets. */
import type { CallerResponse, HeaderMap } from "@linkfall/ports";
import type { Milliseconds, Outcome, Refusal, RefusalCode } from "@linkfall/types";

const millisecondsPerSecond = 1000;

/** HTTP status of each code. */
export const statusByCode: Readonly<Record<RefusalCode, number>> = {
  bad_request: 400,
  body_too_large: 413,
  unauthenticated: 401,
  unknown_model: 404,
  unknown_service: 404,
  unknown_path: 404,
  rate_limited: 429,
  deadline_unreachable: 503,
  deadline_passed: 504,
  no_replica: 503,
  overloaded: 503,
  not_ready: 503,
  isolated: 503,
  ticket_required: 428,
  ticket_invalid: 400,
  ticket_expired: 410,
  owner_gone: 502,
  once_memory_full: 503,
  retry_budget: 503,
  target_refused: 502,
  target_lost: 502,
  answer_not_kept: 410,
  held_back: 503,
};

/** A request that truly did not run. */
export function notRun(code: RefusalCode, reason: string, retryAfterMs?: Milliseconds): Refusal {
  return { outcome: "not_run", code, reason, retryAfterMs };
}

/** A request that was started and did not come to its end. */
export function failed(code: RefusalCode, reason: string, retryAfterMs?: Milliseconds): Refusal {
  return { outcome: "failed", code, reason, retryAfterMs };
}

/** A request that may have run. */
export function outcomeUnknown(code: RefusalCode, reason: string): Refusal {
  return { outcome: "outcome_unknown", code, reason };
}

/** The body of a refusal: `{"error": {outcome, code, reason, retry_after_ms?}}`. */
export function refusalBody(refusal: Refusal): string {
  const { outcome, code, reason, retryAfterMs } = refusal;
  return JSON.stringify({ error: { outcome, code, reason, retry_after_ms: retryAfterMs } });
}

/** The whole answer of a refusal. */
export function refusalResponse(refusal: Refusal): CallerResponse {
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "linkfall-outcome": refusal.outcome,
  };
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(refusal.retryAfterMs / millisecondsPerSecond));
    headers["retry-after"] = String(seconds);
  }
  const body = Buffer.from(`${refusalBody(refusal)}\n`);
  return { status: statusByCode[refusal.code], headers, body };
}

/** A whole JSON answer. */
export function jsonResponse(value: unknown, headers: HeaderMap = {}): CallerResponse {
  return {
    status: 200,
    headers: { "content-type": "application/json", "linkfall-outcome": "answered", ...headers },
    body: Buffer.from(`${JSON.stringify(value)}\n`),
  };
}

/** The outcome that an answer names; a stream that has begun counts as answered until it is cut. */
export function outcomeOf(response: CallerResponse): Outcome {
  return (response.headers["linkfall-outcome"] as Outcome | undefined) ?? "answered";
}
