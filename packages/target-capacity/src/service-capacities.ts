/** What is learned of the targets of one service, which are compared with each other. */
import type { Milliseconds } from "@linkfall/types";
import { createObserverDelays, type ObserverDelays } from "./observer-delays.js";
import type { TargetState } from "./target-state.js";
import { createWorkCostEstimate, type WorkCostEstimate, type WorkCosts } from "./work-costs.js";

/** Routes of a service come from its configuration; the bound protects against names in error. */
const maxKinds = 256;
/** Age of the median up to which it is used again: the speeds of half of the targets don't change within it. */
const medianAgeMs: Milliseconds = 100;

export interface ServiceState {
  readonly name: string;
  readonly targets: Map<string, TargetState>;
  readonly kinds: ReadonlyMap<string, WorkCostEstimate>;
  readonly delays: ObserverDelays;
  costsOf(kind: string): WorkCostEstimate;
  /** Whether no target is tried with half of its slots; at most one is, since the others have to take its load. */
  mayTryHalf(now: Milliseconds): boolean;
  /** Median slowness of the targets. */
  medianSlowness(now: Milliseconds): number;
}

export function createServiceState(
  name: string,
  initialCosts: (kind: string) => WorkCosts,
): ServiceState {
  const targets = new Map<string, TargetState>();
  const kinds = new Map<string, WorkCostEstimate>();
  let median = 0;
  let medianAt: Milliseconds = -Infinity;
  return {
    name,
    targets,
    kinds,
    delays: createObserverDelays(),
    costsOf(kind) {
      const known = kinds.get(kind);
      if (known) return known;
      const created = createWorkCostEstimate(initialCosts(kind));
      kinds.set(kind, created);
      if (kinds.size > maxKinds) kinds.delete(kinds.keys().next().value ?? "");
      return created;
    },
    mayTryHalf(now) {
      for (const target of targets.values()) if (target.isTryingHalf(now)) return false;
      return targets.size > 1;
    },
    medianSlowness(now) {
      if (now - medianAt < medianAgeMs) return median;
      const values: number[] = [];
      for (const { slowness } of targets.values()) values.push(slowness.value());
      values.sort((a, b) => a - b);
      const { length } = values;
      median = length === 0 ? 0 : (values[(length - 1) >> 1] + values[length >> 1]) / 2;
      medianAt = now;
      return median;
    },
  };
}
