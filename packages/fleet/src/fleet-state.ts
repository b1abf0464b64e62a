/** What the steps of the fleet share. */
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { EngineSpec, EngineInventory, Milliseconds } from "@linkfall/types";
import type { TargetBelief } from "./belief.js";
import type { EjectionRule } from "./health.js";

/** How long a target whose entry lapsed goes on being believed in. */
export interface LapseRule {
  /** After the store has come back, or after a lapse of many entries at once. */
  readonly graceMs: Milliseconds;
  /** Share of a service's entries that go within the grace to be taken for a lapse. */
  readonly share: number;
}

export interface FleetRules {
  readonly lapse: LapseRule;
  readonly ejection: EjectionRule;
}

export interface FleetState {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly rules: FleetRules;
  readonly beliefs: Map<string, TargetBelief>;
  /** Holdings that were told of before their target, or its life, was listed here. */
  readonly early: Map<string, EngineInventory>;
  readonly listeners: (() => void)[];
  /** Called with the id of a target that is gone or has started again. */
  readonly lifeListeners: ((id: string) => void)[];
  engines: ReadonlyMap<string, EngineSpec | undefined>;
  /** Whether engines' own word is fresh, so that the list is not believed about models. */
  ownWord: () => boolean;
}

/** Tells that something changed that may let a waiting request go on. */
export function noteChange(state: FleetState): void {
  for (const listener of state.listeners) listener();
}

export function targetsOf(state: FleetState, service: string): readonly TargetBelief[] {
  return [...state.beliefs.values()].filter((belief) => belief.listed.service === service);
}
