/** Converts crash records to and from the form in which boxes tell each other. */
import type {
  BlameRecord,
  Fingerprint,
  Incarnation,
  Milliseconds,
  SharedRecord,
} from "@linkfall/types";
import {
  addCrash,
  addHeldRequest,
  addServed,
  type BlameState,
  maxRequestsPerCrash,
  type RecordKey,
} from "./blame-state.js";
import { sharedTrait, type SharedTrait } from "./shared-trait.js";
import type { SharedInCrash, TargetCrash } from "./target-crash.js";

/** Order of the records of a message: what was served is only recorded for suspects of known crashes. */
const recordOrder: readonly RecordKey["kind"][] = ["crash", "served", "held"];

const ageAt = (now: Milliseconds, at: Milliseconds): Milliseconds =>
  Math.max(0, Math.round(now - at));

function toCrashRecord(crash: TargetCrash, now: Milliseconds): BlameRecord {
  const { target, service, at, requests, shared, targetsInUse } = crash;
  const records = [...shared.values()].map(({ kind, text, writingMs }): SharedRecord => [
    kind,
    text,
    Math.round(writingMs),
  ]);
  const suspects = { requests: [...requests], shared: records };
  return { kind: "end", target, service, targetsInUse, ageMs: ageAt(now, at), ...suspects };
}

function toRecord(
  { crashes, served, held }: BlameState,
  changed: RecordKey,
  now: Milliseconds,
): BlameRecord | undefined {
  switch (changed.kind) {
    case "crash": {
      const crash = crashes.get(changed.key);
      return crash && toCrashRecord(crash, now);
    }
    case "served": {
      const { suspect: request, by } = changed;
      const reported = served.get(request)?.get(by);
      if (!reported) return undefined;
      const count = Math.round(reported.count);
      return { kind: "served", request, ageMs: ageAt(now, reported.at), by, count };
    }
    case "held": {
      const word = held.get(changed.suspect);
      return word && { kind: "held", word };
    }
  }
}

/**
 * Returns the records that changed after a sequence number, in the form sent to other boxes; without those that the
 * recipient sent itself.
 */
export function recordsSince(
  state: BlameState,
  sequence: number,
  now: Milliseconds,
  recipient?: Incarnation,
): readonly BlameRecord[] {
  const changed = state.changes.changedSince(sequence, recipient);
  const ordered = recordOrder.flatMap((kind) => changed.filter((key) => key.kind === kind));
  return ordered.flatMap((key) => toRecord(state, key, now) ?? []);
}

/** What is known of the sender of a record and of the traits that it names. */
export interface RecordContext {
  readonly from: Incarnation;
  /** Fingerprint of a trait. */
  idOf(service: string, trait: SharedTrait): Fingerprint;
}

function toShared(
  { idOf }: RecordContext,
  service: string,
  records: readonly SharedRecord[] = [],
): ReadonlyMap<Fingerprint, SharedInCrash> {
  return new Map(
    records.slice(0, maxRequestsPerCrash).map(([kind, text, writingMs]) => {
      const trait = sharedTrait(kind, text);
      return [idOf(service, trait), { ...trait, writingMs }];
    }),
  );
}

/** Applies one record of another box; returns whether the state changed. */
export function applyRecord(
  state: BlameState,
  record: BlameRecord,
  now: Milliseconds,
  context: RecordContext,
): boolean {
  const { from } = context;
  switch (record.kind) {
    case "end": {
      const { target, service, ageMs, requests, targetsInUse } = record;
      const common = { target, service, targetsInUse, requests: new Set(requests) };
      const shared = toShared(context, service, record.shared);
      return addCrash(state, { ...common, at: now - ageMs, shared }, now, from);
    }
    case "served": {
      const { request, by = "", count = 1, ageMs } = record;
      return addServed(state, request, by, { count, at: now - ageMs }, from);
    }
    case "held":
      return addHeldRequest(state, record.word, now, from);
  }
}
