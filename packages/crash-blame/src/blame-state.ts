/** The state of a box's blame book, and how records change it. */
import type { BlameRecord, Fingerprint, HeldRequest, Milliseconds } from "@linkfall/types";
import type { TargetEnd } from "./target-crash.js";

/** A record with the number of its last change. */
export interface Numbered<Value> {
  readonly value: Value;
  readonly number: number;
}

export interface BlameState {
  /** Oldest first. */
  ends: readonly Numbered<TargetEnd>[];
  /** When requests that stood under suspicion were last answered well. */
  readonly served: Map<Fingerprint, Numbered<Milliseconds>>;
  readonly held: Map<Fingerprint, Numbered<HeldRequest>>;
  /** Number of the newest change. */
  newest: number;
}

/** A target needs longer than this to come back, so that a second loss within it is of the same end. */
const sameEndMs: Milliseconds = 1_000;
/** An end says nothing any more after this time. */
const forgetEndsMs: Milliseconds = 3_600_000;
const mostEnds = 300;
/** Requests that are remembered of one end: more are never at work on a target at once. */
const mostRequests = 256;
const mostHeld = 1_000;

export function createBlameState(): BlameState {
  return { ends: [], served: new Map(), held: new Map(), newest: 0 };
}

function numbered<Value>(state: BlameState, value: Value): Numbered<Value> {
  state.newest += 1;
  return { value, number: state.newest };
}

function isSameEnd(one: TargetEnd, other: TargetEnd): boolean {
  return one.target === other.target && Math.abs(one.at - other.at) <= sameEndMs;
}

/** The end with what both tell of it; `known` itself where the other adds nothing. */
function joined(known: TargetEnd, told: TargetEnd): TargetEnd {
  const news = [...told.requests].filter((request) => !known.requests.has(request));
  if (news.length === 0 || known.requests.size >= mostRequests) return known;
  const requests = new Set([...known.requests, ...news].slice(0, mostRequests));
  return { ...known, at: Math.min(known.at, told.at), requests };
}

/** Takes an end; returns whether it was news. */
export function takeEnd(state: BlameState, told: TargetEnd, now: Milliseconds): boolean {
  const index = state.ends.findIndex(({ value }) => isSameEnd(value, told));
  if (index < 0) {
    const young = state.ends.filter(({ value }) => now - value.at < forgetEndsMs);
    state.ends = [...young, numbered(state, told)].slice(-mostEnds);
    return true;
  }
  const known = state.ends[index].value;
  const both = joined(known, told);
  if (both === known) return false;
  state.ends = state.ends.with(index, numbered(state, both));
  return true;
}

/** Takes that a request was answered well; nothing before that counts against it. */
export function takeServed(state: BlameState, request: Fingerprint, at: Milliseconds): boolean {
  if (at <= (state.served.get(request)?.value ?? -Infinity)) return false;
  const before = state.ends.some(({ value }) => value.at < at && value.requests.has(request));
  if (!before) return false;
  state.served.set(request, numbered(state, at));
  forgetOldest(state.served, mostEnds * mostRequests);
  return true;
}

/** Takes a word on a request that is held back or released; returns whether it was news. */
export function takeHeld(state: BlameState, word: HeldRequest): boolean {
  const known = state.held.get(word.request)?.value;
  if (known && known.revision >= word.revision) return false;
  state.held.delete(word.request);
  state.held.set(word.request, numbered(state, word));
  if (state.held.size > mostHeld) dropOneHeld(state);
  return true;
}

/**
 * Makes room: the oldest request of the account that has most of them goes, so that an account that sends many
 * different ones pushes out only its own.
 */
function dropOneHeld(state: BlameState): void {
  const byAccount = new Map<string, Fingerprint[]>();
  for (const { value } of state.held.values()) {
    const account = value.account ?? "";
    byAccount.set(account, [...(byAccount.get(account) ?? []), value.request]);
  }
  const [most] = [...byAccount.values()].sort((left, right) => right.length - left.length);
  state.held.delete(most[0]);
}

function forgetOldest(map: Map<unknown, unknown>, most: number): void {
  if (map.size > most) map.delete(map.keys().next().value);
}

/** Whether any target has ended under the request; most requests are told from suspects by this alone. */
export function isSuspect({ ends }: BlameState, request: Fingerprint): boolean {
  return ends.some(({ value }) => value.requests.has(request));
}

/** Ends that count against a request: those since it was last served, of which no request that is held back was part. */
export function openEnds(state: BlameState, request: Fingerprint): readonly TargetEnd[] {
  const servedAt = state.served.get(request)?.value ?? -Infinity;
  const isHeld = (one: Fingerprint) => state.held.get(one)?.value.held === true;
  return state.ends
    .map(({ value }) => value)
    .filter((end) => end.at > servedAt || !end.requests.has(request))
    .filter((end) => ![...end.requests].some(isHeld));
}

/** Everything that changed after the given number, as it is told to another box. */
export function recordsAfter(
  state: BlameState,
  number: number,
  now: Milliseconds,
): readonly BlameRecord[] {
  const isNew = (entry: { readonly number: number }) => entry.number > number;
  const ageMs = (at: Milliseconds) => Math.max(0, Math.round(now - at));
  const ends = state.ends.filter(isNew).map(({ value }): BlameRecord => {
    const { target, service, at, requests } = value;
    return { kind: "end", target, service, ageMs: ageMs(at), requests: [...requests] };
  });
  const served = [...state.served].filter(([, entry]) => isNew(entry));
  const held = [...state.held.values()].filter(isNew);
  return [
    ...ends,
    ...served.map(([request, { value }]): BlameRecord => {
      return { kind: "served", request, ageMs: ageMs(value) };
    }),
    ...held.map(({ value }): BlameRecord => ({ kind: "held", word: value })),
  ];
}

/** Takes one record of another box; returns whether it was news. */
export function takeRecord(state: BlameState, record: BlameRecord, now: Milliseconds): boolean {
  switch (record.kind) {
    case "end": {
      const { target, service, ageMs, requests } = record;
      const end = { target, service, at: now - ageMs, requests: new Set(requests) };
      return takeEnd(state, end, now);
    }
    case "served":
      return takeServed(state, record.request, now - record.ageMs);
    case "held":
      return takeHeld(state, record.word);
  }
}
