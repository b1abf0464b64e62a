/** Orders to engines and their replies. */
import type { Epoch, Mebibytes } from "./identifiers.js";
import type { EngineRole, ResourceName } from "./resources.js";

interface OrderBase {
  /** Unique; a repeat under the same identifier has no further effect. */
  readonly id: string;
  readonly engine: string;
  /**
   * The start of the engine that the order is meant for. An engine that has restarted refuses it,
   * so an order delayed over a restart cannot surprise its successor.
   */
  readonly engineIncarnation: string;
  readonly epoch: Epoch;
  /** Why the order was given; goes to the audit trail. */
  readonly cause: string;
}

/** Load an artifact into the memory of one accelerator. */
export interface LoadOrder extends OrderBase {
  readonly kind: "load";
  readonly artifact: string;
  readonly accelerator: number;
  readonly sizeMb: Mebibytes;
}

/** Free an artifact's memory, after the requests that run on it. */
export interface UnloadOrder extends OrderBase {
  readonly kind: "unload";
  readonly artifact: string;
  readonly accelerator: number;
  readonly sizeMb: Mebibytes;
}

/** Change the role of the engine. */
export interface RoleOrder extends OrderBase {
  readonly kind: "role";
  readonly role: EngineRole;
}

export type Order = LoadOrder | UnloadOrder | RoleOrder;

/** The engine's answer to an order. */
export type OrderReply =
  | { readonly kind: "accepted" }
  | { readonly kind: "stale_epoch"; readonly fence: Epoch }
  | { readonly kind: "refused"; readonly reason: string };

/** One step of the audit trail. */
export interface AuditEntry {
  /** Wall-clock time of the box that wrote it, ISO 8601; for people only. */
  readonly at: string;
  readonly who: string;
  readonly box: string;
  readonly action: string;
  readonly subject: ResourceName | { readonly kind: "order"; readonly name: string };
  readonly oldRevision: number;
  readonly newRevision: number;
  readonly detail: string;
}
