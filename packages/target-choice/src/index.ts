/** Chooses the target with the earliest expected response: a pure function over one box's view of its targets. */
export * from "./sampling.js";
import type { Random } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** A target that could serve a request. */
export interface Candidate {
  readonly id: string;
  readonly slots: number;
  /** Requests in flight at the target, from all boxes. */
  readonly inFlight: number;
  /** Prompt tokens queued for prefill at the target, from all boxes. */
  readonly queuedPromptTokens: number;
  /** Prompt tokens of this request that are not in the target's prefix cache. */
  readonly uncachedTokens: number;
  /** Recent gap between events of the target's streams; 0 if unknown. */
  readonly streamGapMs: Milliseconds;
  readonly sameDomain: boolean;
  readonly costs: WorkCosts;
}

/** Estimated costs of the parts of a request at a target. */
export interface WorkCosts {
  /** Prefill of one prompt token. */
  readonly perTokenMs: Milliseconds;
  /** Time to the first bytes on a target with a free slot, without the prefill. */
  readonly perRequestMs: Milliseconds;
  /** Duration of a complete response, during which it occupies a slot. */
  readonly perResponseMs: Milliseconds;
  /** Network latency to a target in another failure domain. */
  readonly crossDomainMs: Milliseconds;
}

/** The chosen target and the expected time until its response starts. */
export interface Choice {
  readonly id: string;
  readonly expectedStartMs: Milliseconds;
}

/** Candidates whose cost is within this of the best are chosen from at random. */
const tieMs: Milliseconds = 2;
/** Delay caused by a full batch, as a fraction of the response duration. */
const batchSlowdown = 0.1;

/** Expected time until the target starts its response. */
export function estimateStartMs(candidate: Candidate): Milliseconds {
  const { costs } = candidate;
  const prefillMs = (candidate.queuedPromptTokens + candidate.uncachedTokens) * costs.perTokenMs;
  const freeSlots = Math.max(0, candidate.slots - candidate.inFlight);
  // Without a free slot, the request waits for the requests ahead of it to complete.
  const slotWaitRounds =
    freeSlots > 0 ? 0 : (candidate.inFlight - candidate.slots + 1) / candidate.slots;
  const batchDelayMs = (candidate.inFlight / candidate.slots) * batchSlowdown * costs.perResponseMs;
  const crossDomainMs = candidate.sameDomain ? 0 : costs.crossDomainMs;
  return (
    prefillMs +
    slotWaitRounds * costs.perResponseMs +
    batchDelayMs +
    costs.perRequestMs +
    crossDomainMs
  );
}

/** Chooses the candidate with the lowest cost; returns `undefined` without candidates. */
export function chooseTarget(candidates: readonly Candidate[], random: Random): Choice | undefined {
  if (candidates.length === 0) return undefined;
  // Stream gaps reveal prefills for other boxes that this box's view does not include yet, and each further prompt lengthens
  // them.
  const ranked = candidates.map((candidate) => {
    const startMs = estimateStartMs(candidate);
    return { id: candidate.id, startMs, costMs: startMs + candidate.streamGapMs };
  });
  const best = Math.min(...ranked.map(({ costMs }) => costMs));
  const tied = ranked.filter(({ costMs }) => costMs <= best + tieMs);
  const { id, startMs } = tied[random.nextInt(tied.length)];
  return { id, expectedStartMs: startMs };
}
