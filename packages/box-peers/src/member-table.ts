/** All other boxes that one box knows, and which of them it takes for alive. */
import type { Clock } from "@linkfall/kernel";
import type { Incarnation, Milliseconds } from "@linkfall/types";
import { createMember, type Member, applySighting, applyStatus } from "./member.js";
import type { BoxAddress, Heartbeat, Sighting } from "./messages.js";
import { fitsFullMesh, type PartnerOptions, computeRoundIntervalMs } from "./partners.js";

export interface MemberOptions extends PartnerOptions {
  /** Where other boxes reach this one. */
  readonly selfAddress: string;
  /** Shortest time between two rounds of heartbeats. */
  readonly minRoundIntervalMs: Milliseconds;
  /** Time between two rounds for each other box, where that is longer. */
  readonly roundIntervalPerBoxMs: Milliseconds;
  /** A box that was not heard for this long gets no callers. */
  readonly baseSuspicionTimeoutMs: Milliseconds;
  /** A box that the holder of the order lease vouched for is believed in for this long after the
   * holder fell silent. */
  readonly holderReportTtlMs: Milliseconds;
  /** A box that was not heard for this long is forgotten. */
  readonly removeAfterMs: Milliseconds;
}

/** What a look at the table found. */
export interface SilentMembers {
  /** Boxes that are no longer taken for alive since this look. */
  readonly suspected: readonly Member[];
  /** Boxes that were let go of. */
  readonly gone: readonly Member[];
}

/** What a status says beyond what was known of its box. */
export type StatusUpdate = "old" | "newer" | "new_incarnation";

export interface MemberTable {
  all(): readonly Member[];
  find(incarnation: Incarnation): Member | undefined;
  /** Notes where a box may be asked; undefined for this box itself. */
  add(address: BoxAddress): Member | undefined;
  /** Takes what a box tells of itself and of others. */
  applyHeartbeat(heartbeat: Heartbeat): StatusUpdate;
  isAlive(member: Member): boolean;
  /** A box as this one tells of it; none where nothing is known of it but its address. */
  toSightings(member: Member): readonly Sighting[];
  /** Looks for boxes that have fallen silent, and forgets those that were silent for long. */
  detectSilent(): SilentMembers;
  /** Most boxes that were known at once, this one included. */
  maxKnownBoxes(): number;
  /** Whether every box exchanges heartbeats with every other one. */
  isFullMesh(): boolean;
  /** Time between two rounds of heartbeats. */
  roundIntervalMs(): Milliseconds;
  /** Silence after which a box is suspected: a few rounds. */
  suspicionTimeoutMs(): Milliseconds;
}

/** In a large deployment, boxes without callers make their rounds so many times as far apart. */
export const idleRoundFactor = 2;

/** Creates a table of no boxes. */
export function createMemberTable(clock: Clock, rules: MemberOptions): MemberTable {
  const members = new Map<string, Member>();
  /** Boxes that were heard themselves. */
  const heard = new Map<Incarnation, Member>();
  let most = 1;

  const all = () => [...members.values()];
  const find = (incarnation: Incarnation) => heard.get(incarnation);
  const mesh = () => fitsFullMesh(members.size, rules);
  const intervalMs = () =>
    computeRoundIntervalMs(rules.minRoundIntervalMs, rules.roundIntervalPerBoxMs, members.size);
  const suspectMs = () => (rules.baseSuspicionTimeoutMs * intervalMs()) / rules.minRoundIntervalMs;
  const mayRestMs = (member: Member) =>
    mesh() || member.profile?.takesRequests ? suspectMs() : suspectMs() * idleRoundFactor;

  const learn = (address: BoxAddress): Member | undefined => {
    if (address.peerAddress === rules.selfAddress) return undefined;
    const known = members.get(address.peerAddress);
    if (known) return known;
    const member = createMember(address, clock.now());
    members.set(address.peerAddress, member);
    most = Math.max(most, members.size + 1);
    return member;
  };

  const isAlive = (member: Member): boolean => {
    const now = clock.now();
    if (now - member.lastSeenAt <= mayRestMs(member)) return true;
    if (member.vouchedBy === undefined) return false;
    const holder = find(member.vouchedBy);
    return (
      holder !== undefined && clock.elapsed() - holder.lastHeartbeatAt <= rules.holderReportTtlMs
    );
  };

  const takeSightings = ({ status, sightings, report }: Heartbeat) => {
    const now = clock.now();
    for (const sighting of sightings) {
      const member = learn(sighting);
      if (member) applySighting(member, sighting, now);
    }
    for (const sighting of report?.members ?? []) {
      const member = learn(sighting);
      if (member) applySighting(member, sighting, now, status.incarnation);
    }
  };

  const isSuspect = (member: Member) =>
    member.profile !== undefined && !member.suspected && !isAlive(member);
  const isLongSilent = (member: Member) => {
    const last = Math.max(member.lastSeenAt, member.addedAt);
    return !isAlive(member) && clock.now() - last > rules.removeAfterMs;
  };

  return {
    all,
    find,
    add: learn,
    applyHeartbeat(heartbeat) {
      takeSightings(heartbeat);
      const { status } = heartbeat;
      const member = learn(status);
      const before = member?.status?.incarnation;
      if (!member || !applyStatus(member, status, clock.now(), clock.elapsed())) return "old";
      member.suspected = false;
      if (before === status.incarnation) return "newer";
      if (before !== undefined) heard.delete(before);
      heard.set(status.incarnation, member);
      return "new_incarnation";
    },
    isAlive,
    toSightings(member) {
      if (!member.profile) return [];
      const { box, incarnation, frontAddress, peerAddress, domain, capacity } = member.profile;
      const { ready, leaving, strained, takesRequests, reading } = member.profile;
      const ageMs = Math.round(clock.now() - member.lastSeenAt);
      const identity = { box, incarnation, frontAddress, peerAddress, domain, capacity };
      const state = { ready, leaving, strained, takesRequests, reading };
      return [{ ...identity, ...state, ageMs, silent: !isAlive(member) }];
    },
    detectSilent() {
      const suspected = all().filter(isSuspect);
      for (const member of suspected) member.suspected = true;
      const gone = all().filter(isLongSilent);
      for (const member of gone) {
        members.delete(member.address.peerAddress);
        if (member.status) heard.delete(member.status.incarnation);
      }
      return { suspected, gone };
    },
    maxKnownBoxes: () => most,
    isFullMesh: mesh,
    roundIntervalMs: intervalMs,
    suspicionTimeoutMs: suspectMs,
  };
}
