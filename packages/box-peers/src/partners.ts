/** Chooses the boxes that a round of heartbeats goes to. */
import type { Random } from "@linkfall/kernel";
import type { Incarnation, Milliseconds } from "@linkfall/types";
import type { Member } from "./member.js";

/** Settings of the choice. */
export interface PartnerRules {
  /** Up to this many other boxes each round goes to all. */
  readonly fanout: number;
  /** Boxes that a large deployment's round goes to while the holder of the order lease is unheard. */
  readonly searchFanout: number;
  /** Every so many rounds one box at random is asked beside those that know most. */
  readonly randomEvery: number;
}

export interface PartnerInput {
  readonly members: readonly Member[];
  /** The box that hears all others. */
  readonly holder?: Incarnation;
  /** Whether that box is heard. */
  readonly holderHeard: boolean;
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
  while (chosen.size < count) chosen.add(members[random.below(members.length)]);
  return [...chosen];
}

/** Whether every box exchanges heartbeats with every other one. */
export function isMesh(others: number, rules: PartnerRules): boolean {
  return others <= rules.fanout;
}

/**
 * Boxes of this round: all of a small deployment. In a large one the holder of the order lease, which
 * hears everybody; by turns one of the others that read the store; and now and then one at random.
 */
export function partnersOfRound(
  { members, holder, holderHeard, round }: PartnerInput,
  rules: PartnerRules,
  random: Random,
): readonly Member[] {
  if (isMesh(members.length, rules)) return members;
  const hub = members.filter((member) => member.profile?.incarnation === holder);
  if (!holderHeard) return [...new Set([...hub, ...sample(members, rules.searchFanout, random)])];
  const readers = members.filter((member) => !hub.includes(member) && member.profile?.reading);
  const reader = readers.length > 0 ? [readers[round % readers.length]] : [];
  const extra = round % rules.randomEvery === 0 ? sample(members, 1, random) : [];
  return [...new Set([...hub, ...reader, ...extra])];
}

/** Interval between rounds: each further box lengthens it, so that the holder's work stays bounded. */
export function roundMs(
  baseMs: Milliseconds,
  perBoxMs: Milliseconds,
  others: number,
): Milliseconds {
  return Math.max(baseMs, perBoxMs * others);
}
