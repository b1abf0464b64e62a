/** Speeds of the engine stand-ins where a test or the demo names no others. */
import type { BatchSpeeds } from "./engine-batch.js";

export const standardSpeeds: BatchSpeeds = {
  concurrency: 8,
  stepMs: 20,
  stepPerRequestMs: 1,
  prefillMsPerCharacter: 0.02,
  cachedPrefixes: 32,
  prefixCharacters: 512,
};
