/**
 * Limits of client accounts over all boxes together, as one box keeps them: it takes units from what it has at
 * hand, and obtains more from the account's allocator.
 */
import type { Clock } from "@linkfall/kernel";
import type { ClientAccount, Milliseconds } from "@linkfall/types";
import type { QuotaRequest, QuotaGrant } from "./messages.js";
import { createQuotaSource, type QuotaPeers, type QuotaTolerance } from "./quota-source.js";
import {
  addUnits,
  createLocalBudget,
  recordRefusal,
  recordDemand,
  type LocalBudget,
  cachedRetryAfterMs,
  needsRefill,
  takeUnits,
  prefetchUnits,
} from "./stock.js";

export type QuotaDecision =
  | { readonly kind: "admitted" }
  /** The limit is used up until then. */
  | { readonly kind: "refused"; readonly retryAfterMs: Milliseconds };

/** What a request counts, and under which configuration. */
export interface QuotaCharge {
  readonly account: ClientAccount;
  readonly units: number;
  readonly version: number;
}

export interface AccountQuota {
  /** Decides on a request, at once or after one call to another box. */
  admit(use: QuotaCharge): Promise<QuotaDecision>;
  /** Gives back what was taken for a request that did not run. */
  refund(use: QuotaCharge): void;
  /** Takes what ran beside what was admitted, such as a repeated send. */
  chargeExtra(use: QuotaCharge): void;
  /** Allocates for another box that has asked. */
  allocate(ask: QuotaRequest): Promise<QuotaGrant>;
}

const admitted: QuotaDecision = { kind: "admitted" };

function toAsk({ account, version }: QuotaCharge, needed: number, ahead: number): QuotaRequest {
  const { perSecond = 0, burst = 0 } = account.limit ?? {};
  return { account: account.name, version, rate: { perSecond, burst }, needed, ahead };
}

/** Creates the limits of one box. */
export function createAccountQuota(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): AccountQuota {
  const stocks = new Map<string, LocalBudget>();
  const source = createQuotaSource(clock, peers, tolerance);

  const stockOf = (account: string): LocalBudget => {
    const known = stocks.get(account);
    if (known) return known;
    const created = createLocalBudget(clock.now());
    stocks.set(account, created);
    return created;
  };

  const refill = async (use: QuotaCharge, stock: LocalBudget): Promise<void> => {
    stock.refilling = true;
    const { granted } = await source.acquire(toAsk(use, 0, prefetchUnits(stock, use.units)));
    stock.refilling = false;
    if (granted > 0) addUnits(stock, granted, clock.now());
  };

  const askFor = async (use: QuotaCharge, stock: LocalBudget): Promise<QuotaDecision> => {
    const owed = Math.max(0, -stock.units);
    stock.units += owed;
    const needed = use.units + owed;
    const grant = await source.acquire(toAsk(use, needed, prefetchUnits(stock, use.units)));
    const now = clock.now();
    if (grant.granted >= needed) {
      addUnits(stock, grant.granted - needed, now);
      return admitted;
    }
    stock.units -= owed;
    recordRefusal(stock, use.units, grant.waitMs, now);
    return { kind: "refused", retryAfterMs: grant.waitMs };
  };

  return {
    async admit(use) {
      const { account, units } = use;
      if (!account.limit) return admitted;
      const now = clock.now();
      const stock = stockOf(account.name);
      recordDemand(stock, units, now);
      if (takeUnits(stock, units, now)) {
        if (needsRefill(stock, units)) void refill(use, stock);
        return admitted;
      }
      const retryAfterMs = cachedRetryAfterMs(stock, units, account.limit.perSecond, now);
      if (retryAfterMs !== undefined) return { kind: "refused", retryAfterMs };
      return askFor(use, stock);
    },
    refund({ account, units }) {
      if (account.limit) addUnits(stockOf(account.name), units, clock.now());
    },
    chargeExtra({ account, units }) {
      if (account.limit) stockOf(account.name).units -= units;
    },
    allocate: source.allocate,
  };
}
