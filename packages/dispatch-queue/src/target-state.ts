/** What the dispatcher knows of one target: the places that it has granted there and how many more fit. */
import type { Milliseconds } from "@linkfall/types";
import type { TargetCapacities } from "@linkfall/target-capacity";
import type { AdoptedLoad, DispatchEnd } from "./types.js";

/** A granted slot. */
export interface Place {
  readonly id: string;
  readonly target: TargetState;
  readonly box: string;
  readonly account: string;
  readonly kind: string;
  readonly grantedAt: Milliseconds;
  readonly expiresAt: Milliseconds;
  /** Prompt tokens that the target reads for it; 0 for plain services. */
  readonly tokens: number;
  readonly isStream: boolean;
  /** Delay of reports when it was granted, by which the elapsed time seen here exceeds that at the target. */
  readonly reportDelayMs: Milliseconds;
  /** When the work is thought to have begun; absent while the request waits in the target's own queue. */
  startedAt?: Milliseconds;
  /** Requests at work when this one began, itself included. */
  concurrency: number;
  /** Places of the same target that were granted later and have ended. */
  laterEnds: number;
  /** Its end was probably not reported; it doesn't count as in flight. */
  isUnreported: boolean;
}

export interface TargetState {
  readonly name: string;
  slots: number;
  /** Last time at which a request listed the target as a candidate. */
  listedAt: Milliseconds;
  /** In the order in which they were granted. */
  readonly places: Map<string, Place>;
  /** Places whose end was probably not reported; they don't count as in flight. */
  unreported: number;
  adopted: AdoptedLoad;
  adoptedAt: Milliseconds;
  /** After a rejection by the target: the number of requests that it had accepted, and until when this binds. */
  acceptedBound: number;
  acceptedBoundUntil: Milliseconds;
  /** Mean expected work of the requests that were granted a place, whatever their kind. */
  grantedWorkMs: Milliseconds | undefined;
  /** Kind of the last request that was granted a place. */
  lastKind: string;
  /** Requests planned for this target in the current pass over the queue. */
  planned: number;
  /** Whether the target looks slow and should get one request that shows whether it still is. */
  isProbeDue: boolean;
  /** Changes when the target was observed. */
  observations: number;
  readonly profiles: Map<string, TargetProfile>;
}

/** What has been learned of a target for one kind of request. */
export interface TargetProfile {
  readonly readAt: Milliseconds;
  readonly observations: number;
  /** Requests at a time that the target serves without losing throughput. */
  readonly useful: number;
  /** Expected duration of the work on a request at this concurrency. */
  readonly workMs: Milliseconds;
  /** Requests that have ended at the target, or haven't reached it, on average, while it is busy. */
  readonly underWay: number;
  /** Requests that may be in flight: those at work, and those that keep the target busy while ends are being reported. */
  readonly limit: number;
  /** Factor by which expected durations were divided. */
  readonly pace: number;
  /** Shorter expected durations are taken for errors. */
  readonly minWorkMs: Milliseconds;
  /** Expected durations by concurrency. */
  readonly workMsAt: Milliseconds[];
}

/** What is measured of the whole service. */
export interface ServiceMeasures {
  readonly reportDelayMs: Milliseconds;
  /** Work done per work promised by the learned capacities. */
  readonly pace: number;
  /** Shorter expected durations are taken for errors. */
  readonly minWorkMs: Milliseconds;
}

/** Learned values are read again after this time, and after each observation of the target. */
const cacheMs: Milliseconds = 50;
/** Loads granted by others before this dispatcher began have ended by then. */
const adoptedFadeMs: Milliseconds = 2_000;
/** Requests of others end within a few times their expected duration. */
const adoptedDurations = 4;
/** Time for which a target's rejection bounds what it is sent; its own queue drains within this time. */
const rejectionBoundMs: Milliseconds = 200;
/**
 * A place whose end is overdue by this factor, while twice as many later places as the target serves at a time have ended,
 * has probably ended without a report. With exponential work one in fifty of them still runs.
 */
const unreportedFactor = 4;
/** Upper bound for the requests in a target's own queue that cover the round trip, as a part of its slots. */
const maxCoverShare = 1;
const grantedWorkSmoothing = 0.1;
/** Routes of one service; beyond them, the profiles are read anew. */
const maxKinds = 100;

export function createTargetState(name: string, slots: number, now: Milliseconds): TargetState {
  return {
    name,
    slots,
    listedAt: now,
    places: new Map(),
    unreported: 0,
    adopted: { inFlight: 0, promptTokens: 0 },
    adoptedAt: -Infinity,
    acceptedBound: Infinity,
    acceptedBoundUntil: -Infinity,
    grantedWorkMs: undefined,
    lastKind: "",
    planned: 0,
    isProbeDue: false,
    observations: 0,
    profiles: new Map(),
  };
}

