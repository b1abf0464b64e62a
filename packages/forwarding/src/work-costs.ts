/** Learns what requests cost at each target from the time until their first bytes. */
import type { WorkCosts } from "@linkfall/target-choice";
import type { Milliseconds } from "@linkfall/types";

export interface WorkCostMeter {
  /** Costs at a target; those of its service where little was seen of the target. */
  costsAt(service: string, target: string): WorkCosts;
  /** Takes the time to the first bytes of a request behind which `tokens` had to be read. */
  observeFirstBytes(service: string, target: string, tokens: number, tookMs: Milliseconds): void;
  /** Takes the time that a whole answer took. */
  observeResponse(service: string, target: string, tookMs: Milliseconds): void;
}

const serviceSmoothing = 0.03;
const targetSmoothing = 0.15;
/** Fewer tokens than this say more about a request's other costs than about reading. */
const minPrefillTokens = 500;
const minPerRequestMs = 1;
const maxPerRequestMs = 5_000;
const minPerTokenMs = 0.002;
const maxPerTokenMs = 0.2;
const maxTargets = 5_000;

type CostEstimate = { -readonly [Cost in keyof WorkCosts]: WorkCosts[Cost] };

const clamp = (value: number, min: number, max: number) => Math.min(max, Math.max(min, value));

/**
 * Moves an estimate towards the median of what is seen, by a share of itself. Means are no use here: one
 * answer that was held up by what this box cannot see would make ten quick ones look slow.
 */
function stepTowardsMedian(estimate: number, observed: number, smoothing: number): number {
  return estimate * (observed > estimate ? 1 + smoothing : 1 / (1 + smoothing));
}

function updateEstimate(
  estimate: CostEstimate,
  tokens: number,
  tookMs: Milliseconds,
  smoothing: number,
): void {
  if (tokens < minPrefillTokens) {
    const updated = stepTowardsMedian(estimate.perRequestMs, tookMs, smoothing);
    estimate.perRequestMs = clamp(updated, minPerRequestMs, maxPerRequestMs);
    return;
  }
  const perToken = (tookMs - estimate.perRequestMs) / tokens;
  const moved = stepTowardsMedian(estimate.perTokenMs, perToken, smoothing);
  estimate.perTokenMs = clamp(moved, minPerTokenMs, maxPerTokenMs);
}

/** Creates a meter that begins with the given costs. */
export function createWorkCostMeter(initial: WorkCosts): WorkCostMeter {
  const services = new Map<string, CostEstimate>();
  const targets = new Map<string, CostEstimate>();
  const serviceEstimate = (service: string): CostEstimate => {
    const known = services.get(service) ?? { ...initial };
    services.set(service, known);
    return known;
  };
  const targetEstimate = (service: string, target: string): CostEstimate => {
    const known = targets.get(target) ?? { ...serviceEstimate(service) };
    // Targets come and go; what was learnt longest ago is let go of first.
    targets.delete(target);
    targets.set(target, known);
    if (targets.size > maxTargets) targets.delete(targets.keys().next().value ?? "");
    return known;
  };
  return {
    costsAt: (service, target) => targets.get(target) ?? serviceEstimate(service),
    observeFirstBytes(service, target, tokens, tookMs) {
      updateEstimate(targetEstimate(service, target), tokens, tookMs, targetSmoothing);
      updateEstimate(serviceEstimate(service), tokens, tookMs, serviceSmoothing);
    },
    observeResponse(service, target, tookMs) {
      const known = targetEstimate(service, target);
      known.perResponseMs += targetSmoothing * (tookMs - known.perResponseMs);
      const whole = serviceEstimate(service);
      whole.perResponseMs += serviceSmoothing * (tookMs - whole.perResponseMs);
    },
  };
}
