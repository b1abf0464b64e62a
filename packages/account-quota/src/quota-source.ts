/** Where a box gets units from: the account's allocator, the next in rank, or its own part. */
import {
  type Allocation,
  type AllocationPeers,
  type Allocators,
  createAllocation,
} from "@linkfall/allocation";
import type { Clock } from "@linkfall/kernel";
import { type AllottedUnits, createAllotments } from "./allotments.js";
import { createQuotaAllocator } from "./allocator.js";
import type { QuotaAsk, QuotaGrant, QuotaRate } from "./messages.js";

/** What may be let through beyond the limit in one window, over all boxes. */
export interface QuotaTolerance {
  readonly windowSeconds: number;
  /** Share of the limit. */
  readonly overage: number;
  /** Units beside that share. */
  readonly slack: number;
}

/** The other boxes, as far as the limits need them. */
export interface QuotaPeers extends AllocationPeers<QuotaAsk, QuotaGrant> {
  /** Part of each limit that is this box's own while it is cut off. */
  ownPart(): number;
  /** Parts of the boxes that are silent, and may be serving callers by their own parts. */
  silentPart(): number;
  /** Hears of each decision that this box has taken alone, on a part of an account's limit. */
  onAlone?(account: string, granted: number, part: number): void;
  /** Hears, each second at most, what this box has allotted of an account's limit that runs short. */
  onShort?(allotted: AllottedUnits): void;
}

export type QuotaSource = Allocation<QuotaAsk, QuotaGrant>;

/**
 * Part of the tolerance that a new allocator starts with: the one before it, units at hand at the boxes, and boxes
 * that do not know yet that they are cut off share the rest.
 */
const firstShare = 0.22;

/** However many boxes are silent, this part of a limit is left to those that are not. */
const leastConnectedPart = 0.5;

const declined: QuotaGrant = { granted: 0, waitMs: 0, declined: true };

function toleranceOf(rate: QuotaRate, tolerance: QuotaTolerance): number {
  const limit = rate.perSecond * tolerance.windowSeconds + rate.burst;
  return limit * tolerance.overage + tolerance.slack;
}

function partOfRate({ perSecond, burst }: QuotaRate, part: number): QuotaRate {
  return { perSecond: perSecond * part, burst: burst * part };
}

function createAllocators(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): Allocators<QuotaAsk, QuotaGrant> {
  const firstLevel = (rate: QuotaRate) => toleranceOf(rate, tolerance) * firstShare;
  const shared = createQuotaAllocator(clock, firstLevel);
  /** Used while this box is cut off; its rates are a part of the limits. */
  const alone = createQuotaAllocator(clock, (rate) => rate.burst);
  const allotments = createAllotments(clock, (allotted) => peers.onShort?.(allotted));

  return {
    alone(ask) {
      // The burst itself may have been used by the box that allocated until now.
      const whole = { perSecond: ask.rate.perSecond, burst: firstLevel(ask.rate) };
      const part = peers.ownPart();
      const grant = alone.grant({ ...ask, ahead: 0, rate: partOfRate(whole, part) });
      peers.onAlone?.(ask.account, grant.granted, part);
      return grant;
    },
    // Boxes that are silent may serve callers by their own parts, so that these are not to be had here.
    shared(ask) {
      const part = Math.max(leastConnectedPart, 1 - peers.silentPart());
      const grant = shared.grant({ ...ask, rate: partOfRate(ask.rate, part) });
      allotments.note(ask.account, grant, part);
      return grant;
    },
    // What this box knows of before it was cut off says little afterwards.
    onReconnected: () => shared.restart(),
    declined,
  };
}

/** Creates the source of one box. */
export function createQuotaSource(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): QuotaSource {
  const allocators = createAllocators(clock, peers, tolerance);
  return createAllocation(clock, peers, allocators, ({ account }) => account);
}
