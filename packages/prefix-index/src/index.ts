/** What one engine probably keeps of prompts: a bounded memory of what was sent there, by weights. */
import type { PromptPart } from "@linkfall/types";

/** The parts of a prompt for one model and adapter. */
export interface PrefixQuery {
  /** `model` or `model/adapter`: a part is of use to the same weights only. */
  readonly weights: string;
  readonly parts: readonly PromptPart[];
}

export interface PrefixIndex {
  /** Leading tokens of the prompt that the engine probably keeps. */
  cachedTokens(query: PrefixQuery): number;
  /** Notes that the engine has read the prompt. */
  record(query: PrefixQuery): void;
  /** Forgets everything of a model and its adapters. */
  dropModel(model: string): void;
}

interface Entry {
  readonly model: string;
  readonly tokens: number;
}

/** Key of each leading run of parts, shortest first. */
function prefixKeys({ weights, parts }: PrefixQuery): readonly string[] {
  let key = weights;
  return parts.map((part) => (key = `${key},${part.id}`));
}

const modelOf = (weights: string) => weights.split("/", 1)[0];

/** Creates an index that holds up to `capacityTokens`, the longest unused going first. */
export function createPrefixIndex(capacityTokens: number): PrefixIndex {
  /** In the order of last use. */
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
        const old = entries.get(key);
        if (old) remove(key, old);
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
