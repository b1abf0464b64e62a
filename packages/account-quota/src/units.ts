/** Computes how many units a request is charged against the limit of its account. */
import type { AccountLimit, RequestMetadata } from "@linkfall/types";

/** Returns 1 for a limit in requests, and prompt plus maximum output tokens for a limit in tokens. */
export function unitsOf(limit: AccountLimit, terms: RequestMetadata): number {
  if (limit.unit === "requests") return 1;
  if (!terms.tokensDeclared) return limit.defaultTokens;
  return terms.promptTokens + terms.maxOutputTokens;
}
