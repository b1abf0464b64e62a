/** What the steps of the fleet share. */
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { EngineSpec, EngineInventory, Milliseconds } from "@linkfall/types";
import type { TargetView } from "./target-view.js";
import type { EjectionPolicy } from "./health.js";

/** How long a target whose entry lapsed goes on being believed in. */
export interface LapsePolicy {
  /** After the store has come back, or after a lapse of many entries at once. */
  readonly graceMs: Milliseconds;
  /** Share of a service's entries that go within the grace to be taken for a lapse. */
  readonly minShare: number;
}

export interface FleetPolicies {
  readonly lapse: LapsePolicy;
  readonly ejection: EjectionPolicy;
}

export interface FleetState {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly policies: FleetPolicies;
  readonly targets: Map<string, TargetView>;
  /** Holdings that were told of before their target, or its life, was listed here. */
  readonly pendingHoldings: Map<string, EngineInventory>;
  readonly changeListeners: (() => void)[];
  /** Called with the id of a target that is gone or has started again. */
  readonly incarnationListeners: ((id: string) => void)[];
  engineShapes: ReadonlyMap<string, EngineSpec | undefined>;
  /** Whether engines' own word is fresh, so that the list is not believed about models. */
  hasDirectReports: () => boolean;
}

/** Tells that something changed that may let a waiting request go on. */
export function notifyChange(state: FleetState): void {
  for (const listener of state.changeListeners) listener();
}

export function targetsOfService(state: FleetState, service: string): readonly TargetView[] {
  return [...state.targets.values()].filter((belief) => belief.listed.service === service);
}
