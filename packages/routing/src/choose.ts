/** The policies by which one target is chosen. docs/design/routing.md gives their figures. */
import { pick, type Random } from "@linkfall/kernel";
import { nodeScore, hash32 } from "@linkfall/rendezvous";
import type { Milliseconds } from "@linkfall/types";
import { match } from "ts-pattern";

/** A target that could take the request. */
export interface Candidate {
  readonly target: string;
  readonly address: string;
  /** Requests in it for each place in its batch: reported, and sent since by this box. */
  readonly load: number;
  /** Time until a new request would begin to run. */
  readonly waitMs: Milliseconds;
}

export type RoutingPolicy = "random" | "round_robin" | "least_load" | "two_choices" | "affinity";

/** What a policy may look at besides the candidates. */
export interface ChoiceContext {
  readonly policy: RoutingPolicy;
  readonly random: Random;
  /** Number of choices made before, for round robin. */
  readonly turn: number;
  /** Requests with the same key want the same target. */
  readonly affinityKey: string;
  /** How much busier than the least busy a key's target may be, in requests for each place. */
  readonly affinitySlack: number;
}

function leastLoaded<C extends Candidate>(candidates: readonly C[]): C {
  return candidates.reduce((best, next) => (next.load < best.load ? next : best));
}

function twoChoices<C extends Candidate>(candidates: readonly C[], random: Random): C {
  const first = pick(random, candidates);
  const second = pick(random, candidates);
  return second.load < first.load ? second : first;
}

/** Among the targets that are hardly busier than the least busy, the one the key is drawn to most. */
function highestAffinity<C extends Candidate>(candidates: readonly C[], context: ChoiceContext): C {
  const maxLoad = leastLoaded(candidates).load + context.affinitySlack;
  const open = candidates.filter((candidate) => candidate.load <= maxLoad);
  const keyHash = hash32(context.affinityKey);
  let best = open[0];
  let bestScore = -1;
  for (const candidate of open) {
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
