/**
 * Target selection for boxes that choose alone with load data of other boxes that is older than a response. All boxes then see
 * the same target as the least loaded one and send to it together, until newer data shows it overloaded.
 */
import type { Random } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { type Candidate, type Choice, chooseTarget, estimateStartMs } from "./index.js";

export type SamplingMethod = "correcting" | "spare_capacity" | "two_choices";

/** What a box knows of the age of its load data. */
export interface LoadData {
  /** Age of the other boxes' part of the load. */
  readonly ageMs: Milliseconds;
  readonly method?: SamplingMethod;
  /** Requests at a time that each target handles well; its slots if absent. */
  readonly usefulConcurrency?: (candidate: Candidate) => number;
}

/** Weight of a target without spare capacity: its load has most probably changed since the data was sent. */
const minSpareShare = 0.02;
/** Share of its part that a target gets at least, since its load has most probably changed since the data was sent. */
const minShare = 0.1;
/**
 * A faster correction is repeated by all boxes before any sees its effect, a slower one leaves queues standing. The 99th
 * percentile of queueing in sampling.feature at 0.85 and 0.95 of the capacity: 207 and 318 ms at 0.5, 187 and 321 ms at 1,
 * 186 and 378 ms at 2.
 */
const correctionAges = 1;
/**
 * Candidates that start this much later than the best, beyond what waiting for a slot explains, are not sampled: their
 * prompt would have to be read anew, or their queue of prompts is long. Half of a response is gained back by a free slot.
 */
const maxExtraResponses = 0.5;

const spareOf = ({ slots, inFlight }: Candidate, useful: number): number =>
  Math.max(minSpareShare * slots, Math.min(slots, useful) - inFlight);

/**
 * Probabilities by which the requests of all boxes correct within `correctionAges` times the age of the load data what it shows:
 * each target gets its share of the capacity, plus what it lacks of its share of the load. Little's law gives the rate of
 * requests. With spare capacity itself as the weight, a target that looks idle would get several times what it lacks.
 */
function correctingWeights(
  candidates: readonly Candidate[],
  ageMs: Milliseconds,
  usefulConcurrency: (candidate: Candidate) => number,
): number[] {
  const capacities = candidates.map(
    (candidate) => usefulConcurrency(candidate) / candidate.costs.perResponseMs,
  );
  const capacity = capacities.reduce((sum, one) => sum + one, 0);
  const load = candidates.reduce((sum, { inFlight }) => sum + inFlight, 0);
  return candidates.map(({ inFlight, costs }, index) => {
    const share = capacities[index] / capacity;
    const lacking = load === 0 ? 0 : share - inFlight / load;
    const gain = Math.min(1, costs.perResponseMs / (correctionAges * ageMs));
    return Math.max(minShare * share, share + gain * lacking);
  });
}

/** Expected start without the wait for a slot, which the load data is too old to tell. */
function startWithFreeSlotMs(candidate: Candidate): Milliseconds {
  const inFlight = Math.min(candidate.inFlight, candidate.slots - 1);
  return estimateStartMs({ ...candidate, inFlight });
}

function sample(candidates: readonly Candidate[], weights: readonly number[], random: Random) {
  let left = random.nextFloat() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, candidate] of candidates.entries()) {
    left -= weights[index];
    if (left < 0) return candidate;
  }
  return candidates[candidates.length - 1];
}

/**
 * Chooses at random with probabilities proportional to spare capacity if the load data is older than a response, else
 * like `chooseTarget`. Targets where the prompt would start much later are left out, so that prefix affinity counts as
 * it does with fresh data.
 */
export function chooseBySampling(
  candidates: readonly Candidate[],
  { ageMs, method = "correcting", usefulConcurrency = ({ slots }) => slots }: LoadData,
  random: Random,
): Choice | undefined {
  if (candidates.length === 0) return undefined;
  const responseMs = Math.min(...candidates.map(({ costs }) => costs.perResponseMs));
  if (ageMs <= responseMs) return chooseTarget(candidates, random);
  const costs = candidates.map(
    (candidate) => startWithFreeSlotMs(candidate) + candidate.streamGapMs,
  );
  const maxCostMs = Math.min(...costs) + maxExtraResponses * responseMs;
  const near = candidates.filter((_candidate, index) => costs[index] <= maxCostMs);
  const weights =
    method === "correcting"
      ? correctingWeights(near, ageMs, usefulConcurrency)
      : near.map(
          (candidate) =>
            spareOf(candidate, usefulConcurrency(candidate)) / candidate.costs.perResponseMs,
        );
  const chosen = method === "two_choices" ? sampleTwo(near, random) : sample(near, weights, random);
  return { id: chosen.id, expectedStartMs: estimateStartMs(chosen) };
}

/** The less loaded of two random candidates. */
function sampleTwo(near: readonly Candidate[], random: Random): Candidate {
  const one = near[random.nextInt(near.length)];
  const other = near[random.nextInt(near.length)];
  return estimateStartMs(other) < estimateStartMs(one) ? other : one;
}
