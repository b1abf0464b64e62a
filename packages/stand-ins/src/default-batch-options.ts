/** Speeds of the engine stand-ins where a test or the demo names no others. */
import type { BatchOptions } from "./engine-batch.js";

export const defaultBatchOptions: BatchOptions = {
  concurrency: 8,
  stepMs: 20,
  stepPerRequestMs: 1,
  prefillMsPerCharacter: 0.02,
  maxCachedPrefixes: 32,
  prefixCharacters: 512,
};
