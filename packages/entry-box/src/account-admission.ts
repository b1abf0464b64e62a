/** Charges requests to the limit of their client account and settles the charge when they end. */
import { type AccountQuota, type QuotaUse, unitsOf } from "@linkfall/account-quota";
import type { ForwardedRequest, RequestEnd } from "@linkfall/forwarding";
import type { ClientAccount, Milliseconds, RequestTerms } from "@linkfall/types";

/** Result of charging a request to its account. */
export type AccountAdmission =
  /** `use` is what was charged; absent if the account has no limit. */
  | { readonly kind: "admitted"; readonly use?: QuotaUse }
  | { readonly kind: "refused"; readonly retryAfterMs: Milliseconds };

/**
 * Charges a request to its account's limit.
 *
 * @param version version of the configuration that defines the account
 */
export async function admitToQuota(
  quota: AccountQuota,
  account: ClientAccount | undefined,
  terms: RequestTerms,
  version: number,
): Promise<AccountAdmission> {
  if (!account?.limit) return { kind: "admitted" };
  const use = { account, units: unitsOf(account.limit, terms), version };
  const decision = await quota.admit(use);
  return decision.kind === "admitted" ? { kind: "admitted", use } : decision;
}

/** Refunds a request that never ran and charges repeated runs. */
export function settleQuota(
  quota: AccountQuota,
  use: QuotaUse | undefined,
  { runs, sends, unwritten }: ForwardedRequest,
  end: RequestEnd,
): void {
  if (!use) return;
  const neverRan = runs === 0 && (end.outcome === "refused" || sends === unwritten);
  if (neverRan) return quota.giveBack(use);
  if (runs > 1) quota.ranToo({ ...use, units: use.units * (runs - 1) });
}
