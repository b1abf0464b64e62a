/** Selects the boxes that receive the heartbeats of a round. */
import type { Random } from "@linkfall/kernel";
import type { Incarnation, Milliseconds } from "@linkfall/types";
import type { Member } from "./member.js";

/** Settings of the partner selection. */
export interface PartnerOptions {
  /** Highest number of other boxes with which heartbeats form a full mesh. */
  readonly maxFullMeshPeers: number;
  /** Random partners per round in a large deployment while the lease holder is unreachable. */
  readonly searchFanout: number;
  /** Every this many rounds one random box is added to the partners. */
  readonly randomPartnerPeriod: number;
}

export interface PartnerCandidates {
  readonly members: readonly Member[];
  /** The lease holder, which exchanges heartbeats with all boxes. */
  readonly holder?: Incarnation;
  /** Whether the lease holder's heartbeats are recent. */
  readonly holderReachable: boolean;
  /** Sequence number of the round. */
  readonly round: number;
}

/** Selects up to `count` distinct random members. */
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

/** Whether the deployment is small enough for every box to exchange heartbeats with every other one. */
export function fitsFullMesh(others: number, options: PartnerOptions): boolean {
  return others <= options.maxFullMeshPeers;
}

/** Whether the box could reach the store at its latest heartbeat. */
const reachesStore = ({ status }: Member): boolean => status?.reachesStore !== false;

/** Selects up to `count` members in rotation over the rounds. */
function roundRobin(members: readonly Member[], count: number, round: number): readonly Member[] {
  if (members.length <= count) return members;
  return Array.from({ length: count }, (_, index) => {
    return members[(round * count + index) % members.length];
  });
}

/**
 * Selects the partners of a round: all boxes of a small deployment. In a large one, the lease holder, which
 * exchanges heartbeats with all boxes; store readers in rotation, preferably those that reach the store; and
 * every `randomPartnerPeriod` rounds a random box.
 */
export function selectPartners(
  { members, holder, holderReachable, round }: PartnerCandidates,
  options: PartnerOptions,
  random: Random,
): readonly Member[] {
  if (fitsFullMesh(members.length, options)) return members;
  const holders = members.filter((member) => member.profile?.incarnation === holder);
  if (!holderReachable)
    return [...new Set([...holders, ...sample(members, options.searchFanout, random)])];
  const readers = members.filter((member) => !holders.includes(member) && member.profile?.reading);
  const reachable = readers.filter(reachesStore);
  // A holder that cannot reach the store has no changes to report; a second reader compensates for it.
  const readerCount = holders.some(reachesStore) ? 1 : 2;
  const turnReaders = roundRobin(reachable.length > 0 ? reachable : readers, readerCount, round);
  const extra = round % options.randomPartnerPeriod === 0 ? sample(members, 1, random) : [];
  return [...new Set([...holders, ...turnReaders, ...extra])];
}

/** Interval between rounds; it grows with the number of boxes to bound the lease holder's load. */
export function computeRoundIntervalMs(
  baseMs: Milliseconds,
  perBoxMs: Milliseconds,
  others: number,
): Milliseconds {
  return Math.max(baseMs, perBoxMs * others);
}
