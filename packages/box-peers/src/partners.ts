/** Chooses the boxes that a round of heartbeats goes to. */
import type { Random } from "@linkfall/kernel";
import type { Incarnation, Milliseconds } from "@linkfall/types";
import type { Member } from "./member.js";

/** Settings of the choice. */
export interface PartnerOptions {
  /** Up to this many other boxes each round goes to all. */
  readonly maxFullMeshPeers: number;
  /** Boxes that a large deployment's round goes to while the holder of the order lease is unheard. */
  readonly searchFanout: number;
  /** Every so many rounds one box at random is asked beside those that know most. */
  readonly randomPartnerPeriod: number;
}

export interface PartnerCandidates {
  readonly members: readonly Member[];
  /** The box that hears all others. */
  readonly holder?: Incarnation;
  /** Whether that box is heard. */
  readonly holderReachable: boolean;
  /** Number of this round. */
  readonly round: number;
}

/** Up to `count` different members at random. */
export function sample(
  members: readonly Member[],
  count: number,
  random: Random,
): readonly Member[] {
  if (members.length <= count) return members;
  const chosen = new Set<Member>();
  while (chosen.size < count) chosen.add(members[random.nextInt(members.length)]);
  return [...chosen];
}

/** Whether every box exchanges heartbeats with every other one. */
export function fitsFullMesh(others: number, rules: PartnerOptions): boolean {
  return others <= rules.maxFullMeshPeers;
}

/** Whether the store served the box when it was last heard. */
const reachesStore = ({ status }: Member): boolean => status?.reachesStore !== false;

/** Up to `count` members, other ones each round until all have had their turn. */
function roundRobin(members: readonly Member[], count: number, round: number): readonly Member[] {
  if (members.length <= count) return members;
  return Array.from({ length: count }, (_, index) => {
    return members[(round * count + index) % members.length];
  });
}

/**
 * Boxes of this round: all of a small deployment. In a large one the holder of the order lease, which
 * hears everybody; by turns one of the others that read the store, of those that it serves while there are some;
 * and now and then one at random.
 */
export function selectPartners(
  { members, holder, holderReachable: holderHeard, round }: PartnerCandidates,
  rules: PartnerOptions,
  random: Random,
): readonly Member[] {
  if (fitsFullMesh(members.length, rules)) return members;
  const hub = members.filter((member) => member.profile?.incarnation === holder);
  if (!holderHeard) return [...new Set([...hub, ...sample(members, rules.searchFanout, random)])];
  const readers = members.filter((member) => !hub.includes(member) && member.profile?.reading);
  const able = readers.filter(reachesStore);
  // A holder that the store refuses has no news: boxes hear of changes half as often unless they ask two readers.
  const count = hub.some(reachesStore) ? 1 : 2;
  const reader = roundRobin(able.length > 0 ? able : readers, count, round);
  const extra = round % rules.randomPartnerPeriod === 0 ? sample(members, 1, random) : [];
  return [...new Set([...hub, ...reader, ...extra])];
}

/** Interval between rounds: each further box lengthens it, so that the holder's work stays bounded. */
export function computeRoundIntervalMs(
  baseMs: Milliseconds,
  perBoxMs: Milliseconds,
  others: number,
): Milliseconds {
  return Math.max(baseMs, perBoxMs * others);
}
