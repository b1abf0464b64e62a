/**
 * The known members. A member is one incarnation of a box; its heartbeat counter is relayed by all boxes, so
 * that a broken link between two boxes does not make them suspect each other.
 */
import type { Incarnation, MemberEntry, Milliseconds } from "@linkfall/types";

/** A member and the local time at which its heartbeat counter last increased. */
export interface Member {
  readonly entry: MemberEntry;
  readonly lastHeartbeatAt: Milliseconds;
}

/** Timeouts by the local clock. */
export interface MemberTimeouts {
  readonly suspectAfterMs: Milliseconds;
  readonly removeAfterMs: Milliseconds;
}

export interface MemberTable {
  /** Merges entries relayed by a peer. */
  merge(entries: readonly MemberEntry[], now: Milliseconds): void;
  /** Applies an entry sent by the box itself; removes earlier incarnations of that box. */
  applyDirect(entry: MemberEntry, now: Milliseconds): void;
  /** Removes members without a heartbeat for `removeAfterMs`. */
  removeExpired(now: Milliseconds): void;
  /** Members with a recent heartbeat, including leaving ones, sorted by incarnation. */
  alive(now: Milliseconds): readonly MemberEntry[];
  /** Number of members with a recent heartbeat that was received within `ms`. */
  countHeardWithin(ms: Milliseconds, now: Milliseconds): number;
  /** All members that have not been removed. */
  known(): readonly Member[];
  find(incarnation: Incarnation): Member | undefined;
}

/** Callbacks for members that are added and removed. */
export interface MemberEvents {
  joined(entry: MemberEntry): void;
  gone(entry: MemberEntry): void;
}

/** A removed incarnation; heartbeats up to `heartbeat` are ignored. */
interface EndedIncarnation {
  readonly heartbeat: number;
  readonly until: Milliseconds;
}

/** Creates an empty table; entries of `self` are ignored. */
export function createMemberTable(
  self: Incarnation,
  timeouts: MemberTimeouts,
  events: MemberEvents,
): MemberTable {
  const members = new Map<Incarnation, Member>();
  /** Removed incarnations, kept while other boxes may still relay them. */
  const ended = new Map<Incarnation, EndedIncarnation>();

  /** Removes a member; only a heartbeat above `heartbeat` adds it again. */
  const endIncarnation = (incarnation: Incarnation, heartbeat: number, now: Milliseconds) => {
    const member = members.get(incarnation);
    if (!member) return;
    members.delete(incarnation);
    ended.set(incarnation, { heartbeat, until: now + 2 * timeouts.removeAfterMs });
    events.gone(member.entry);
  };

  const applyEntry = (entry: MemberEntry, now: Milliseconds) => {
    const endedHeartbeat = ended.get(entry.incarnation)?.heartbeat ?? -1;
    if (entry.incarnation === self || entry.heartbeat <= endedHeartbeat) return;
    ended.delete(entry.incarnation);
    const known = members.get(entry.incarnation);
    if (known && entry.heartbeat <= known.entry.heartbeat) return;
    const leaving = entry.leaving || (known?.entry.leaving ?? false);
    members.set(entry.incarnation, { entry: { ...entry, leaving }, lastHeartbeatAt: now });
    if (!known) events.joined(entry);
  };

  return {
    merge(entries, now) {
      for (const entry of entries) applyEntry(entry, now);
    },
    applyDirect(entry, now) {
      for (const { entry: other } of [...members.values()]) {
        const isEarlierIncarnation =
          other.box === entry.box && other.incarnation !== entry.incarnation;
        if (isEarlierIncarnation) endIncarnation(other.incarnation, Infinity, now);
      }
      applyEntry(entry, now);
    },
    removeExpired(now) {
      for (const [incarnation, member] of [...members]) {
        // A later heartbeat adds the member again, for example after this box was isolated.
        if (now - member.lastHeartbeatAt > timeouts.removeAfterMs)
          endIncarnation(incarnation, member.entry.heartbeat, now);
      }
      for (const [incarnation, endedEntry] of [...ended]) {
        if (now > endedEntry.until) ended.delete(incarnation);
      }
    },
    alive: (now) =>
      [...members.values()]
        .filter((member) => now - member.lastHeartbeatAt <= timeouts.suspectAfterMs)
        .map((member) => member.entry)
        .sort((a, b) => (a.incarnation < b.incarnation ? -1 : 1)),
    countHeardWithin(ms, now) {
      const maxAgeMs = Math.min(ms, timeouts.suspectAfterMs);
      const isHeard = (member: Member) => now - member.lastHeartbeatAt <= maxAgeMs;
      return [...members.values()].filter(isHeard).length;
    },
    known: () => [...members.values()],
    find: (incarnation) => members.get(incarnation),
  };
}
