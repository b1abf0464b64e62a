/** Input and output types of the planner. */
import type { AcceleratorLedger } from "@linkfall/ledger";
import type { Adapter, Engine, EngineRole, Mebibytes, Model } from "@linkfall/types";

/** State of one engine, as known to the lease holder of its pool. */
export interface EngineView {
  readonly engine: Engine;
  readonly accelerators: readonly AcceleratorLedger[];
  readonly role: EngineRole;
  readonly roleChangePending: boolean;
  /** Whether the engine can receive orders now. */
  readonly acceptsOrders: boolean;
  /** Whether its replicas count as serving: it has reported recently and is not leaving. */
  readonly available: boolean;
  /** Running and queued requests per batch slot, smoothed; requests are queued above 1. */
  readonly utilisation: number;
}

/** A model with its adapters and demand. */
export interface ModelView {
  readonly model: Model;
  readonly adapters: readonly Adapter[];
  /** Share of the pool's demand, from 0 to 1. */
  readonly demandShare: number;
  /** Whether replicas of the model were moved too recently to move again. */
  readonly coolingDown: boolean;
}

/** Weights and limits of a plan. */
export interface PlanLimits {
  readonly attainmentWeight: number;
  readonly movesWeight: number;
  /** False while an order of another lease holder may still take effect anywhere in the pool. */
  readonly mayUnload: boolean;
  /** Demand-driven moves that the rate limit still allows. */
  readonly demandMoveBudget: number;
}

export interface PoolView {
  readonly engines: readonly EngineView[];
  readonly models: readonly ModelView[];
  readonly limits: PlanLimits;
}

/** Reasons for a move, most urgent first. */
export const moveCauses = [
  "reachability",
  "min_replicas",
  "adapter",
  "make_room",
  "new_version",
  "old_version",
  "undeclared",
  "role",
  "demand",
] as const;
export type MoveCause = (typeof moveCauses)[number];

interface ArtifactMove {
  readonly engine: string;
  readonly accelerator: number;
  readonly artifact: string;
  readonly sizeMb: Mebibytes;
  readonly cause: MoveCause;
}

export type Move =
  | ({ readonly kind: "load" } & ArtifactMove)
  | ({ readonly kind: "unload" } & ArtifactMove)
  | {
      readonly kind: "role";
      readonly engine: string;
      readonly role: EngineRole;
      readonly cause: MoveCause;
    };

/** Moves to make next, most urgent first, and models that fit nowhere. */
export interface Plan {
  readonly moves: readonly Move[];
  readonly unplaceable: readonly string[];
}
