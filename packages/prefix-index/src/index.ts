/** Estimates the contents of an engine's prefix cache from the prompts that were sent to it. */
import type { PromptPart } from "@linkfall/types";

/** The parts of a prompt for one model and adapter. */
export interface PrefixQuery {
  /** `model` or `model/adapter`; cached parts can be reused only with the same weights. */
  readonly weights: string;
  readonly parts: readonly PromptPart[];
}

export interface PrefixIndex {
  /** Number of leading tokens of the prompt that are probably cached. */
  cachedTokens(query: PrefixQuery): number;
  /** Records that the prompt was sent to the engine. */
  record(query: PrefixQuery): void;
  /** Removes all entries of a model and its adapters. */
  dropModel(model: string): void;
}

interface Entry {
  readonly model: string;
  readonly tokens: number;
}

/** Keys of all prefixes of the prompt, shortest first. */
function prefixKeys({ weights, parts }: PrefixQuery): readonly string[] {
  let key = weights;
  return parts.map((part) => (key = `${key},${part.id}`));
}

const modelOf = (weights: string) => weights.split("/", 1)[0];

/** Creates an index of up to `capacityTokens` with least-recently-used eviction. */
export function createPrefixIndex(capacityTokens: number): PrefixIndex {
  /** By prefix key, least recently used first. */
  const entries = new Map<string, Entry>();
  let indexedTokens = 0;

  const remove = (key: string, entry: Entry) => {
    entries.delete(key);
    indexedTokens -= entry.tokens;
  };

  const evict = () => {
    for (const [key, entry] of entries) {
      if (indexedTokens <= capacityTokens) return;
      remove(key, entry);
    }
  };

  return {
    cachedTokens(query) {
      let tokens = 0;
      for (const key of prefixKeys(query)) {
        const entry = entries.get(key);
        if (!entry) break;
        tokens += entry.tokens;
      }
      return tokens;
    },
    record(query) {
      const keys = prefixKeys(query);
      for (const [index, key] of keys.entries()) {
        const existing = entries.get(key);
        if (existing) remove(key, existing);
        const entry = { model: modelOf(query.weights), tokens: query.parts[index].tokens };
        entries.set(key, entry);
        indexedTokens += entry.tokens;
      }
      evict();
    },
    dropModel(model) {
      for (const [key, entry] of entries) {
        if (entry.model === model) remove(key, entry);
      }
    },
  };
}
