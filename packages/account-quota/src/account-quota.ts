/**
 * Enforces the rate limits of client accounts on one box. Requests are admitted from units that the box has
 * obtained in advance; when these run out, it requests more from the account's allocator.
 */
import type { Clock } from "@linkfall/kernel";
import type { ClientAccount, Milliseconds } from "@linkfall/types";
import {
  addUnits,
  cachedRetryAfterMs,
  createLocalBudget,
  type LocalBudget,
  needsRefill,
  prefetchUnits,
  recordDemand,
  recordRefusal,
  takeUnits,
} from "./local-budget.js";
import type { QuotaGrant, QuotaRequest } from "./messages.js";
import { createQuotaSource, type QuotaPeers, type QuotaTolerance } from "./quota-source.js";

export type QuotaDecision =
  | { readonly kind: "admitted" }
  /** The limit is exhausted; retry after the given time. */
  | { readonly kind: "refused"; readonly retryAfterMs: Milliseconds };

/** The units that a request is charged, and the configuration version that sets the limit. */
export interface QuotaCharge {
  readonly account: ClientAccount;
  readonly units: number;
  readonly version: number;
}

export interface AccountQuota {
  /** Admits or refuses a request, either locally or after a call to another box. */
  admit(charge: QuotaCharge): Promise<QuotaDecision>;
  /** Returns the units of an admitted request that was not executed. */
  refund(charge: QuotaCharge): void;
  /** Charges execution beyond what was admitted, such as a retry. The local budget may become negative. */
  chargeExtra(charge: QuotaCharge): void;
  /** Handles an allocation request from another box. */
  allocate(request: QuotaRequest): Promise<QuotaGrant>;
}

const admitted: QuotaDecision = { kind: "admitted" };

function toRequest({ account, version }: QuotaCharge, needed: number, ahead: number): QuotaRequest {
  const { perSecond = 0, burst = 0 } = account.limit ?? {};
  return { account: account.name, version, rate: { perSecond, burst }, needed, ahead };
}

/** Creates the quota enforcement of one box. */
export function createAccountQuota(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): AccountQuota {
  const budgets = new Map<string, LocalBudget>();
  const source = createQuotaSource(clock, peers, tolerance);

  const budgetOf = (account: string): LocalBudget => {
    const existing = budgets.get(account);
    if (existing) return existing;
    const created = createLocalBudget(clock.now());
    budgets.set(account, created);
    return created;
  };

  const refill = async (charge: QuotaCharge, budget: LocalBudget): Promise<void> => {
    budget.refilling = true;
    const { granted } = await source.acquire(
      toRequest(charge, 0, prefetchUnits(budget, charge.units)),
    );
    budget.refilling = false;
    if (granted > 0) addUnits(budget, granted, clock.now());
  };

  const acquireUnits = async (charge: QuotaCharge, budget: LocalBudget): Promise<QuotaDecision> => {
    const debt = Math.max(0, -budget.units);
    budget.units += debt;
    const needed = charge.units + debt;
    const grant = await source.acquire(
      toRequest(charge, needed, prefetchUnits(budget, charge.units)),
    );
    const now = clock.now();
    if (grant.granted >= needed) {
      addUnits(budget, grant.granted - needed, now);
      return admitted;
    }
    budget.units -= debt;
    recordRefusal(budget, charge.units, grant.waitMs, now);
    return { kind: "refused", retryAfterMs: grant.waitMs };
  };

  return {
    async admit(charge) {
      const { account, units } = charge;
      if (!account.limit) return admitted;
      const now = clock.now();
      const budget = budgetOf(account.name);
      recordDemand(budget, units, now);
      if (takeUnits(budget, units, now)) {
        if (needsRefill(budget, units)) void refill(charge, budget);
        return admitted;
      }
      const retryAfterMs = cachedRetryAfterMs(budget, units, account.limit.perSecond, now);
      if (retryAfterMs !== undefined) return { kind: "refused", retryAfterMs };
      return acquireUnits(charge, budget);
    },
    refund({ account, units }) {
      if (account.limit) addUnits(budgetOf(account.name), units, clock.now());
    },
    chargeExtra({ account, units }) {
      if (account.limit) budgetOf(account.name).units -= units;
    },
    allocate: source.allocate,
  };
}
