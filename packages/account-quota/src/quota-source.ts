/** Obtains units for a box from the account's allocator, the next candidate, or the box's own share of the limit. */
import {
  type AllocationPeers,
  createDistributedAllocator,
  type DistributedAllocator,
  type LocalAllocator,
} from "@linkfall/allocation";
import type { Clock } from "@linkfall/kernel";
import { createGrantSummaries, type GrantSummary } from "./grant-summaries.js";
import type { QuotaGrant, QuotaRate, QuotaRequest } from "./messages.js";
import { createQuotaAllocator } from "./allocator.js";

/** How far all boxes together may exceed a limit within one window. */
export interface QuotaTolerance {
  readonly windowSeconds: number;
  /** Tolerated excess as a fraction of the limit. */
  readonly overage: number;
  /** Units tolerated in addition to `overage`. */
  readonly slack: number;
}

/** Access to the other boxes. */
export interface QuotaPeers extends AllocationPeers<QuotaRequest, QuotaGrant> {
  /** Fraction of each limit that this box may use while it is isolated. */
  ownShare(): number;
  /** Fraction of each limit that boxes without recent heartbeats may be using on their own. */
  silentShare(): number;
  /** Called for each decision that this box makes from its own share of an account's limit. */
  onIsolatedDecision?(account: string, granted: number, part: number): void;
  /** Called at most once per second with the grants of an account whose limit is exhausted. */
  onExhausted?(summary: GrantSummary): void;
}

export type QuotaSource = DistributedAllocator<QuotaRequest, QuotaGrant>;

/**
 * Fraction of the tolerance with which a new allocator starts. The rest covers the previous allocator, units
 * prefetched by boxes, and boxes that have not detected their isolation yet.
 */
const initialToleranceFraction = 0.22;

/**
 * Fraction of its share that an isolated box grants. Until its silence is noticed, the allocator still grants the whole
 * limit to the others; with whole shares, 26 of 74 boxes cut off from the rest exceeded the tolerance of a busy account.
 */
const isolatedShareFraction = 0.8;

/** Minimum fraction of a limit that remains for connected boxes, however many are silent. */
const minConnectedShare = 0.5;

const declinedGrant: QuotaGrant = { granted: 0, waitMs: 0, declined: true };

function toleratedUnits(rate: QuotaRate, tolerance: QuotaTolerance): number {
  const limit = rate.perSecond * tolerance.windowSeconds + rate.burst;
  return limit * tolerance.overage + tolerance.slack;
}

function scaleRate({ perSecond, burst }: QuotaRate, share: number): QuotaRate {
  return { perSecond: perSecond * share, burst: burst * share };
}

function createLocalAllocator(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): LocalAllocator<QuotaRequest, QuotaGrant> {
  const initialLevel = (rate: QuotaRate) =>
    toleratedUnits(rate, tolerance) * initialToleranceFraction;
  const shared = createQuotaAllocator(clock, initialLevel);
  /** Used while this box is isolated, with rates scaled to its own share. */
  const isolated = createQuotaAllocator(clock, (rate) => rate.burst);
  const summaries = createGrantSummaries(clock, (summary) => peers.onExhausted?.(summary));
  // Excludes the shares of silent boxes, which may be admitting requests on their own.
  const connectedShare = () => Math.max(minConnectedShare, 1 - peers.silentShare());

  return {
    grantIsolated(request) {
      // The full burst may already have been granted by the previous allocator.
      const rate = { perSecond: request.rate.perSecond, burst: initialLevel(request.rate) };
      const share = peers.ownShare() * isolatedShareFraction;
      const grant = isolated.grant({ ...request, ahead: 0, rate: scaleRate(rate, share) });
      peers.onIsolatedDecision?.(request.account, grant.granted, share);
      return grant;
    },
    grantShared(request) {
      const share = connectedShare();
      const grant = shared.grant({ ...request, rate: scaleRate(request.rate, share) });
      summaries.record(request.account, grant, share);
      return grant;
    },
    correct(request) {
      shared.correct({ ...request, rate: scaleRate(request.rate, connectedShare()) });
    },
    toCorrection: (request, { granted }) =>
      granted > 0 ? { ...request, needed: granted, ahead: 0 } : undefined,
    // Levels from before the disconnection are stale.
    onReconnected: () => shared.reset(),
    declinedGrant,
  };
}

export function createQuotaSource(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): QuotaSource {
  const local = createLocalAllocator(clock, peers, tolerance);
  return createDistributedAllocator(clock, peers, local, ({ account }) => account);
}
