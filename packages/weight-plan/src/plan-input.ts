/** Input and output types of the planner. */
import type { DeclaredModel, Milliseconds } from "@linkfall/types";
import type { DemandView, EngineView } from "./engine-view.js";

/** One swap on one engine: unloads the victims, then loads the model. */
export interface WeightMove {
  readonly engine: string;
  readonly model: string;
  readonly victims: readonly string[];
  readonly source: "memory" | "disk" | "store";
  /**
   * Why the model is loaded: requests are waiting for it, its replicas are overloaded, its callers
   * cannot wait for a load on demand, or no engine has its weights cached.
   */
  readonly reason: "waiting" | "demand" | "standby" | "unreachable";
}

/** Tuning parameters of the planner. */
export interface PlanRules {
  /** Target load per replica, as a fraction of the engine's capacity. */
  readonly targetReplicaLoad: number;
  /** Time horizon over which future requests for rarely used models are weighed. */
  readonly horizonMs: Milliseconds;
  /**
   * Weight of a refused request per second, compared with a running request above the target load; 0 plans by the load of
   * the model alone.
   */
  readonly refusalWeight: number;
  /**
   * Cost of evicting one of several replicas of a model before any demand is observed, divided by their number. Models are
   * placed on several engines because many requests are expected; the weights stay cached, which keeps a reload cheap.
   */
  readonly initialReplicaCostMs: Milliseconds;
}

export interface PlanInput {
  readonly engines: readonly EngineView[];
  readonly demand: ReadonlyMap<string, DemandView>;
  readonly models: ReadonlyMap<string, DeclaredModel>;
  /** Time over which demand has been observed. */
  readonly observedMs: Milliseconds;
  /** Weight store loads that the rate limit still allows. */
  readonly storeLoadBudget: number;
  readonly rules: PlanRules;
}
