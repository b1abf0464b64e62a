/** What a box knows of one other box, and when it takes that box for alive. */
import type { Incarnation, Milliseconds } from "@linkfall/types";
import type { BoxAddress, BoxProfile, BoxStatus, Sighting } from "./messages.js";

/** One other box; changed in place by the table that owns it. */
export interface Member {
  readonly address: BoxAddress;
  readonly addedAt: Milliseconds;
  profile?: BoxProfile;
  /** Newest status that came from the box itself. */
  status?: BoxStatus;
  /** When that status came, by the clock's `elapsed`: what this box heard before it slept gives it no right. */
  lastHeartbeatAt: Milliseconds;
  /** When any box last heard it, as far as sightings tell. */
  lastSeenAt: Milliseconds;
  /** The holder of the order lease by whose word the box is alive, until it says otherwise. */
  vouchedBy?: Incarnation;
  suspected: boolean;
}

export function createMember(address: BoxAddress, now: Milliseconds): Member {
  const never = -Infinity;
  return { address, addedAt: now, lastHeartbeatAt: never, lastSeenAt: never, suspected: false };
}

/** Takes a status that came from the box itself; returns whether it is news. */
export function applyStatus(
  member: Member,
  status: BoxStatus,
  now: Milliseconds,
  elapsed: Milliseconds,
): boolean {
  const before = member.status;
  if (before?.incarnation === status.incarnation && status.beat <= before.beat) return false;
  member.status = status;
  member.profile = status;
  member.lastHeartbeatAt = elapsed;
  member.lastSeenAt = now;
  return true;
}

/** Takes what another box tells of this one; `holder` where that box vouches for all others. */
export function applySighting(
  member: Member,
  sighting: Sighting,
  now: Milliseconds,
  holder?: Incarnation,
): void {
  const seenAt = now - sighting.ageMs;
  if (seenAt > member.lastSeenAt) {
    member.profile = sighting;
    member.lastSeenAt = seenAt;
  }
  if (holder === undefined || member.profile?.incarnation !== sighting.incarnation) return;
  member.vouchedBy = sighting.silent ? undefined : holder;
}
