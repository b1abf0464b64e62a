/** What the planner is given, and what it answers. */
import type { AcceleratorLedger } from "@linkfall/ledger";
import type { Adapter, Engine, EngineRole, Mebibytes, Model } from "@linkfall/types";

/** An engine as the holder of its pool sees it. */
export interface EngineView {
  readonly engine: Engine;
  readonly accelerators: readonly AcceleratorLedger[];
  readonly role: EngineRole;
  readonly roleChangePending: boolean;
  /** Whether it can be given orders now. */
  readonly acceptsOrders: boolean;
  /** Whether its replicas count: it has reported lately and is not leaving. */
  readonly available: boolean;
  /** Requests in it for each place in its batch, smoothed; above 1 requests wait. */
  readonly utilisation: number;
}

/** A model with what is known of its use. */
export interface ModelView {
  readonly model: Model;
  readonly adapters: readonly Adapter[];
  /** This model's share of the pool's demand, from 0 to 1. */
  readonly demandShare: number;
  /** Whether the model's spare replicas were moved too short a time ago. */
  readonly coolingDown: boolean;
}

/** Weights and limits of one plan. */
export interface PlanLimits {
  readonly attainmentWeight: number;
  readonly movesWeight: number;
  /** False until no other holder's order can take effect anywhere in the pool. */
  readonly mayUnload: boolean;
  /** Moves of spare replicas that the rate limit still allows. */
  readonly demandMoveBudget: number;
}

export interface PoolView {
  readonly engines: readonly EngineView[];
  readonly models: readonly ModelView[];
  readonly limits: PlanLimits;
}

/** Why a move is made, most urgent first. */
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

/** What to do next, most urgent first, and which models have no place. */
export interface Plan {
  readonly moves: readonly Move[];
  readonly unplaceable: readonly string[];
}
