/** The other boxes known to this box, and whether it considers them alive. */
import type { Clock } from "@linkfall/kernel";
import type { Incarnation, Milliseconds } from "@linkfall/types";
import { createMember, type Member, applySighting, applyStatus } from "./member.js";
import type { BoxAddress, BoxProfile, Heartbeat, Sighting } from "./messages.js";
import { fitsFullMesh, type PartnerOptions, computeRoundIntervalMs } from "./partners.js";

export interface MemberOptions extends PartnerOptions {
  /** Address at which other boxes reach this one. */
  readonly selfAddress: string;
  /** Minimum interval between two heartbeat rounds. */
  readonly minRoundIntervalMs: Milliseconds;
  /** Interval between two rounds per other box; replaces `minRoundIntervalMs` where the total is longer. */
  readonly roundIntervalPerBoxMs: Milliseconds;
  /** A box without a heartbeat for this long is suspected; scaled with the round interval. */
  readonly baseSuspicionTimeoutMs: Milliseconds;
  /** Time after the lease holder's last heartbeat for which its reports still keep boxes alive. */
  readonly holderReportTtlMs: Milliseconds;
  /** A box without a heartbeat for this long is removed. */
  readonly removeAfterMs: Milliseconds;
}

/** Result of a check for silent members. */
export interface SilentMembers {
  /** Boxes newly considered not alive. */
  readonly suspected: readonly Member[];
  /** Boxes removed from the table. */
  readonly gone: readonly Member[];
}

/** How a received status compares to the one known before. */
export type StatusUpdate = "old" | "newer" | "new_incarnation";

export interface MemberTable {
  all(): readonly Member[];
  find(incarnation: Incarnation): Member | undefined;
  /** Adds the address of a box; returns undefined for this box itself. */
  add(address: BoxAddress): Member | undefined;
  /** Applies a box's status and its sightings of others. */
  applyHeartbeat(heartbeat: Heartbeat): StatusUpdate;
  /** The boxes considered alive. */
  alive(): readonly Member[];
  /** The boxes that recently sent a heartbeat to this one. */
  heard(): readonly Member[];
  /** The sightings of boxes to send to others, without those of which only the address is known. */
  toSightings(members: readonly Member[]): readonly Sighting[];
  /** Marks boxes that have become silent as suspected, and removes those silent for `removeAfterMs`. */
  detectSilent(): SilentMembers;
  /** Highest number of boxes known at the same time, including this one. */
  maxKnownBoxes(): number;
  /** Whether every box exchanges heartbeats with every other one. */
  isFullMesh(): boolean;
  /** Interval between two heartbeat rounds. */
  roundIntervalMs(): Milliseconds;
  /** Time without a heartbeat after which a box is suspected; a few rounds. */
  suspicionTimeoutMs(): Milliseconds;
}

/** Factor by which boxes without callers lengthen their rounds in a large deployment. */
export const idleRoundFactor = 2;

