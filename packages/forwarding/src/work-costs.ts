/** Learns what requests cost at each target from the time until their first bytes. */
import type { WorkCosts } from "@linkfall/target-choice";
import type { Milliseconds } from "@linkfall/types";

export interface WorkCostMeter {
  /** Costs at a target; those of its service where little was seen of the target. */
  of(service: string, target: string): WorkCosts;
  /** Takes the time to the first bytes of a request behind which `tokens` had to be read. */
  observe(service: string, target: string, tokens: number, tookMs: Milliseconds): void;
  /** Takes the time that a whole answer took. */
  answered(service: string, target: string, tookMs: Milliseconds): void;
}

const serviceWeight = 0.03;
const targetWeight = 0.15;
/** Fewer tokens than this say more about a request's other costs than about reading. */
const fewTokens = 500;
const leastPerRequestMs = 1;
const mostPerRequestMs = 5_000;
const leastPerTokenMs = 0.002;
const mostPerTokenMs = 0.2;
const mostTargets = 5_000;

type Learnt = { -readonly [Cost in keyof WorkCosts]: WorkCosts[Cost] };

const between = (value: number, least: number, most: number) =>
  Math.min(most, Math.max(least, value));

/**
 * Moves an estimate towards the median of what is seen, by a share of itself. Means are no use here: one
 * answer that was held up by what this box cannot see would make ten quick ones look slow.
 */
function towardsMedian(estimate: number, seen: number, weight: number): number {
  return estimate * (seen > estimate ? 1 + weight : 1 / (1 + weight));
}

function learn(costs: Learnt, tokens: number, tookMs: Milliseconds, weight: number): void {
  if (tokens < fewTokens) {
    const moved = towardsMedian(costs.perRequestMs, tookMs, weight);
    costs.perRequestMs = between(moved, leastPerRequestMs, mostPerRequestMs);
    return;
  }
  const perToken = (tookMs - costs.perRequestMs) / tokens;
  const moved = towardsMedian(costs.perTokenMs, perToken, weight);
  costs.perTokenMs = between(moved, leastPerTokenMs, mostPerTokenMs);
}

/** Creates a meter that begins with the given costs. */
export function createWorkCostMeter(initial: WorkCosts): WorkCostMeter {
  const services = new Map<string, Learnt>();
  const targets = new Map<string, Learnt>();
  const ofService = (service: string): Learnt => {
    const known = services.get(service) ?? { ...initial };
    services.set(service, known);
    return known;
  };
  const ofTarget = (service: string, target: string): Learnt => {
    const known = targets.get(target) ?? { ...ofService(service) };
    // Targets come and go; what was learnt longest ago is let go of first.
    targets.delete(target);
    targets.set(target, known);
    if (targets.size > mostTargets) targets.delete(targets.keys().next().value ?? "");
    return known;
  };
  return {
    of: (service, target) => targets.get(target) ?? ofService(service),
    observe(service, target, tokens, tookMs) {
      learn(ofTarget(service, target), tokens, tookMs, targetWeight);
      learn(ofService(service), tokens, tookMs, serviceWeight);
    },
    answered(service, target, tookMs) {
      const known = ofTarget(service, target);
      known.perAnswerMs += targetWeight * (tookMs - known.perAnswerMs);
      const whole = ofService(service);
      whole.perAnswerMs += serviceWeight * (tookMs - whole.perAnswerMs);
    },
  };
}
