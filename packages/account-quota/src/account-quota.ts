/**
 * Limits of client accounts over all boxes together, as one box keeps them: it takes units from what it has at
 * hand, and asks the account's allocator for more.
 */
import type { PeerUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { ClientAccount, Milliseconds } from "@linkfall/types";
import type { Either } from "purify-ts";
import { createQuotaAllocator } from "./allocator.js";
import type { QuotaAsk, QuotaGrant, QuotaRate } from "./messages.js";
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

/** What may be let through beyond the limit in one window, over all boxes. */
export interface QuotaTolerance {
  readonly windowSeconds: number;
  /** Share of the limit. */
  readonly overage: number;
  /** Units beside that share. */
  readonly slack: number;
}

/** The other boxes, as far as the limits need them. */
export interface QuotaPeers {
  /** Addresses of the boxes that may allocate for an account, in the order in which they are asked. */
  allocators(account: string): readonly string[];
  /** Address of this box among them. */
  readonly self: string;
  /** Resolves with a failure where the box does not answer. */
  ask(address: string, ask: QuotaAsk): Promise<Either<PeerUnreachable, QuotaGrant>>;
  /** Whether this box belongs to the better part of all boxes, which allocates together. */
  connected(): boolean;
  /** Part of each limit that is this box's own while it is cut off. */
  ownPart(): number;
  /** Parts of the boxes that are silent, and may be serving callers by their own parts. */
  silentPart(): number;
  /** Hears that this box has decided alone on a part of an account's limit. */
  onAlone?(account: string): void;
}

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
  allocate(ask: QuotaAsk): QuotaGrant;
}

/** A box that does not answer within this time is passed over: a fraction of the shortest objectives. */
const answerMs: Milliseconds = 120;
/** A box that did not answer is not asked again for this long. */
const passOverMs: Milliseconds = 2_000;
/** Boxes that are asked for one request before this one decides alone. */
const mostAsked = 2;
/**
 * Part of the tolerance that a new allocator starts with: the one before it, units at hand at the boxes, and boxes
 * that do not know yet that they are cut off share the rest.
 */
const firstShare = 0.22;

/** However many boxes are silent, this part of a limit is left to those that are not. */
const leastConnectedPart = 0.5;

const declined: QuotaGrant = { granted: 0, waitMs: 0, declined: true };
const admitted: QuotaDecision = { kind: "admitted" };

function toleranceOf(rate: QuotaRate, tolerance: QuotaTolerance): number {
  const limit = rate.perSecond * tolerance.windowSeconds + rate.burst;
  return limit * tolerance.overage + tolerance.slack;
}

function partOfRate({ perSecond, burst }: QuotaRate, part: number): QuotaRate {
  return { perSecond: perSecond * part, burst: burst * part };
}

/** Resolves with undefined when the answer does not come in time. */
function within<T>(
  clock: Clock,
  limitMs: Milliseconds,
  answer: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const cancel = clock.after(limitMs, () => resolve(undefined));
    void answer.then((value) => {
      cancel();
      resolve(value);
    });
  });
}

/** Creates the limits of one box. */
export function createAccountQuota(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): AccountQuota {
  const stocks = new Map<string, QuotaStock>();
  const silentUntil = new Map<string, Milliseconds>();
  const firstLevel = (rate: QuotaRate) => toleranceOf(rate, tolerance) * firstShare;
  const shared = createQuotaAllocator(clock, firstLevel);
  /** Used while this box is cut off; its rates are a part of the limits. */
  const alone = createQuotaAllocator(clock, (rate) => rate.burst);
  let wasConnected = true;

  const stockOf = (account: string): QuotaStock => {
    const known = stocks.get(account);
    if (known) return known;
    const created = createStock(clock.now());
    stocks.set(account, created);
    return created;
  };

  const allocateAlone = (ask: QuotaAsk): QuotaGrant => {
    peers.onAlone?.(ask.account);
    // The burst itself may have been used by the box that allocated until now.
    const whole = { perSecond: ask.rate.perSecond, burst: firstLevel(ask.rate) };
    return alone.grant({ ...ask, ahead: 0, rate: partOfRate(whole, peers.ownPart()) });
  };

  /** Whether this box may allocate; what it knows of before it was cut off says little afterwards. */
  const isConnected = (): boolean => {
    const connected = peers.connected();
    if (connected && !wasConnected) shared.restart();
    wasConnected = connected;
    return connected;
  };

  /** Boxes that are silent may serve callers by their own parts, so that these are not to be had here. */
  const allocateShared = (ask: QuotaAsk): QuotaGrant => {
    const part = Math.max(leastConnectedPart, 1 - peers.silentPart());
    return shared.grant({ ...ask, rate: partOfRate(ask.rate, part) });
  };

  const askOther = async (address: string, ask: QuotaAsk): Promise<QuotaGrant | undefined> => {
    const answer = await within(clock, answerMs, peers.ask(address, ask));
    const grant = answer?.toMaybe().extract();
    if (!grant || grant.declined) silentUntil.set(address, clock.now() + passOverMs);
    return grant?.declined ? undefined : grant;
  };

  /** Asks the first allocator that answers; this box decides alone where none does. */
  const obtain = async (ask: QuotaAsk): Promise<QuotaGrant> => {
    if (!isConnected()) return allocateAlone(ask);
    const answering = peers
      .allocators(ask.account)
      .filter((address) => (silentUntil.get(address) ?? 0) <= clock.now());
    for (const address of answering.slice(0, mostAsked)) {
      if (address === peers.self) return allocateShared(ask);
      const grant = await askOther(address, ask);
      if (grant) return grant;
    }
    return allocateAlone(ask);
  };

  const toAsk = ({ account, version }: QuotaUse, needed: number, ahead: number): QuotaAsk => {
    const { perSecond = 0, burst = 0 } = account.limit ?? {};
    return { account: account.name, version, rate: { perSecond, burst }, needed, ahead };
  };

  const refill = async (use: QuotaUse, stock: QuotaStock): Promise<void> => {
    stock.refilling = true;
    const { granted } = await obtain(toAsk(use, 0, wantedAhead(stock, use.units)));
    stock.refilling = false;
    if (granted > 0) addTo(stock, granted, clock.now());
  };

  const askFor = async (use: QuotaUse, stock: QuotaStock): Promise<QuotaDecision> => {
    const owed = Math.max(0, -stock.units);
    stock.units += owed;
    const needed = use.units + owed;
    const grant = await obtain(toAsk(use, needed, wantedAhead(stock, use.units)));
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
    allocate: (ask) => (isConnected() ? allocateShared(ask) : declined),
  };
}
