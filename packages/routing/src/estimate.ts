/** Estimates of how long a request will wait and run. */
import type { Milliseconds } from "@linkfall/types";

const millisecondsPerSecond = 1000;

/** What is known of an engine when a request is to be sent there. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly concurrency: number;
  /** Requests that this box has sent and that the report cannot show yet. */
  readonly unreportedRequests: number;
  /** Smoothed time from start to end of a request there. */
  readonly meanServiceMs: Milliseconds;
}

/** Requests for each place in the batch. */
export function loadPerSlot(engine: EngineLoad): number {
  return (engine.running + engine.queued + engine.unreportedRequests) / engine.concurrency;
}

/** Time until a new request would get a place in the batch. */
export function estimateWaitMs(engine: EngineLoad): Milliseconds {
  const requests = engine.running + engine.queued + engine.unreportedRequests;
  const ahead = requests + 1 - engine.concurrency;
  if (ahead <= 0) return 0;
  return (ahead * engine.meanServiceMs) / engine.concurrency;
}

/** Time to generate `tokens` in one stream. */
export function estimateRunMs(tokens: number, streamTokensPerSecond: number): Milliseconds {
  return (tokens * millisecondsPerSecond) / streamTokensPerSecond;
}
