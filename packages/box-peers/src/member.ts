/** State of one other box, as known to this box. */
import type { Incarnation, Milliseconds } from "@linkfall/types";
import type { BoxAddress, BoxProfile, BoxStatus, Sighting } from "./messages.js";

/** Another box; mutated only by the table that owns it. */
export interface Member {
  readonly address: BoxAddress;
  readonly addedAt: Milliseconds;
  profile?: BoxProfile;
  /** Latest status received from the box itself. */
  status?: BoxStatus;
  /** Time of that status by the clock's `elapsed`, which counts suspended time: older statuses expire during a suspension. */
  lastHeartbeatAt: Milliseconds;
  /** Time of its latest heartbeat to any box, as reported by sightings. */
  lastSeenAt: Milliseconds;
  /** The lease holder that reported the box as alive, until it reports otherwise. */
  reportedAliveBy?: Incarnation;
  suspected: boolean;
}

export function createMember(address: BoxAddress, now: Milliseconds): Member {
  const never = -Infinity;
  return { address, addedAt: now, lastHeartbeatAt: never, lastSeenAt: never, suspected: false };
}

/** Applies a status received from the box itself; returns whether it is newer than the known one. */
export function applyStatus(
  member: Member,
  status: BoxStatus,
  now: Milliseconds,
  elapsed: Milliseconds,
): boolean {
  const previous = member.status;
  if (previous?.incarnation === status.incarnation && status.beat <= previous.beat) return false;
  member.status = status;
  member.profile = status;
  member.lastHeartbeatAt = elapsed;
  member.lastSeenAt = now;
  return true;
}

/** Applies another box's sighting of a member; `holder` is set if it comes from the lease holder's report. */
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
  member.reportedAliveBy = sighting.silent ? undefined : holder;
}
