/** State shared by the modules of the fleet. */
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { DepartedTargets, LeavingTargets } from "@linkfall/leaving-targets";
import type { EngineSpec, EngineInventory, ListedTarget, Milliseconds } from "@linkfall/types";
import type { Rest } from "./rests.js";
import type { TargetView } from "./target-view.js";
import type { EjectionPolicy } from "./health.js";

/** How long targets are kept after their entries disappear from the list. */
export interface LapsePolicy {
  /** Grace period after an entry disappears; it does not end while the list is unsettled. */
  readonly graceMs: Milliseconds;
  /** Share of a service's entries, 0 to 1, that must disappear within the grace period to count as a lapse of the list. */
  readonly minShare: number;
  /** Time for which a departed target must have been listed again before it gets requests. */
  readonly returnMs: Milliseconds;
}

/** Settings of the fleet. */
export interface FleetPolicies {
  readonly lapse: LapsePolicy;
  readonly ejection: EjectionPolicy;
}

/** Mutable state of one fleet. */
export interface FleetState {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly policies: FleetPolicies;
  readonly targets: Map<string, TargetView>;
  /** Targets that have said in a response that they are leaving. */
  readonly leavingTargets: LeavingTargets;
  /** Targets whose entries disappeared while the store served the list. */
  readonly departedTargets: DepartedTargets;
  /** Rests that targets have asked for, by target id. */
  readonly rests: Map<string, Rest>;
  /** Relayed holdings of targets, or of incarnations, that are not listed yet, by target id. */
  readonly pendingHoldings: Map<string, EngineInventory>;
  readonly changeListeners: (() => void)[];
  /** Called with each list entry that is applied. */
  readonly listedListeners: ((listed: ListedTarget) => void)[];
  /** Called with the id of a target that is gone or has restarted. */
  readonly incarnationListeners: ((id: string) => void)[];
  engineShapes: ReadonlyMap<string, EngineSpec | undefined>;
  /** Whether the engines' own reports are up to date, in which case the models of the list are ignored. */
  hasDirectReports: () => boolean;
}

/** Notifies listeners of a change that may allow a waiting request to proceed. */
export function notifyChange(state: FleetState): void {
  for (const listener of state.changeListeners) listener();
}

/** Returns the targets of a service, listed or missing. */
export function targetsOfService(state: FleetState, service: string): readonly TargetView[] {
  return [...state.targets.values()].filter((target) => target.listed.service === service);
}
