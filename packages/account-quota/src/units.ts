/** What a request counts against the limit of its account. */
import type { AccountLimit, RequestMetadata } from "@linkfall/types";

/** Units of a request: one, or its tokens, read and made. */
export function unitsOf(limit: AccountLimit, terms: RequestMetadata): number {
  if (limit.unit === "requests") return 1;
  if (!terms.tokensDeclared) return limit.defaultTokens;
  return terms.promptTokens + terms.maxOutputTokens;
}
