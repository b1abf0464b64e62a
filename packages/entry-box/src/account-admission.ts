/** Takes a request from the limit of its account, and settles it when the request has its end. */
import { type AccountQuota, type QuotaCharge, unitsOf } from "@linkfall/account-quota";
import type { ForwardedRequest, RequestOutcome } from "@linkfall/forwarding";
import type { ClientAccount, Milliseconds, RequestMetadata } from "@linkfall/types";

export type AccountAdmission =
  /** `use` is what was taken; absent where no limit holds. */
  | { readonly kind: "admitted"; readonly use?: QuotaCharge }
  | { readonly kind: "refused"; readonly retryAfterMs: Milliseconds };

/** @param version version of the configuration that the account was read from */
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

/** Gives back what did not run, and takes what ran more than once. */
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
