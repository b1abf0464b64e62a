/** Sums what an allocator hands out of limits that run short, so that a limit that was exceeded can be traced from logs. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { QuotaGrant } from "./messages.js";

/** What was handed out of one account's limit since the word before. */
export interface GrantSummary {
  readonly account: string;
  readonly units: number;
  readonly grants: number;
  readonly refusals: number;
  /** Part of the limit that boxes that are not silent may have. */
  readonly part: number;
}

export interface GrantSummaries {
  record(account: string, grant: QuotaGrant, part: number): void;
}

/** An account is told of this often while requests of it are refused. */
const tellEveryMs: Milliseconds = 1_000;
/** Accounts that are summed; others begin anew. */
const mostAccounts = 1_000;

interface Sum {
  readonly since: Milliseconds;
  units: number;
  grants: number;
  refusals: number;
}

/** Creates sums of nothing; `tell` hears of each second in which an account was refused. */
export function createGrantSummaries(
  clock: Clock,
  tell: (allotted: GrantSummary) => void,
): GrantSummaries {
  const sums = new Map<string, Sum>();
  const sumOf = (account: string): Sum => {
    const known = sums.get(account);
    if (known) return known;
    if (sums.size >= mostAccounts) sums.clear();
    const created = { since: clock.now(), units: 0, grants: 0, refusals: 0 };
    sums.set(account, created);
    return created;
  };
  return {
    record(account, { granted }, part) {
      const sum = sumOf(account);
      sum.units += granted;
      if (granted > 0) sum.grants += 1;
      else sum.refusals += 1;
      if (clock.now() - sum.since < tellEveryMs) return;
      sums.delete(account);
      const { units, grants, refusals } = sum;
      if (refusals > 0) tell({ account, units, grants, refusals, part });
    },
  };
}
