/**
 * Limits of client accounts over all boxes together, as one box keeps them: it takes units from what it has at
 * hand, and obtains more from the account's allocator.
 */
import type { Clock } from "@linkfall/kernel";
import type { ClientAccount, Milliseconds } from "@linkfall/types";
import type { QuotaAsk, QuotaGrant } from "./messages.js";
import { createQuotaSource, type QuotaPeers, type QuotaTolerance } from "./quota-source.js";
import {
  addTo,
  createStock,
  noteRefusal,
  noteUse,
  type QuotaStock,
  refusedForMs,
  runsLow,
  takeFrom,
  wantedAhead,
} from "./stock.js";

export type QuotaDecision =
  | { readonly kind: "admitted" }
  /** The limit is used up until then. */
  | { readonly kind: "refused"; readonly retryAfterMs: Milliseconds };

/** What a request counts, and under which configuration. */
export interface QuotaUse {
  readonly account: ClientAccount;
  readonly units: number;
  readonly version: number;
}

export interface AccountQuota {
  /** Decides on a request, at once or after one call to another box. */
  admit(use: QuotaUse): Promise<QuotaDecision>;
  /** Gives back what was taken for a request that did not run. */
  giveBack(use: QuotaUse): void;
  /** Takes what ran beside what was admitted, such as a repeated send. */
  ranToo(use: QuotaUse): void;
  /** Allocates for another box that has asked. */
  allocate(ask: QuotaAsk): Promise<QuotaGrant>;
}

const admitted: QuotaDecision = { kind: "admitted" };

function toAsk({ account, version }: QuotaUse, needed: number, ahead: number): QuotaAsk {
  const { perSecond = 0, burst = 0 } = account.limit ?? {};
  return { account: account.name, version, rate: { perSecond, burst }, needed, ahead };
}

/** Creates the limits of one box. */
export function createAccountQuota(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): AccountQuota {
  const stocks = new Map<string, QuotaStock>();
  const source = createQuotaSource(clock, peers, tolerance);

  const stockOf = (account: string): QuotaStock => {
    const known = stocks.get(account);
    if (known) return known;
    const created = createStock(clock.now());
    stocks.set(account, created);
    return created;
  };

  const refill = async (use: QuotaUse, stock: QuotaStock): Promise<void> => {
    stock.refilling = true;
    const { granted } = await source.obtain(toAsk(use, 0, wantedAhead(stock, use.units)));
    stock.refilling = false;
    if (granted > 0) addTo(stock, granted, clock.now());
  };

  const askFor = async (use: QuotaUse, stock: QuotaStock): Promise<QuotaDecision> => {
    const owed = Math.max(0, -stock.units);
    stock.units += owed;
    const needed = use.units + owed;
    const grant = await source.obtain(toAsk(use, needed, wantedAhead(stock, use.units)));
    const now = clock.now();
    if (grant.granted >= needed) {
      addTo(stock, grant.granted - needed, now);
      return admitted;
    }
    stock.units -= owed;
    noteRefusal(stock, use.units, grant.waitMs, now);
    return { kind: "refused", retryAfterMs: grant.waitMs };
  };

  return {
    async admit(use) {
      const { account, units } = use;
      if (!account.limit) return admitted;
      const now = clock.now();
      const stock = stockOf(account.name);
      noteUse(stock, units, now);
      if (takeFrom(stock, units, now)) {
        if (runsLow(stock, units)) void refill(use, stock);
        return admitted;
      }
      const retryAfterMs = refusedForMs(stock, units, account.limit.perSecond, now);
      if (retryAfterMs !== undefined) return { kind: "refused", retryAfterMs };
      return askFor(use, stock);
    },
    giveBack({ account, units }) {
      if (account.limit) addTo(stockOf(account.name), units, clock.now());
    },
    ranToo({ account, units }) {
      if (account.limit) stockOf(account.name).units -= units;
    },
    allocate: source.allocate,
  };
}
