/** The policies by which one target is chosen. docs/design/routing.md gives their figures. */
import { pick, type Random } from "@linkfall/kernel";
import { affinity } from "@linkfall/rendezvous";
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
  /** A key stays with its target while that is at most so much busier than the others. */
  readonly affinityBound: number;
}

/** Load that is too small to matter when candidates are compared. */
const idleLoad = 0.5;

function leastLoaded<C extends Candidate>(candidates: readonly C[]): C {
  return candidates.reduce((best, next) => (next.load < best.load ? next : best));
}

function twoChoices<C extends Candidate>(candidates: readonly C[], random: Random): C {
  const first = pick(random, candidates);
  const second = pick(random, candidates);
  return second.load < first.load ? second : first;
}

/** The key's first target that is not much busier than the mean; with the load bounded so. */
function boundedAffinity<C extends Candidate>(candidates: readonly C[], context: ChoiceContext): C {
  const mean = candidates.reduce((sum, next) => sum + next.load, 0) / candidates.length;
  const bound = Math.max(idleLoad, mean * context.affinityBound);
  const open = candidates.filter((candidate) => candidate.load <= bound);
  if (open.length === 0) return leastLoaded(candidates);
  const key = context.affinityKey;
  return open.reduce((best, next) =>
    affinity(key, next.target) > affinity(key, best.target) ? next : best,
  );
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
    .with("affinity", () => boundedAffinity(candidates, context))
    .exhaustive();
}
