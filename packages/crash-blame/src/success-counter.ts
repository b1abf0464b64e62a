/** Counts how often requests with a trait have been served by this box, in bounded memory. */
import type { Fingerprint, Milliseconds } from "@linkfall/types";
import { type SharedTrait, traitFingerprint } from "./shared-trait.js";

interface Entry {
  readonly key: string;
  readonly id: Fingerprint;
  count: number;
  /** Time up to which the count has decayed. */
  at: Milliseconds;
}

/**
 * Counts lose half of their weight in this time until the trait is suspected, so that one can turn bad. From then on they keep
 * it, as crashes do.
 */
const halfLifeMs: Milliseconds = 60_000;
/** Traits that are seen once do not displace those that have been served repeatedly. */
const maxNewTraits = 4_096;
const maxRepeatedTraits = 8_192;
const repeatedCount = 2;

/** What is left of a count that was taken `ageMs` ago. */
const decayed = (count: number, ageMs: Milliseconds): number =>
  count * 0.5 ** (Math.max(0, ageMs) / halfLifeMs);

export interface SuccessCounter {
  /** Fingerprint of the trait; hashed once as long as the trait is remembered. */
  idOf(service: string, trait: SharedTrait): Fingerprint;
  /** Counts a served request with the trait. */
  record(service: string, trait: SharedTrait): Fingerprint;
  /** The present count; 0 for an unknown trait. */
  countOf(id: Fingerprint): number;
}

/** Entries in the order of their last use; the least recently used one is dropped beyond the maximum. */
function createRecentEntries(maxSize: number, onDropped: (entry: Entry) => void) {
  const entries = new Map<string, Entry>();
  return {
    get: (key: string) => entries.get(key),
    remove: (key: string) => void entries.delete(key),
    use(entry: Entry) {
      entries.delete(entry.key);
      entries.set(entry.key, entry);
      if (entries.size <= maxSize) return;
      const [[oldestKey, oldest]] = entries;
      entries.delete(oldestKey);
      onDropped(oldest);
    },
  };
}

/** Creates a counter without any records; `isSuspected` tells whether any crash with the trait is recorded. */
export function createSuccessCounter(
  now: () => Milliseconds,
  isSuspected: (id: Fingerprint) => boolean,
): SuccessCounter {
  const byId = new Map<Fingerprint, Entry>();
  const forget = ({ id }: Entry) => void byId.delete(id);
  const newTraits = createRecentEntries(maxNewTraits, forget);
  const repeatedTraits = createRecentEntries(maxRepeatedTraits, forget);

  const entryOf = (service: string, trait: SharedTrait): Entry => {
    const key = `${service}\n${trait.kind}\n${trait.text}`;
    const known = repeatedTraits.get(key) ?? newTraits.get(key);
    if (known) return known;
    const entry = { key, id: traitFingerprint(service, trait), count: 0, at: 0 };
    byId.set(entry.id, entry);
    newTraits.use(entry);
    return entry;
  };

  const bringUpToDate = (entry: Entry) => {
    const at = now();
    if (!isSuspected(entry.id)) entry.count = decayed(entry.count, at - entry.at);
    entry.at = at;
  };

  return {
    idOf: (service, trait) => entryOf(service, trait).id,
    record(service, trait) {
      const entry = entryOf(service, trait);
      bringUpToDate(entry);
      entry.count += 1;
      if (entry.count >= repeatedCount) newTraits.remove(entry.key);
      (entry.count >= repeatedCount || repeatedTraits.get(entry.key)
        ? repeatedTraits
        : newTraits
      ).use(entry);
      return entry.id;
    },
    countOf(id) {
      const entry = byId.get(id);
      if (!entry) return 0;
      bringUpToDate(entry);
      return entry.count;
    },
  };
}
