/**
 * Allocates places at fragile targets. Two bounds apply to each target: requests in flight stay within the room that
 * rejections have shown, and sends that may still be rejected count, like the rejections of the last second, against
 * the rejections that the target survives. The second bound holds even if the room shrinks without notice.
 */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { PlaceGrant, PlaceRequest } from "./messages.js";

interface Place {
  readonly expiresAt: Milliseconds;
  /** Number of places in use when this one was granted, itself included. */
  readonly level: number;
  /** Time after which the target would have rejected the request. */
  readonly exposedUntil: Milliseconds;
  exposed: boolean;
}

/** What is known of one target. */
interface TargetRoom {
  readonly places: Map<string, Place>;
  /** Time of the last request for a place. */
  askedAt: Milliseconds;
  /** Sends granted by other boxes that may still be rejected: when they no longer may. */
  foreignExposures: Milliseconds[];
  /** When the rejections no longer count. */
  rejectionEnds: Milliseconds[];
  /** Maximum number of places; infinite until a request is rejected. */
  window: number;
  /** Room that a rejection has shown; infinite before the first. Up to it, the window grows with each served request. */
  knownRoom: number;
  /** Number of places up to which requests are accepted, as far as is known; infinite before the first rejection. */
  accepted: number;
  /** Time of the last change of the window. */
  windowChangedAt: Milliseconds;
  /** Requests that have to wait are told to ask again one after the other, from this time. */
  nextAskAt: Milliseconds;
}

export interface PlaceAllocator {
  /** @param share fraction of the target's rejections that this allocator may cause */
  grant(request: PlaceRequest, share: number): PlaceGrant;
  /** Takes back the place that the request names. */
  end(request: PlaceRequest, share: number): void;
  /** Counts a place that another box has granted. */
  recordForeignGrant(target: string): void;
  /** Fills all targets slowly again, since other boxes may have granted places. */
  reset(): void;
  /** Fills a target slowly whose incarnation has ended. */
  restart(target: string): void;
  /** Forgets targets that no request has asked for in this time; they are filled slowly if they are asked for again. */
  expire(idleMs: Milliseconds): void;
  /** Number of targets that are known. */
  size(): number;
}

/** Time over which targets count their rejections. */
const rejectionPeriodMs: Milliseconds = 1_000;
/** Time within which a rejection is known to the allocator; a request without one has been accepted. */
const exposureMs: Milliseconds = 50;
/** Time since the first notice in which the target's room is the one that its present load has shown. */
const unchangedRoomMs: Milliseconds = 1_000;
/** Minimum time between two enlargements of the window beyond the room that a rejection has shown. */
const growthIntervalMs: Milliseconds = 2_000;
/** Part of the allowance that sends beyond the accepted room may use. */
const growthShare = 0.5;
/** Maximum number of targets; the oldest are dropped. */
const maxTargets = 5_000;

function createRoom(now: Milliseconds, window: number): TargetRoom {
  return {
    places: new Map(),
    askedAt: now,
    foreignExposures: [],
    rejectionEnds: [],
    window,
    knownRoom: Infinity,
    accepted: Infinity,
    windowChangedAt: now,
    nextAskAt: now,
  };
}

/** Drops what has expired; a place without a rejection in its time shows room. */
function refresh(room: TargetRoom, now: Milliseconds): void {
  for (const [id, place] of room.places) {
    if (place.exposed && place.exposedUntil <= now) {
      place.exposed = false;
      room.accepted = Math.max(room.accepted, place.level);
    }
    if (place.expiresAt <= now) room.places.delete(id);
  }
  room.foreignExposures = room.foreignExposures.filter((until) => until > now);
  room.rejectionEnds = room.rejectionEnds.filter((until) => until > now);
}

/** When each send and rejection stops counting against the allowance, in order. */
function usedAllowance(room: TargetRoom): readonly Milliseconds[] {
  const exposed = [...room.places.values()].filter((place) => place.exposed);
  const ends = [
    ...exposed.map((place) => place.exposedUntil),
    ...room.foreignExposures,
    ...room.rejectionEnds,
  ];
  return ends.sort((left, right) => left - right);
}

/** Number of sends and rejections that may count at a time; at least one, or nothing could ever be sent. */
function allowanceFor(room: TargetRoom, rejectionAllowance: number, share: number): number {
  const withinAcceptedRoom = room.places.size < room.accepted;
  const allowance = withinAcceptedRoom ? rejectionAllowance - 1 : rejectionAllowance * growthShare;
  return Math.max(1, Math.floor(allowance * share));
}