/** Returns what is learned of the target, which is read again after a while and after each observation. */
export function profileOf(
  target: TargetState,
  capacities: TargetCapacities,
  kind: string,
  { reportDelayMs, pace, minWorkMs }: ServiceMeasures,
  now: Milliseconds,
): TargetProfile {
  const known = target.profiles.get(kind);
  if (known && known.observations === target.observations && now - known.readAt < cacheMs)
    return known;
  const { name, slots, observations } = target;
  const useful = Math.max(1, Math.min(slots, capacities.usefulConcurrency(name, slots)));
  const expectedMs = capacities.expectedMs(name, kind, 1, Math.ceil(useful)) / pace;
  const workMs = Math.max(1, minWorkMs, expectedMs);
  const underWay = (useful * reportDelayMs) / (target.grantedWorkMs ?? workMs);
  // A target that has slots beyond its useful concurrency would serve the excess at once, and lose throughput.
  const cover =
    useful < slots ? Math.round(underWay) : Math.ceil(underWay + Math.sqrt(underWay) / 2);
  const profile: TargetProfile = {
    readAt: now,
    observations,
    useful,
    workMs,
    underWay,
    limit: useful + Math.min(cover, slots * maxCoverShare),
    pace,
    minWorkMs,
    workMsAt: [],
  };
  if (target.profiles.size >= maxKinds) target.profiles.clear();
  target.profiles.set(kind, profile);
  return profile;
}

/** Expected duration of the work on one request of a plain service at this concurrency. */
export function workMsAt(
  target: TargetState,
  profile: TargetProfile,
  capacities: TargetCapacities,
  kind: string,
  concurrency: number,
): Milliseconds {
  const level = Math.max(1, Math.min(target.slots, Math.ceil(concurrency)));
  return (profile.workMsAt[level] ??= Math.max(
    1,
    profile.minWorkMs,
    capacities.expectedMs(target.name, kind, 1, level) / profile.pace,
  ));
}

/** Fraction of the adopted load that is still in flight. */
export function adoptedShare(target: TargetState, work: Milliseconds, now: Milliseconds): number {
  const fadeMs = Math.min(adoptedFadeMs, adoptedDurations * work);
  return Math.max(0, 1 - (now - target.adoptedAt) / fadeMs);
}

/** Requests that count as in flight. */
export function inFlight(target: TargetState, work: Milliseconds, now: Milliseconds): number {
  const granted = target.places.size - target.unreported;
  if (target.adopted.inFlight === 0) return granted;
  return granted + target.adopted.inFlight * adoptedShare(target, work, now);
}

/** Requests that may be in flight; after a rejection by the target, no more than it had accepted. */
export function placeLimit(
  target: TargetState,
  { limit }: TargetProfile,
  now: Milliseconds,
): number {
  return now < target.acceptedBoundUntil ? Math.min(limit, target.acceptedBound) : limit;
}

/** Adds a place; the work begins at once if a slot of the target is free. */
export function addPlace(place: Place, workMs: Milliseconds): void {
  const { target } = place;
  const mean = target.grantedWorkMs ?? workMs;
  target.grantedWorkMs = mean + grantedWorkSmoothing * (workMs - mean);
  const started = startedCount(target);
  target.places.set(place.id, place);
  target.lastKind = place.kind;
  if (started >= target.slots) return;
  place.startedAt = place.grantedAt;
  place.concurrency = started + 1;
}

function startedCount(target: TargetState): number {
  let started = 0;
  for (const { startedAt, isUnreported } of target.places.values())
    if (startedAt !== undefined && !isUnreported) started += 1;
  return started;
}

/** Removes a place; the first request in the target's own queue begins. Returns the duration of the work if it is known. */
export function removePlace(place: Place, end: DispatchEnd | undefined, now: Milliseconds) {
  const { target } = place;
  target.places.delete(place.id);
  // Times of ends are compared as the box measured them from the grant, without the delay of the report.
  const endedAt = end ? Math.min(now, place.grantedAt + end.ms) : now;
  for (const other of target.places.values()) {
    if (other.grantedAt >= place.grantedAt) break;
    other.laterEnds += 1;
  }
  if (place.isUnreported) target.unreported -= 1;
  else startNext(target, endedAt);
  return place.startedAt === undefined ? undefined : endedAt - place.startedAt;
}

function startNext(target: TargetState, freedAt: Milliseconds): void {
  if (startedCount(target) >= target.slots) return;
  for (const place of target.places.values()) {
    if (place.startedAt !== undefined || place.isUnreported) continue;
    place.startedAt = Math.max(place.grantedAt, freedAt);
    place.concurrency = target.slots;
    return;
  }
}

/** Finds the places whose end was probably not reported; the requests in the target's own queue have begun instead. */
export function findUnreported(
  target: TargetState,
  profile: (kind: string) => TargetProfile,
  now: Milliseconds,
): void {
  for (const place of target.places.values()) {
    if (place.isUnreported || place.laterEnds < 2) continue;
    const { useful, workMs } = profile(place.kind);
    if (place.laterEnds < 2 * useful || now - place.grantedAt <= unreportedFactor * workMs)
      continue;
    place.isUnreported = true;
    target.unreported += 1;
    startNext(target, now);
  }
}

/** The target rejected a request: it gets no more than it has accepted until its own queue has drained. */
export function bindToAccepted(target: TargetState, now: Milliseconds): void {
  target.acceptedBound = Math.max(1, target.places.size);
  target.acceptedBoundUntil = now + rejectionBoundMs;
}
