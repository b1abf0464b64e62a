/** What a box knows of one other box, and when it takes that box for alive. */
import type { Incarnation, Milliseconds } from "@linkfall/types";
import type { BoxAddress, BoxProfile, BoxStatus, Sighting } from "./messages.js";

/** One other box; changed in place by the table that owns it. */
export interface Member {
  readonly address: BoxAddress;
  readonly learntAt: Milliseconds;
  profile?: BoxProfile;
  /** Newest status that came from the box itself. */
  status?: BoxStatus;
  /** When that status came, by the clock's `elapsed`: what this box heard before it slept gives it no right. */
  heardAt: Milliseconds;
  /** When any box last heard it, as far as sightings tell. */
  seenAt: Milliseconds;
  /** The holder of the order lease by whose word the box is alive, until it says otherwise. */
  vouchedBy?: Incarnation;
  suspected: boolean;
}

export function createMember(address: BoxAddress, now: Milliseconds): Member {
  const never = -Infinity;
  return { address, learntAt: now, heardAt: never, seenAt: never, suspected: false };
}

/** Takes a status that came from the box itself; returns whether it is news. */
export function takeStatus(
  member: Member,
  status: BoxStatus,
  now: Milliseconds,
  elapsed: Milliseconds,
): boolean {
  const before = member.status;
  if (before?.incarnation === status.incarnation && status.beat <= before.beat) return false;
  member.status = status;
  member.profile = status;
  member.heardAt = elapsed;
  member.seenAt = now;
  return true;
}

/** Takes what another box tells of this one; `holder` where that box vouches for all others. */
export function takeSighting(
  member: Member,
  sighting: Sighting,
  now: Milliseconds,
  holder?: Incarnation,
): void {
  const seenAt = now - sighting.ageMs;
  if (seenAt > member.seenAt) {
    member.profile = sighting;
    member.seenAt = seenAt;
  }
  if (holder === undefined || member.profile?.incarnation !== sighting.incarnation) return;
  member.vouchedBy = sighting.silent ? undefined : holder;
}
