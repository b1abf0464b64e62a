/** Learns what requests of each service cost from the time until their first bytes. */
import type { WorkCosts } from "@linkfall/target-choice";
import type { Milliseconds } from "@linkfall/types";

export interface WorkCostMeter {
  of(service: string): WorkCosts;
  /** Takes the time to the first bytes of a request behind which `tokens` had to be read. */
  observe(service: string, tokens: number, tookMs: Milliseconds): void;
}

const weight = 0.05;
/** Fewer tokens than this say more about a request's other costs than about reading. */
const fewTokens = 500;
const leastPerTokenMs = 0.002;
const mostPerTokenMs = 0.2;

interface Learnt {
  perTokenMs: Milliseconds;
  perRequestMs: Milliseconds;
}

const between = (value: number, least: number, most: number) =>
  Math.min(most, Math.max(least, value));

/** Creates a meter that begins with the given costs. */
export function createWorkCostMeter(initial: WorkCosts): WorkCostMeter {
  const learnt = new Map<string, Learnt>();
  const find = (service: string): Learnt => {
    const known = learnt.get(service) ?? { ...initial };
    learnt.set(service, known);
    return known;
  };
  return {
    of: (service) => ({ ...find(service), crossDomainMs: initial.crossDomainMs }),
    observe(service, tokens, tookMs) {
      const costs = find(service);
      if (tokens < fewTokens) {
        costs.perRequestMs += weight * (tookMs - costs.perRequestMs);
        return;
      }
      const perToken = (tookMs - costs.perRequestMs) / tokens;
      const seen = between(perToken, leastPerTokenMs, mostPerTokenMs);
      costs.perTokenMs += weight * (seen - costs.perTokenMs);
    },
  };
}
