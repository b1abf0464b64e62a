/** What a request counts against the limit of its account. */
import type { AccountLimit, RequestTerms } from "@linkfall/types";

/** Units of a request: one, or its tokens, read and made. */
export function unitsOf(limit: AccountLimit, terms: RequestTerms): number {
  if (limit.unit === "requests") return 1;
  if (!terms.tokensTold) return limit.plainTokens;
  return terms.promptTokens + terms.maxOutputTokens;
}
