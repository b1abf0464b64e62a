/** What a plan is made from, and what comes of it. */
import type { DeclaredModel, Milliseconds } from "@linkfall/types";
import type { EngineView, DemandView } from "./engine-view.js";

/** One swap on one engine: the victims go, then the model comes. */
export interface WeightMove {
  readonly engine: string;
  readonly model: string;
  readonly victims: readonly string[];
  readonly source: "memory" | "disk" | "store";
  /** Requests wait for it; its replicas are too few; its next requests could not wait for a load; or no
   * engine has it at hand. */
  readonly reason: "waiting" | "demand" | "standby" | "unreachable";
}

/** Settings of the plan. */
export interface PlanRules {
  /** Load that one replica is to carry, as a share of what an engine can do. */
  readonly targetReplicaLoad: number;
  /** Time over which the next request of a rare model is weighed. */
  readonly horizonMs: Milliseconds;
}

export interface PlanInput {
  readonly engines: readonly EngineView[];
  readonly demand: ReadonlyMap<string, DemandView>;
  readonly models: ReadonlyMap<string, DeclaredModel>;
  /** Time for which demand has been watched. */
  readonly observedMs: Milliseconds;
  /** Loads that the weight store's rate still permits now. */
  readonly storeLoadBudget: number;
  readonly rules: PlanRules;
}
