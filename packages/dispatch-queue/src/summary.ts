/** What logs and metrics show of a dispatcher. */
import type { FairQueue } from "./fair-queue.js";
import type { ServiceTargets } from "./service-capacity.js";
import type { DispatchSummary, RejectionReason } from "./types.js";

/** Labels of accounts in metrics. */
const maxAccounts = 64;

export function summarize(
  queue: FairQueue,
  targets: ServiceTargets,
  inFlight: number,
  { granted, expired }: { granted: number; expired: number },
  rejected: Readonly<Record<RejectionReason, number>>,
): DispatchSummary {
  const accounts = [...queue.accounts()]
    .filter(({ name }) => name !== "")
    .sort((a, b) => b.granted + b.rejected - a.granted - a.rejected)
    .slice(0, maxAccounts)
    .map((account) => ({
      account: account.name,
      waiting: account.waiting,
      inFlight: account.inFlight,
      granted: account.granted,
      rejected: account.rejected,
    }));
  const summaries = [...targets.all()].map((target) => ({
    target: target.name,
    inFlight: target.places.size,
    limit: Math.floor(targets.limit(target, targets.profile(target, target.lastKind))),
  }));
  return {
    waiting: queue.size(),
    inFlight,
    granted,
    expired,
    rejected: { ...rejected },
    accounts,
    targets: summaries,
  };
}
