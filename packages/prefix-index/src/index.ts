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
  note(query: PrefixQuery): void;
  /** Forgets everything of a model and its adapters. */
  drop(model: string): void;
}

interface Entry {
  readonly model: string;
  readonly tokens: number;
}

/** Key of each leading run of parts, shortest first. */
function chainKeys({ weights, parts }: PrefixQuery): readonly string[] {
  let key = weights;
  return parts.map((part) => (key = `${key},${part.id}`));
}

const modelOf = (weights: string) => weights.split("/", 1)[0];

/** Creates an index that holds up to `capacityTokens`, the longest unused going first. */
export function createPrefixIndex(capacityTokens: number): PrefixIndex {
  /** In the order of last use. */
  const entries = new Map<string, Entry>();
  let held = 0;

  const remove = (key: string, entry: Entry) => {
    entries.delete(key);
    held -= entry.tokens;
  };

  const evict = () => {
    for (const [key, entry] of entries) {
      if (held <= capacityTokens) return;
      remove(key, entry);
    }
  };

  return {
    cachedTokens(query) {
      let tokens = 0;
      for (const key of chainKeys(query)) {
        const entry = entries.get(key);
        if (!entry) break;
        tokens += entry.tokens;
      }
      return tokens;
    },
    note(query) {
      const keys = chainKeys(query);
      for (const [index, key] of keys.entries()) {
        const old = entries.get(key);
        if (old) remove(key, old);
        const entry = { model: modelOf(query.weights), tokens: query.parts[index].tokens };
        entries.set(key, entry);
        held += entry.tokens;
      }
      evict();
    },
    drop(model) {
      for (const [key, entry] of entries) {
        if (entry.model === model) remove(key, entry);
      }
    },
  };
}
