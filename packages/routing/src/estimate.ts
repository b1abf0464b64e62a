/** Estimates of how long a request will wait and run. */
import type { Milliseconds } from "@linkfall/types";

const millisecondsPerSecond = 1000;

/** What is known of an engine when a request is to be sent there. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly concurrency: number;
  /** Requests that this box has sent and that the report cannot show yet. */
  readonly sentSince: number;
  /** Smoothed time from start to end of a request there. */
  readonly serviceMs: Milliseconds;
}

/** Requests for each place in the batch. */
export function loadOf(engine: EngineLoad): number {
  return (engine.running + engine.queued + engine.sentSince) / engine.concurrency;
}

/** Time until a new request would get a place in the batch. */
export function estimateWait(engine: EngineLoad): Milliseconds {
  const requests = engine.running + engine.queued + engine.sentSince;
  const ahead = requests + 1 - engine.concurrency;
  if (ahead <= 0) return 0;
  return (ahead * engine.serviceMs) / engine.concurrency;
}

/** Time to generate `tokens` in one stream. */
export function estimateRun(tokens: number, streamTokensPerSecond: number): Milliseconds {
  return (tokens * millisecondsPerSecond) / streamTokensPerSecond;
}
