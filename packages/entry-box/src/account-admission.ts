/** Charges requests to the limit of their client account and settles the charge when they end. */
import { type AccountQuota, type QuotaCharge, unitsOf } from "@linkfall/account-quota";
import type { ForwardedRequest, RequestOutcome } from "@linkfall/forwarding";
import type { ClientAccount, Milliseconds, RequestMetadata } from "@linkfall/types";

/** Result of charging a request to its account. */
export type AccountAdmission =
  /** `use` is what was charged; absent if the account has no limit. */
  | { readonly kind: "admitted"; readonly use?: QuotaCharge }
  | { readonly kind: "refused"; readonly retryAfterMs: Milliseconds };

/**
 * Charges a request to its account's limit.
 *
 * @param version version of the configuration that defines the account
 */
export async function admitToQuota(
  quota: AccountQuota,
  account: ClientAccount | undefined,
  terms: RequestMetadata,
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
  use: QuotaCharge | undefined,
  { possibleRuns: runs, sends, unwrittenSends: unwritten }: ForwardedRequest,
  end: RequestOutcome,
): void {
  if (!use) return;
  const neverRan = runs === 0 && (end.outcome === "refused" || sends === unwritten);
  if (neverRan) return quota.refund(use);
  if (runs > 1) quota.chargeExtra({ ...use, units: use.units * (runs - 1) });
}