/** Creates an empty table. */
export function createMemberTable(clock: Clock, options: MemberOptions): MemberTable {
  const members = new Map<string, Member>();
  /** Members that have sent a heartbeat themselves. */
  const byIncarnation = new Map<Incarnation, Member>();
  let maxKnownBoxes = 1;

  const all = () => [...members.values()];
  const find = (incarnation: Incarnation) => byIncarnation.get(incarnation);
  const isFullMesh = () => fitsFullMesh(members.size, options);
  const roundIntervalMs = () =>
    computeRoundIntervalMs(options.minRoundIntervalMs, options.roundIntervalPerBoxMs, members.size);
  const suspicionTimeoutMs = () =>
    (options.baseSuspicionTimeoutMs * roundIntervalMs()) / options.minRoundIntervalMs;

  const add = (address: BoxAddress): Member | undefined => {
    if (address.peerAddress === options.selfAddress) return undefined;
    const known = members.get(address.peerAddress);
    if (known) return known;
    const member = createMember(address, clock.now());
    members.set(address.peerAddress, member);
    maxKnownBoxes = Math.max(maxKnownBoxes, members.size + 1);
    return member;
  };

  /** Returns a check of whether members are alive at this moment; the clock is read once for all of them. */
  const createAliveCheck = (): ((member: Member) => boolean) => {
    const now = clock.now();
    const elapsed = clock.elapsed();
    const timeoutMs = suspicionTimeoutMs();
    const idleTimeoutMs = isFullMesh() ? timeoutMs : timeoutMs * idleRoundFactor;
    return ({ profile, lastSeenAt, reportedAliveBy }) => {
      const maxSilenceMs = profile?.takesRequests ? timeoutMs : idleTimeoutMs;
      if (now - lastSeenAt <= maxSilenceMs) return true;
      if (reportedAliveBy === undefined) return false;
      const holder = find(reportedAliveBy);
      return holder !== undefined && elapsed - holder.lastHeartbeatAt <= options.holderReportTtlMs;
    };
  };

  const applySightings = ({ status, sightings, report }: Heartbeat) => {
    const now = clock.now();
    for (const sighting of sightings) {
      const member = add(sighting);
      if (member) applySighting(member, sighting, now);
    }
    for (const sighting of report?.members ?? []) {
      const member = add(sighting);
      if (member) applySighting(member, sighting, now, status.incarnation);
    }
  };

  // One object literal: spreading took several times as long, and the lease holder makes these for all members.
  const toSighting = (member: Member, profile: BoxProfile, silent: boolean, now: Milliseconds) => ({
    box: profile.box,
    incarnation: profile.incarnation,
    frontAddress: profile.frontAddress,
    peerAddress: profile.peerAddress,
    domain: profile.domain,
    capacity: profile.capacity,
    ready: profile.ready,
    leaving: profile.leaving,
    strained: profile.strained,
    takesRequests: profile.takesRequests,
    reading: profile.reading,
    relays: profile.relays,
    keepsStreams: profile.keepsStreams,
    dispatches: profile.dispatches,
    ageMs: Math.round(now - member.lastSeenAt),
    silent,
  });

  return {
    all,
    find,
    add,
    applyHeartbeat(heartbeat) {
      applySightings(heartbeat);
      const { status } = heartbeat;
      const member = add(status);
      const previous = member?.status?.incarnation;
      if (!member || !applyStatus(member, status, clock.now(), clock.elapsed())) return "old";
      member.suspected = false;
      if (previous === status.incarnation) return "newer";
      if (previous !== undefined) byIncarnation.delete(previous);
      byIncarnation.set(status.incarnation, member);
      return "new_incarnation";
    },
    alive: () => all().filter(createAliveCheck()),
    heard() {
      const heardSince = clock.elapsed() - suspicionTimeoutMs();
      return all().filter(({ lastHeartbeatAt }) => lastHeartbeatAt >= heardSince);
    },
    toSightings(some) {
      if (some.length === 0) return [];
      const isAlive = createAliveCheck();
      const now = clock.now();
      const sightings: Sighting[] = [];
      for (const member of some) {
        if (!member.profile) continue;
        sightings.push(toSighting(member, member.profile, !isAlive(member), now));
      }
      return sightings;
    },
    detectSilent() {
      const isAlive = createAliveCheck();
      const silent = all().filter((member) => !isAlive(member));
      const suspected = silent.filter(({ profile, suspected }) => profile && !suspected);
      for (const member of suspected) member.suspected = true;
      const removeBefore = clock.now() - options.removeAfterMs;
      const gone = silent.filter(
        ({ lastSeenAt, addedAt }) => Math.max(lastSeenAt, addedAt) < removeBefore,
      );
      for (const member of gone) {
        members.delete(member.address.peerAddress);
        if (member.status) byIncarnation.delete(member.status.incarnation);
      }
      return { suspected, gone };
    },
    maxKnownBoxes: () => maxKnownBoxes,
    isFullMesh,
    roundIntervalMs,
    suspicionTimeoutMs,
  };
}