/** Enlarges a full window beyond the known room from time to time, unless the target survives no rejection. */
function growIfDue(room: TargetRoom, rejectionAllowance: number, now: Milliseconds): void {
  if (room.places.size < room.window || room.window < room.knownRoom) return;
  if (rejectionAllowance < 1 || now - room.windowChangedAt < growthIntervalMs) return;
  room.window += 1;
  room.knownRoom = room.window;
  room.windowChangedAt = now;
}

/** Tells when to ask again, if that is soon enough; those who wait ask one after the other. */
function askAgain(
  room: TargetRoom,
  freeAt: Milliseconds,
  allowance: number,
  { withinMs }: PlaceRequest,
  now: Milliseconds,
): PlaceGrant {
  const askAt = Math.max(freeAt, room.nextAskAt);
  if (askAt - now > withinMs) return { granted: false };
  room.nextAskAt = askAt + exposureMs / allowance;
  return { granted: false, askAgainMs: Math.ceil(askAt - now) };
}

function startSlowly(room: TargetRoom, now: Milliseconds): void {
  room.window = 1;
  room.accepted = 0;
  room.windowChangedAt = now;
}

/** A target that survives no rejection crashes in place of one. */
function recordLoss(room: TargetRoom, rejectionAllowance: number, now: Milliseconds): void {
  const isFirstLoss = room.window > 1;
  if (isFirstLoss && rejectionAllowance < 1)
    room.knownRoom = Math.max(1, Math.min(room.knownRoom, room.places.size));
  startSlowly(room, now);
}

function recordRejection(room: TargetRoom, share: number, now: Milliseconds): void {
  // A box with a part of the allowance below one rejection a second waits longer.
  room.rejectionEnds.push(now + rejectionPeriodMs / Math.min(1, share));
  room.window = Math.max(1, Math.min(room.window, room.places.size));
  room.knownRoom = room.window;
  room.accepted = Math.min(room.accepted, room.window);
  room.windowChangedAt = now;
}

function recordServed(room: TargetRoom, { level }: Place, now: Milliseconds): void {
  room.accepted = Math.max(room.accepted, Math.min(level, room.window));
  if (room.window >= room.knownRoom) return;
  room.window += 1;
  room.windowChangedAt = now;
}

/** Creates an allocator that knows no target. */
export function createPlaceAllocator(clock: Clock, newPlaceId: () => string): PlaceAllocator {
  const rooms = new Map<string, TargetRoom>();

  const roomOf = ({ target, knownForMs }: PlaceRequest): TargetRoom => {
    const existing = rooms.get(target);
    if (existing) return existing;
    // Of a target that has been fragile for longer, another box may know less room.
    const window = knownForMs < unchangedRoomMs ? Infinity : 1;
    const created = createRoom(clock.now(), window);
    if (rooms.size >= maxTargets) rooms.delete(rooms.keys().next().value ?? "");
    rooms.set(target, created);
    return created;
  };

  return {
    grant(request, share) {
      const now = clock.now();
      const room = roomOf(request);
      room.askedAt = now;
      refresh(room, now);
      growIfDue(room, request.rejectionAllowance, now);
      if (room.places.size >= room.window) return { granted: false };
      const allowance = allowanceFor(room, request.rejectionAllowance, share);
      const used = usedAllowance(room);
      if (used.length >= allowance)
        return askAgain(room, used[used.length - allowance], allowance, request, now);
      const place = newPlaceId();
      room.places.set(place, {
        expiresAt: now + request.holdMs,
        level: room.places.size + 1,
        exposedUntil: now + exposureMs,
        exposed: true,
      });
      return { granted: true, place };
    },
    end({ target, rejectionAllowance, ended }, share) {
      const room = rooms.get(target);
      const place = room?.places.get(ended?.place ?? "");
      if (!room || !place || !ended) return;
      const now = clock.now();
      const { result } = ended;
      room.places.delete(ended.place);
      if (result === "served") recordServed(room, place, now);
      if (result === "rejected") recordRejection(room, share, now);
      if (result === "lost") recordLoss(room, rejectionAllowance, now);
    },
    recordForeignGrant: (target) =>
      void rooms.get(target)?.foreignExposures.push(clock.now() + exposureMs),
    reset() {
      for (const room of rooms.values()) startSlowly(room, clock.now());
    },
    restart(target) {
      const room = rooms.get(target);
      if (!room) return;
      room.places.clear();
      startSlowly(room, clock.now());
    },
    expire(idleMs) {
      for (const [target, { askedAt }] of rooms)
        if (clock.now() - askedAt > idleMs) rooms.delete(target);
    },
    size: () => rooms.size,
  };
}
