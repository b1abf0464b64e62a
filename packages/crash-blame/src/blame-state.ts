/** The crash records of a box, and how records from other boxes are merged into them. */
import type { Fingerprint, HeldRequest, Incarnation, Milliseconds } from "@linkfall/types";
import { type ChangeLog, createChangeLog } from "./change-log.js";
import { hasSuspect, type SharedInCrash, type TargetCrash } from "./target-crash.js";

/** How many requests with a suspect a box has served, and when it said so. */
export interface ReportedSuccesses {
  readonly count: number;
  readonly at: Milliseconds;
}

export interface BlameState {
  /** By a key of this box, in the order of their first reports. */
  readonly crashes: Map<string, TargetCrash>;
  /** Keys of the crashes with each suspect. */
  readonly crashesBySuspect: Map<Fingerprint, Set<string>>;
  /** Served requests with suspects of recorded crashes, by the box that served them. */
  readonly served: Map<Fingerprint, Map<Incarnation, ReportedSuccesses>>;
  /** Time at which an operator released a suspect; crashes before it don't count. */
  readonly releasedAt: Map<Fingerprint, Milliseconds>;
  /** What is held back or has been released, least recently changed first. */
  readonly held: Map<Fingerprint, HeldRequest>;
  readonly changes: ChangeLog<RecordKey>;
  /** Number of crashes so far, which makes their keys unique. */
  crashCount: number;
  /** Incremented when crashes or held requests change, but not by what is served. */
  decisiveChanges: number;
  /** Incremented when what has been served changes. */
  servedChanges: number;
}

/** Losses of a target within this time belong to one crash, since a restart takes longer. */
const sameCrashWindowMs: Milliseconds = 1_000;
/** Crashes are discarded after this time. */
const crashTtlMs: Milliseconds = 3_600_000;
const maxCrashes = 300;
/** More than the number of requests that run on a target at the same time. */
export const maxRequestsPerCrash = 256;
/** What was served of suspects without crashes is dropped beyond this number. */
const maxServedSuspects = 2_000;
/** Boxes whose served requests with one suspect are remembered. */
const maxReportersPerSuspect = 512;
const maxHeldRequests = 1_000;

export function createBlameState(): BlameState {
  return {
    crashes: new Map(),
    crashesBySuspect: new Map(),
    served: new Map(),
    releasedAt: new Map(),
    held: new Map(),
    changes: createChangeLog(),
    crashCount: 0,
    decisiveChanges: 0,
    servedChanges: 0,
  };
}

/** Kind of a record, and what identifies it among those of its kind. */
export type RecordKey =
  | { readonly kind: "crash"; readonly key: string }
  | { readonly kind: "served"; readonly suspect: Fingerprint; readonly by: Incarnation }
  | { readonly kind: "held"; readonly suspect: Fingerprint };

function recordId(key: RecordKey): string {
  switch (key.kind) {
    case "crash":
      return `crash ${key.key}`;
    case "served":
      return `served ${key.suspect} ${key.by}`;
    case "held":
      return `held ${key.suspect}`;
  }
}

/** Notes a change; `from` is the box that sent the record in exactly this form. */
function noteChange(state: BlameState, key: RecordKey, from?: Incarnation): void {
  state.changes.append(recordId(key), key, from);
  if (key.kind === "served") state.servedChanges += 1;
  else state.decisiveChanges += 1;
}

function storeCrash(state: BlameState, key: string, crash: TargetCrash): void {
  state.crashes.set(key, crash);
  const addKey = (suspect: Fingerprint) => {
    const keys = state.crashesBySuspect.get(suspect);
    if (keys) keys.add(key);
    else state.crashesBySuspect.set(suspect, new Set([key]));
  };
  for (const request of crash.requests) addKey(request);
  for (const trait of crash.shared.keys()) addKey(trait);
}

function dropCrash(state: BlameState, key: string, { requests, shared }: TargetCrash): void {
  state.crashes.delete(key);
  for (const suspect of [...requests, ...shared.keys()]) {
    const keys = state.crashesBySuspect.get(suspect);
    keys?.delete(key);
    if (keys?.size === 0) state.crashesBySuspect.delete(suspect);
  }
}

function isSameCrash(left: TargetCrash, right: TargetCrash): boolean {
  return left.target === right.target && Math.abs(left.at - right.at) <= sameCrashWindowMs;
}

/** The larger count is the earlier one: targets that crash together leave it one by one. */
function mostInUse(left: number | undefined, right: number | undefined): number | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return Math.max(left, right);
}

function mergeRequests(
  known: ReadonlySet<Fingerprint>,
  reported: ReadonlySet<Fingerprint>,
): ReadonlySet<Fingerprint> {
  const added = [...reported].filter((request) => !known.has(request));
  if (added.length === 0 || known.size >= maxRequestsPerCrash) return known;
  return new Set([...known, ...added].slice(0, maxRequestsPerCrash));
}

/** Of two reports of a shared trait the shorter time counts, since the request that had just begun is the more suspect one. */
function mergeShared(
  known: TargetCrash["shared"],
  reported: TargetCrash["shared"],
): TargetCrash["shared"] {
  const isNews = ([id, { writingMs }]: readonly [Fingerprint, SharedInCrash]) => {
    const earlier = known.get(id);
    return earlier ? writingMs < earlier.writingMs : known.size < maxRequestsPerCrash;
  };
  const news = [...reported].filter(isNews);
  return news.length === 0 ? known : new Map([...known, ...news]);
}

