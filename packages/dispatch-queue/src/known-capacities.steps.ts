/**
 * Capacities that know the fake targets, so that a scenario shows the decisions of the queue alone. Durations of some kinds or
 * targets may be off by a factor, as if they were learned wrong.
 */
import type { TargetCapacities } from "@linkfall/target-capacity";
import type { TargetSpec } from "./virtual-service.steps.js";

export function knownCapacities(
  targets: readonly TargetSpec[],
  workMs: number,
  factors: ReadonlyMap<string, number> = new Map(),
): TargetCapacities {
  const specOf = (name: string) => targets[Number(name.slice(1)) - 1];
  return {
    observe: () => undefined,
    observeRejection: () => undefined,
    observeRunning: () => undefined,
    expectedMs(name, kind, amount, concurrency) {
      const { speed, slowBeyond } = specOf(name);
      const factor = factors.get(kind) ?? factors.get(name) ?? 1;
      return (factor * workMs * amount * (concurrency > slowBeyond ? 2 : 1)) / speed;
    },
    usefulConcurrency: (name, slots) => Math.min(slots, specOf(name).slowBeyond),
    relativeSpeed: (name) => specOf(name).speed,
    isProbeDue: () => false,
    forget: () => undefined,
    recordsSince: () => ({ sequence: 0, targets: [], kinds: [] }),
    applyRecords: () => undefined,
  };
}
