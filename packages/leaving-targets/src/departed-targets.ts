/**
 * Remembers targets whose list entries disappeared while the store served the list, which is how a target leaves that has not
 * announced it, and replicates these departures between boxes. Unlike a notice of leaving, a departure ends when the
 * target is listed again: it may have been cut off from the store only.
 */
import type { Clock } from "@linkfall/kernel";
import {
  type Departure,
  type DepartureMessage,
  type Incarnation,
  isBehind,
  isSameIncarnation,
  type ListPosition,
  type Milliseconds,
} from "@linkfall/types";
import { createNoticeLog } from "./notice-log.js";

/** Whether this box read from the store that the entry had disappeared, or was told by another box. */
export type DepartureSource = "list" | "box";

/** What an entry of the list tells of its target's life. */
export interface ListEntry {
  readonly id: string;
  /** Number of heartbeats that its target had counted; absent if unknown. */
  readonly heartbeats?: number;
}

export interface DepartedTargets {
  /** Records a departure; ignored if the same or a later one of this incarnation is known. */
  record(departure: Departure, source: DepartureSource): void;
  /** Whether the incarnation that started at `born` has departed, and has not returned for certain. */
  hasDeparted(target: string, born: Milliseconds | undefined): boolean;
  /** Drops the departure of an incarnation of the target other than the one that started at `born`. */
  startIncarnation(target: string, born: Milliseconds | undefined): void;
  /**
   * Records that the list contains the target at this position; returns whether that ends a departure. It does if the
   * target has counted as many heartbeats since its last entry as must be missed before an entry lapses.
   */
  recordListed(entry: ListEntry, position: ListPosition): boolean;
  /** Records that the list does not contain the target. */
  recordUnlisted(target: string): void;
  /**
   * Ends the departures of targets that have been listed again for long enough, and returns their ids. An entry may also
   * come back with a write that was late or an older copy of the store; it then disappears again, unless the store is
   * unsettled.
   */
  confirmReturns(isSettled: boolean): readonly string[];
  /** Drops the departures of targets that have not been known for a while. */
  expire(isKnown: (target: string) => boolean): void;
  /** Returns the departures after a sequence number of this box, for another box to apply. */
  departuresSince(sequence: number): DepartureMessage;
  /** Applies departures from another box. */
  applyDepartures(from: Incarnation, message: DepartureMessage): void;
  /** Sequence number up to which the departures of another box have been applied. */
  appliedSequence(other: Incarnation): number;
  /** Calls the listener for each new departure. */
  onDeparture(listener: (departure: Departure, source: DepartureSource) => void): void;
}

/** An entry lapses after this many heartbeats of its target have been missed. */
const heartbeatsUntilLapse = 3;

/** Whether the entry was written by a target that had lived on after it had departed. */
function wasWrittenSince({ heartbeats: before }: Departure, { heartbeats }: ListEntry): boolean {
  if (before === undefined || heartbeats === undefined) return false;
  return heartbeats - before >= heartbeatsUntilLapse;
}

/** Creates a registry without departures; a target has returned once it has been listed again for `returnMs`. */
export function createDepartedTargets(clock: Clock, returnMs: Milliseconds): DepartedTargets {
  const log = createNoticeLog<Departure>(clock);
  const listeners: ((departure: Departure, source: DepartureSource) => void)[] = [];
  /** When departed targets were listed again; those in `returned` have stayed so for long enough. */
  const listedAgainAt = new Map<string, Milliseconds>();
  const returned = new Set<string>();

  const forgetReturn = (target: string) => {
    listedAgainAt.delete(target);
    returned.delete(target);
  };
  const isKnown = ({ target, born, position }: Departure, source: DepartureSource) => {
    const known = log.get(target);
    if (known === undefined) return false;
    if (isSameIncarnation(known.born, born)) return !isBehind(known.position, position);
    return source === "box" && (born ?? Infinity) < (known.born ?? -Infinity);
  };
  const record = (departure: Departure, source: DepartureSource) => {
    if (isKnown(departure, source)) return;
    log.add(departure);
    forgetReturn(departure.target);
    for (const listener of listeners) listener(departure, source);
  };

  return {
    record,
    hasDeparted(target, born) {
      const departure = log.get(target);
      if (departure === undefined || returned.has(target)) return false;
      return isSameIncarnation(departure.born, born);
    },
    startIncarnation(target, born) {
      const known = log.get(target)?.born;
      if (known !== undefined && known === born) return;
      log.delete(target);
      forgetReturn(target);
    },
    recordListed(entry, position) {
      const departure = log.get(entry.id);
      if (departure === undefined || returned.has(entry.id)) return false;
      if (!isBehind(departure.position, position)) return false;
      if (!listedAgainAt.has(entry.id)) listedAgainAt.set(entry.id, clock.now());
      if (!wasWrittenSince(departure, entry)) return false;
      returned.add(entry.id);
      return true;
    },
    recordUnlisted(target) {
      if (!returned.has(target)) listedAgainAt.delete(target);
    },
    confirmReturns(isSettled) {
      const now = clock.now();
      const confirmed: string[] = [];
      for (const [target, since] of listedAgainAt) {
        if (returned.has(target)) continue;
        if (!isSettled) listedAgainAt.set(target, now);
        else if (now - since >= returnMs) confirmed.push(target);
      }
      for (const target of confirmed) returned.add(target);
      return confirmed;
    },
    expire(isKnownTarget) {
      log.expire(isKnownTarget);
      for (const target of [...listedAgainAt.keys()]) if (!log.get(target)) forgetReturn(target);
    },
    departuresSince(sequence) {
      const { number, notices } = log.since(sequence);
      return { number, departures: notices.filter(({ target }) => !returned.has(target)) };
    },
    applyDepartures(from, { departures, number }) {
      for (const departure of departures) record(departure, "box");
      log.recordApplied(from, number);
    },
    appliedSequence: log.appliedSequence,
    onDeparture: (listener) => void listeners.push(listener),
  };
}