/** Merges two reports of one crash; returns `known` itself if `reported` adds nothing. */
function mergeCrash(known: TargetCrash, reported: TargetCrash): TargetCrash {
  const requests = mergeRequests(known.requests, reported.requests);
  const shared = mergeShared(known.shared, reported.shared);
  if (requests === known.requests && shared === known.shared) return known;
  const targetsInUse = mostInUse(known.targetsInUse, reported.targetsInUse);
  return { ...known, at: Math.min(known.at, reported.at), requests, shared, targetsInUse };
}

/** Drops crashes that are too old or too many, and what was served of suspects that no crash has any more. */
function dropOldCrashes(state: BlameState, now: Milliseconds): void {
  const { crashes, served } = state;
  const sizeBefore = crashes.size;
  for (const [key, crash] of crashes)
    if (now - crash.at >= crashTtlMs || crashes.size > maxCrashes) dropCrash(state, key, crash);
  if (crashes.size === sizeBefore || served.size <= maxServedSuspects) return;
  for (const suspect of [...served.keys()]) {
    if (!isSuspect(state, suspect)) served.delete(suspect);
  }
}

function findSameCrash(
  { crashes }: BlameState,
  reported: TargetCrash,
): readonly [string, TargetCrash] | undefined {
  for (const entry of crashes) if (isSameCrash(entry[1], reported)) return entry;
  return undefined;
}

/** Adds or merges a crash, which `from` has sent if it is given; returns whether the state changed. */
export function addCrash(
  state: BlameState,
  reported: TargetCrash,
  now: Milliseconds,
  from?: Incarnation,
): boolean {
  const known = findSameCrash(state, reported);
  if (!known) {
    state.crashCount += 1;
    const key = `${state.crashCount}`;
    storeCrash(state, key, reported);
    dropOldCrashes(state, now);
    noteChange(state, { kind: "crash", key }, from);
    return true;
  }
  const [key, crash] = known;
  const merged = mergeCrash(crash, reported);
  if (merged === crash) return false;
  storeCrash(state, key, merged);
  noteChange(state, { kind: "crash", key });
  return true;
}

/** Whether a suspect of the crash has been released since. */
export function isForgiven({ releasedAt }: BlameState, crash: TargetCrash): boolean {
  if (releasedAt.size === 0) return false;
  return [...releasedAt].some(([suspect, at]) => crash.at <= at && hasSuspect(crash, suspect));
}

/** Whether any crash with the suspect is recorded. */
export function isSuspect({ crashesBySuspect }: BlameState, suspect: Fingerprint): boolean {
  return crashesBySuspect.has(suspect);
}

/** Records how many requests with a suspect a box has served, as told by `from`; returns whether the state changed. */
export function addServed(
  state: BlameState,
  suspect: Fingerprint,
  by: Incarnation,
  reported: ReportedSuccesses,
  from?: Incarnation,
): boolean {
  if (!isSuspect(state, suspect)) return false;
  const reporters = state.served.get(suspect) ?? new Map<Incarnation, ReportedSuccesses>();
  const known = reporters.get(by);
  if (known && reported.count <= known.count) return false;
  state.served.set(suspect, reporters.set(by, reported));
  evictOldest(reporters, maxReportersPerSuspect);
  evictOldest(state.served, maxCrashes * maxRequestsPerCrash);
  noteChange(state, { kind: "served", suspect, by }, from);
  return true;
}

/** Sum of the served requests with a suspect that boxes other than `except` have reported. */
export function reportedServed(
  state: BlameState,
  suspect: Fingerprint,
  except?: Incarnation,
): number {
  const since = state.releasedAt.get(suspect) ?? -Infinity;
  let sum = 0;
  for (const [by, { at, count }] of state.served.get(suspect) ?? [])
    if (by !== except && at > since) sum += count;
  return sum;
}

/** Stores a held or released suspect unless a newer revision is known; returns whether the state changed. */
export function addHeldRequest(
  state: BlameState,
  heldRequest: HeldRequest,
  now: Milliseconds,
  from?: Incarnation,
): boolean {
  const known = state.held.get(heldRequest.request);
  if (known && known.revision >= heldRequest.revision) return false;
  // What it did before its release is forgiven, since the cause may have been fixed.
  if (!heldRequest.held) state.releasedAt.set(heldRequest.request, now);
  evictOldest(state.releasedAt, maxHeldRequests);
  state.held.delete(heldRequest.request);
  state.held.set(heldRequest.request, heldRequest);
  noteChange(state, { kind: "held", suspect: heldRequest.request }, from);
  if (state.held.size > maxHeldRequests) evictHeldRequest(state);
  return true;
}

/**
 * Evicts the oldest request of the account with the most entries, so that an account with many held requests cannot
 * evict those of others.
 */
function evictHeldRequest(state: BlameState): void {
  const byAccount = new Map<string, Fingerprint[]>();
  for (const { account = "", request } of state.held.values()) {
    byAccount.set(account, [...(byAccount.get(account) ?? []), request]);
  }
  const [largest] = [...byAccount.values()].sort((left, right) => right.length - left.length);
  state.held.delete(largest[0]);
}

function evictOldest(map: Map<unknown, unknown>, maxSize: number): void {
  if (map.size > maxSize) map.delete(map.keys().next().value);
}
