/** Summarizes the grants of an allocator for accounts with refused requests, so that excess usage can be traced in logs. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { QuotaGrant } from "./messages.js";

/** Grants and refusals of one account since its previous summary. */
export interface GrantSummary {
  readonly account: string;
  /** Units granted. */
  readonly units: number;
  readonly grants: number;
  readonly refusals: number;
  /** Fraction of the limit that is available to connected boxes. */
  readonly part: number;
}

export interface GrantSummaries {
  record(account: string, grant: QuotaGrant, part: number): void;
}

const summaryIntervalMs: Milliseconds = 1_000;
/** All summaries are discarded when this number of accounts is reached. */
const maxAccounts = 1_000;

interface Totals {
  readonly since: Milliseconds;
  units: number;
  grants: number;
  refusals: number;
}

/** Calls `onSummary` at most once per second and account, and only if a request of the account was refused. */
export function createGrantSummaries(
  clock: Clock,
  onSummary: (summary: GrantSummary) => void,
): GrantSummaries {
  const totalsByAccount = new Map<string, Totals>();
  const totalsOf = (account: string): Totals => {
    const existing = totalsByAccount.get(account);
    if (existing) return existing;
    if (totalsByAccount.size >= maxAccounts) totalsByAccount.clear();
    const created = { since: clock.now(), units: 0, grants: 0, refusals: 0 };
    totalsByAccount.set(account, created);
    return created;
  };
  return {
    record(account, { granted }, part) {
      const totals = totalsOf(account);
      totals.units += granted;
      if (granted > 0) totals.grants += 1;
      else totals.refusals += 1;
      if (clock.now() - totals.since < summaryIntervalMs) return;
      totalsByAccount.delete(account);
      const { units, grants, refusals } = totals;
      if (refusals > 0) onSummary({ account, units, grants, refusals, part });
    },
  };
}
