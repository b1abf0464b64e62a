/** Where a box gets units from: the account's allocator, the next in rank, or its own part. */
import {
  type DistributedAllocator,
  type AllocationPeers,
  type LocalAllocator,
  createDistributedAllocator,
} from "@linkfall/allocation";
import type { Clock } from "@linkfall/kernel";
import { type GrantSummary, createGrantSummaries } from "./allotments.js";
import { createQuotaAllocator } from "./allocator.js";
import type { QuotaRequest, QuotaGrant, QuotaRate } from "./messages.js";

/** What may be let through beyond the limit in one window, over all boxes. */
export interface QuotaTolerance {
  readonly windowSeconds: number;
  /** Share of the limit. */
  readonly overage: number;
  /** Units beside that share. */
  readonly slack: number;
}

/** The other boxes, as far as the limits need them. */
export interface QuotaPeers extends AllocationPeers<QuotaRequest, QuotaGrant> {
  /** Part of each limit that is this box's own while it is cut off. */
  ownShare(): number;
  /** Parts of the boxes that are silent, and may be serving callers by their own parts. */
  silentShare(): number;
  /** Hears of each decision that this box has taken alone, on a part of an account's limit. */
  onIsolatedDecision?(account: string, granted: number, part: number): void;
  /** Hears, each second at most, what this box has allotted of an account's limit that runs short. */
  onExhausted?(allotted: GrantSummary): void;
}

export type QuotaSource = DistributedAllocator<QuotaRequest, QuotaGrant>;

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
): LocalAllocator<QuotaRequest, QuotaGrant> {
  const firstLevel = (rate: QuotaRate) => toleranceOf(rate, tolerance) * firstShare;
  const shared = createQuotaAllocator(clock, firstLevel);
  /** Used while this box is cut off; its rates are a part of the limits. */
  const alone = createQuotaAllocator(clock, (rate) => rate.burst);
  const allotments = createGrantSummaries(clock, (allotted) => peers.onExhausted?.(allotted));

  return {
    grantIsolated(ask) {
      // The burst itself may have been used by the box that allocated until now.
      const whole = { perSecond: ask.rate.perSecond, burst: firstLevel(ask.rate) };
      const part = peers.ownShare();
      const grant = alone.grant({ ...ask, ahead: 0, rate: partOfRate(whole, part) });
      peers.onIsolatedDecision?.(ask.account, grant.granted, part);
      return grant;
    },
    // Boxes that are silent may serve callers by their own parts, so that these are not to be had here.
    grantShared(ask) {
      const part = Math.max(leastConnectedPart, 1 - peers.silentShare());
      const grant = shared.grant({ ...ask, rate: partOfRate(ask.rate, part) });
      allotments.record(ask.account, grant, part);
      return grant;
    },
    // What this box knows of before it was cut off says little afterwards.
    onReconnected: () => shared.reset(),
    declinedGrant: declined,
  };
}

/** Creates the source of one box. */
export function createQuotaSource(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): QuotaSource {
  const allocators = createAllocators(clock, peers, tolerance);
  return createDistributedAllocator(clock, peers, allocators, ({ account }) => account);
}
