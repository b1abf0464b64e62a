/** Estimates of the waiting time and run time of a request. */
import type { Milliseconds } from "@linkfall/types";

const millisecondsPerSecond = 1000;

/** Load of an engine at the time of routing. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly concurrency: number;
  /** Requests sent by this box that the engine's report does not include yet. */
  readonly unreportedRequests: number;
  /** Smoothed duration of a request at the engine. */
  readonly meanServiceMs: Milliseconds;
}

/** Requests per batch slot. */
export function loadPerSlot(engine: EngineLoad): number {
  return (engine.running + engine.queued + engine.unreportedRequests) / engine.concurrency;
}

/** Expected time until a new request would get a batch slot. */
export function estimateWaitMs(engine: EngineLoad): Milliseconds {
  const requests = engine.running + engine.queued + engine.unreportedRequests;
  const ahead = requests + 1 - engine.concurrency;
  if (ahead <= 0) return 0;
  return (ahead * engine.meanServiceMs) / engine.concurrency;
}

/** Expected time to generate `tokens` in one stream. */
export function estimateRunMs(tokens: number, streamTokensPerSecond: number): Milliseconds {
  return (tokens * millisecondsPerSecond) / streamTokensPerSecond;
}
