/** Chooses the target that is expected to answer first: a pure function over what one box believes. */
import type { Random } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** One target as the choice sees it. */
export interface Candidate {
  readonly id: string;
  readonly slots: number;
  /** Requests of all boxes there. */
  readonly inFlight: number;
  /** Prompt tokens there that are still to be read, of all boxes. */
  readonly queuedPromptTokens: number;
  /** Prompt tokens of this request that the target would have to read. */
  readonly uncachedTokens: number;
  /** Time that its streams wait from one event to the next now; 0 where this is not known. */
  readonly streamGapMs: Milliseconds;
  readonly sameDomain: boolean;
  readonly costs: WorkCosts;
}

/** What one unit of work costs, as measured. */
export interface WorkCosts {
  /** Reading one prompt token. */
  readonly perTokenMs: Milliseconds;
  /** Until the first bytes on a target with a free place, beside the reading. */
  readonly perRequestMs: Milliseconds;
  /** A whole answer: for so long a place is taken. */
  readonly perResponseMs: Milliseconds;
  /** Reaching another failure domain. */
  readonly crossDomainMs: Milliseconds;
}

/** A target with the time until it is expected to begin its answer. */
export interface Choice {
  readonly id: string;
  readonly expectedStartMs: Milliseconds;
}

/** Candidates within this of the best are as good as the best; the pick among them is random. */
const tieMs: Milliseconds = 2;
/** How much the requests that share a batch slow each other. */
const batchSlowdown = 0.1;

/** Time until the target is expected to begin its answer. */
export function estimateStartMs(candidate: Candidate): Milliseconds {
  const { costs } = candidate;
  const prefillMs = (candidate.queuedPromptTokens + candidate.uncachedTokens) * costs.perTokenMs;
  const freeSlots = Math.max(0, candidate.slots - candidate.inFlight);
  // With no place free, places become free one by one while answers end.
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

/** The target that is expected to answer first; `undefined` without candidates. */
export function chooseTarget(candidates: readonly Candidate[], random: Random): Choice | undefined {
  if (candidates.length === 0) return undefined;
  // Pauses tell of prompts that the target reads for other boxes, and each further prompt lengthens them.
  const ranked = candidates.map((candidate) => {
    const expected = estimateStartMs(candidate);
    return { id: candidate.id, expectedMs: expected, costMs: expected + candidate.streamGapMs };
  });
  const best = Math.min(...ranked.map(({ costMs }) => costMs));
  const tied = ranked.filter(({ costMs }) => costMs <= best + tieMs);
  const { id, expectedMs: chosenMs } = tied[random.nextInt(tied.length)];
  return { id, expectedStartMs: chosenMs };
}
