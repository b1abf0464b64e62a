/** Default timing, concurrency and cache size of simulated engines. */
import type { BatchOptions } from "./engine-batch.js";

export const defaultBatchOptions: BatchOptions = {
  concurrency: 8,
  stepMs: 20,
  stepPerRequestMs: 1,
  prefillMsPerCharacter: 0.02,
  maxCachedPrefixes: 32,
  prefixCharacters: 512,
};
