/** Parts of the accounts' limits that are single boxes' own while they are cut off from the others. */
import { type BoxProfile, peersName } from "@linkfall/box-peers";
import type { Milliseconds } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";
import { strongCapacityThreshold } from "./entries.js";
import { ownProfile } from "./own-profile.js";

/** Part of a limit that strong boxes share while they are cut off; the others have the rest. */
const strongBoxesShare = 0.75;
/** Part of a box that does not know most others yet: what is one of several strong ones. */
const minorityShare = 0.1;
/** Who is silent changes within seconds; parts are worked out at most this often. */
const minRefreshIntervalMs: Milliseconds = 100;

type ShareOwner = Pick<BoxProfile, "capacity" | "peerAddress">;

/** Parts as one box sees them now. */
export interface LimitShares {
  readonly own: number;
  /** Of boxes that are taken for silent, without those that leave by plan. */
  readonly silent: number;
}

function capacityOf(boxes: readonly ShareOwner[]): number {
  return boxes.reduce((sum, { capacity }) => sum + capacity, 0);
}

/** Divides a part of a limit between boxes by what they can carry. */
function divide(
  part: number,
  boxes: readonly ShareOwner[],
): readonly (readonly [string, number])[] {
  const whole = capacityOf(boxes);
  return boxes.map((box) => [box.peerAddress, (part * box.capacity) / whole] as const);
}

/** Parts by peer address; they add up to one. Callers are sent to strong boxes first, so that these have most of it. */
export function limitSharesOf(boxes: readonly ShareOwner[]): ReadonlyMap<string, number> {
  const from = strongCapacityThreshold(boxes);
  const strong = boxes.filter((box) => box.capacity >= from);
  const weak = boxes.filter((box) => box.capacity < from);
  const ofStrong = weak.length === 0 ? 1 : strongBoxesShare;
  return new Map([...divide(ofStrong, strong), ...divide(1 - ofStrong, weak)]);
}

function computeLimitShares(parts: BoxRuntime): LimitShares {
  const peers = parts.kernel.find(peersName);
  const own = ownProfile(parts);
  const known = peers.sightings();
  const all = limitSharesOf([own, ...known]);
  const partIn = (box: ShareOwner) => all.get(box.peerAddress) ?? 0;
  const silent = known.filter((box) => box.silent && !box.leaving);
  return {
    own: (known.length + 1) * 2 > peers.maxKnownBoxes() ? partIn(own) : minorityShare,
    silent: silent.reduce((sum, box) => sum + partIn(box), 0),
  };
}

/** Creates a look at the parts that is worked out anew now and then. */
export function createLimitShares(parts: BoxRuntime): () => LimitShares {
  let worked: LimitShares = { own: minorityShare, silent: 0 };
  let workedAt = -Infinity;
  return () => {
    const now = parts.ports.clock.now();
    if (now - workedAt < minRefreshIntervalMs) return worked;
    workedAt = now;
    worked = computeLimitShares(parts);
    return worked;
  };
}
