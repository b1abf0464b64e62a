/** Routing policies that choose one target. See docs/design/routing.md. */
import { pick, type Random } from "@linkfall/kernel";
import { nodeScore, hash32 } from "@linkfall/rendezvous";
import type { Milliseconds } from "@linkfall/types";
import { match } from "ts-pattern";

/** A target that could serve the request. */
export interface Candidate {
  readonly target: string;
  readonly address: string;
  /** Requests per batch slot: reported ones, and those sent by this box since the report. */
  readonly load: number;
  /** Expected time until a new request would start to run. */
  readonly waitMs: Milliseconds;
}

export type RoutingPolicy = "random" | "round_robin" | "least_load" | "two_choices" | "affinity";

/** Inputs of a policy besides the candidates. */
export interface ChoiceContext {
  readonly policy: RoutingPolicy;
  readonly random: Random;
  /** Number of previous choices, used by round robin. */
  readonly turn: number;
  /** Requests with the same key are routed to the same target if possible. */
  readonly affinityKey: string;
  /** Maximum load of a key's target above the least loaded one, in requests per batch slot. */
  readonly affinitySlack: number;
}

function leastLoaded<C extends Candidate>(candidates: readonly C[]): C {
  return candidates.reduce((best, candidate) => (candidate.load < best.load ? candidate : best));
}

function twoChoices<C extends Candidate>(candidates: readonly C[], random: Random): C {
  const first = pick(random, candidates);
  const second = pick(random, candidates);
  return second.load < first.load ? second : first;
}

/** The target with the highest affinity to the key among those within the slack of the least loaded one. */
function highestAffinity<C extends Candidate>(candidates: readonly C[], context: ChoiceContext): C {
  const maxLoad = leastLoaded(candidates).load + context.affinitySlack;
  const eligible = candidates.filter((candidate) => candidate.load <= maxLoad);
  const keyHash = hash32(context.affinityKey);
  let best = eligible[0];
  let bestScore = -1;
  for (const candidate of eligible) {
    const score = nodeScore(keyHash, candidate.target);
    if (score > bestScore) [best, bestScore] = [candidate, score];
  }
  return best;
}

/** Chooses one of the candidates; there must be at least one. */
export function chooseTarget<C extends Candidate>(
  candidates: readonly C[],
  context: ChoiceContext,
): C {
  return match(context.policy)
    .with("random", () => pick(context.random, candidates))
    .with("round_robin", () => candidates[context.turn % candidates.length])
    .with("least_load", () => leastLoaded(candidates))
    .with("two_choices", () => twoChoices(candidates, context.random))
    .with("affinity", () => highestAffinity(candidates, context))
    .exhaustive();
}
