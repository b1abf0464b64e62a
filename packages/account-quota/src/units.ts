/** Computes how many units a request is charged against the limit of its account. */
import type { AccountLimit, RequestTerms } from "@linkfall/types";

/** Returns 1 for a limit in requests, and prompt plus maximum output tokens for a limit in tokens. */
export function unitsOf(limit: AccountLimit, terms: RequestTerms): number {
  if (limit.unit === "requests") return 1;
  if (!terms.tokensTold) return limit.plainTokens;
  return terms.promptTokens + terms.maxOutputTokens;
}
