/** Divides rate limits into shares that boxes may use alone while they are isolated from the others. */
import { type BoxProfile, peersName } from "@linkfall/box-peers";
import type { Milliseconds } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";
import { strongCapacityThreshold } from "./entries.js";
import { ownProfile } from "./own-profile.js";

/** Fraction of a limit divided among high-capacity boxes; the others divide the rest. */
const strongBoxesShare = 0.75;
/** Share of a box that does not know the majority of the others: about that of one of several high-capacity boxes. */
const minorityShare = 0.1;
/** Membership changes within seconds, hence shares are not recomputed more often. */
const minRefreshIntervalMs: Milliseconds = 100;

type ShareOwner = Pick<BoxProfile, "capacity" | "peerAddress">;

/** Shares of a limit from 0 to 1, as currently known to one box. */
export interface LimitShares {
  readonly own: number;
  /** Total share of the boxes considered silent, except those that shut down gracefully. */
  readonly silent: number;
}

function capacityOf(boxes: readonly ShareOwner[]): number {
  return boxes.reduce((sum, { capacity }) => sum + capacity, 0);
}

/** Divides a share of a limit among boxes in proportion to their capacity. */
function divide(
  share: number,
  boxes: readonly ShareOwner[],
): readonly (readonly [string, number])[] {
  const totalCapacity = capacityOf(boxes);
  return boxes.map((box) => [box.peerAddress, (share * box.capacity) / totalCapacity] as const);
}

/** Shares by peer address, which add up to one. High-capacity boxes get most of it, since callers are directed to them first. */
export function limitSharesOf(boxes: readonly ShareOwner[]): ReadonlyMap<string, number> {
  const minCapacity = strongCapacityThreshold(boxes);
  const strong = boxes.filter((box) => box.capacity >= minCapacity);
  const weak = boxes.filter((box) => box.capacity < minCapacity);
  const strongShare = weak.length === 0 ? 1 : strongBoxesShare;
  return new Map([...divide(strongShare, strong), ...divide(1 - strongShare, weak)]);
}

function computeLimitShares(runtime: BoxRuntime): LimitShares {
  const peers = runtime.kernel.find(peersName);
  const own = ownProfile(runtime);
  const others = peers.sightings();
  const shares = limitSharesOf([own, ...others]);
  const shareOf = (box: ShareOwner) => shares.get(box.peerAddress) ?? 0;
  const silent = others.filter((box) => box.silent && !box.leaving);
  return {
    own: (others.length + 1) * 2 > peers.maxKnownBoxes() ? shareOf(own) : minorityShare,
    silent: silent.reduce((sum, box) => sum + shareOf(box), 0),
  };
}

/** Creates a function that returns the shares, recomputed at most every `minRefreshIntervalMs`. */
export function createLimitShares(runtime: BoxRuntime): () => LimitShares {
  let cached: LimitShares = { own: minorityShare, silent: 0 };
  let cachedAt = -Infinity;
  return () => {
    const now = runtime.ports.clock.now();
    if (now - cachedAt < minRefreshIntervalMs) return cached;
    cachedAt = now;
    cached = computeLimitShares(runtime);
    return cached;
  };
}
