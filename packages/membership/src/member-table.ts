/**
 * What is known of other boxes. A member is one start of a box; its heartbeat counter is passed on
 * by everyone, so a cut between two boxes alone makes neither suspect the other.
 */
import type { Incarnation, MemberEntry, Milliseconds } from "@linkfall/types";

/** A member and the local time at which its counter last moved. */
export interface Member {
  readonly entry: MemberEntry;
  readonly lastHeartbeatAt: Milliseconds;
}

/** Limits in milliseconds of the local clock. */
export interface MemberTimeouts {
  readonly suspectAfterMs: Milliseconds;
  readonly removeAfterMs: Milliseconds;
}

export interface MemberTable {
  /** Takes entries as passed on by a peer. */
  merge(entries: readonly MemberEntry[], now: Milliseconds): void;
  /** Takes the word of a box about itself; earlier starts of the same box are over. */
  applyDirect(entry: MemberEntry, now: Milliseconds): void;
  /** Drops members that have been silent too long. */
  removeExpired(now: Milliseconds): void;
  /** Members whose heartbeat moves, leaving ones included, sorted by name. */
  alive(now: Milliseconds): readonly MemberEntry[];
  /** All that are not forgotten. */
  known(): readonly Member[];
  find(incarnation: Incarnation): Member | undefined;
}

/** What the table tells when something changes. */
export interface MemberEvents {
  joined(entry: MemberEntry): void;
  gone(entry: MemberEntry): void;
}

/** A start of which no word up to `heartbeat` is taken any more. */
interface EndedIncarnation {
  readonly heartbeat: number;
  readonly until: Milliseconds;
}

/** Creates the table of the box `self`, which never stands in it. */
export function createMemberTable(
  self: Incarnation,
  limits: MemberTimeouts,
  changes: MemberEvents,
): MemberTable {
  const members = new Map<Incarnation, Member>();
  /** Starts that are over or forgotten, while old word of them may still come. */
  const ended = new Map<Incarnation, EndedIncarnation>();

  /** Forgets a member; it is taken again only with a higher heartbeat than `heartbeat`. */
  const end = (incarnation: Incarnation, heartbeat: number, now: Milliseconds) => {
    const member = members.get(incarnation);
    if (!member) return;
    members.delete(incarnation);
    ended.set(incarnation, { heartbeat, until: now + 2 * limits.removeAfterMs });
    changes.gone(member.entry);
  };

  const take = (entry: MemberEntry, now: Milliseconds) => {
    const endedAt = ended.get(entry.incarnation)?.heartbeat ?? -1;
    if (entry.incarnation === self || entry.heartbeat <= endedAt) return;
    ended.delete(entry.incarnation);
    const held = members.get(entry.incarnation);
    if (held && entry.heartbeat <= held.entry.heartbeat) return;
    const leaving = entry.leaving || (held?.entry.leaving ?? false);
    members.set(entry.incarnation, { entry: { ...entry, leaving }, lastHeartbeatAt: now });
    if (!held) changes.joined(entry);
  };

  return {
    merge(entries, now) {
      for (const entry of entries) take(entry, now);
    },
    applyDirect(entry, now) {
      for (const { entry: other } of [...members.values()]) {
        const earlierStart = other.box === entry.box && other.incarnation !== entry.incarnation;
        if (earlierStart) end(other.incarnation, Infinity, now);
      }
      take(entry, now);
    },
    removeExpired(now) {
      for (const [incarnation, member] of [...members]) {
        // Silent, perhaps because this box was cut off: it may come back with a later heartbeat.
        if (now - member.lastHeartbeatAt > limits.removeAfterMs)
          end(incarnation, member.entry.heartbeat, now);
      }
      for (const [incarnation, start] of [...ended]) {
        if (now > start.until) ended.delete(incarnation);
      }
    },
    alive: (now) =>
      [...members.values()]
        .filter((member) => now - member.lastHeartbeatAt <= limits.suspectAfterMs)
        .map((member) => member.entry)
        .sort((a, b) => (a.incarnation < b.incarnation ? -1 : 1)),
    known: () => [...members.values()],
    find: (incarnation) => members.get(incarnation),
  };
}
