/** Estimates the costs of requests at each target from observed response times. */
import type { WorkCosts } from "@linkfall/target-choice";
import type { Milliseconds } from "@linkfall/types";

export interface WorkCostMeter {
  /** Costs at a target, or those of its service if the target has no observations. */
  costsAt(service: string, target: string): WorkCosts;
  /** Records the time to the first response bytes of a request that waited for the prefill of `tokens` tokens. */
  observeFirstBytes(
    service: string,
    target: string,
    tokens: number,
    durationMs: Milliseconds,
  ): void;
  /** Records the duration of a complete response. */
  observeResponse(service: string, target: string, durationMs: Milliseconds): void;
}

const serviceSmoothing = 0.03;
const targetSmoothing = 0.15;
/** Minimum number of tokens to attribute the time to the prefill; below, it updates the fixed cost of a request. */
const minPrefillTokens = 500;
const minPerRequestMs = 1;
const maxPerRequestMs = 5_000;
const minPerTokenMs = 0.002;
const maxPerTokenMs = 0.2;
const maxTargets = 5_000;

type CostEstimate = { -readonly [Cost in keyof WorkCosts]: WorkCosts[Cost] };

const clamp = (value: number, min: number, max: number) => Math.min(max, Math.max(min, value));

/**
 * Moves an estimate towards the median by a relative step. With a mean, one response that was delayed by something this box
 * cannot see would make ten fast ones look slow.
 */
function stepTowardsMedian(estimate: number, observed: number, smoothing: number): number {
  return estimate * (observed > estimate ? 1 + smoothing : 1 / (1 + smoothing));
}

function updateEstimate(
  estimate: CostEstimate,
  tokens: number,
  durationMs: Milliseconds,
  smoothing: number,
): void {
  if (tokens < minPrefillTokens) {
    const updated = stepTowardsMedian(estimate.perRequestMs, durationMs, smoothing);
    estimate.perRequestMs = clamp(updated, minPerRequestMs, maxPerRequestMs);
    return;
  }
  const perToken = (durationMs - estimate.perRequestMs) / tokens;
  const updated = stepTowardsMedian(estimate.perTokenMs, perToken, smoothing);
  estimate.perTokenMs = clamp(updated, minPerTokenMs, maxPerTokenMs);
}

/** Creates a meter with the given initial costs. */
export function createWorkCostMeter(initial: WorkCosts): WorkCostMeter {
  const services = new Map<string, CostEstimate>();
  const targets = new Map<string, CostEstimate>();
  const serviceEstimate = (service: string): CostEstimate => {
    const estimate = services.get(service) ?? { ...initial };
    services.set(service, estimate);
    return estimate;
  };
  const targetEstimate = (service: string, target: string): CostEstimate => {
    const estimate = targets.get(target) ?? { ...serviceEstimate(service) };
    // Evicts the least recently updated target, since targets are replaced over time.
    targets.delete(target);
    targets.set(target, estimate);
    if (targets.size > maxTargets) targets.delete(targets.keys().next().value ?? "");
    return estimate;
  };
  return {
    costsAt: (service, target) => targets.get(target) ?? serviceEstimate(service),
    observeFirstBytes(service, target, tokens, durationMs) {
      updateEstimate(targetEstimate(service, target), tokens, durationMs, targetSmoothing);
      updateEstimate(serviceEstimate(service), tokens, durationMs, serviceSmoothing);
    },
    observeResponse(service, target, durationMs) {
      const ofTarget = targetEstimate(service, target);
      ofTarget.perResponseMs += targetSmoothing * (durationMs - ofTarget.perResponseMs);
      const ofService = serviceEstimate(service);
      ofService.perResponseMs += serviceSmoothing * (durationMs - ofService.perResponseMs);
    },
  };
}
