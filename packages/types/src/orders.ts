/** Orders to engines, their replies, and entries of the audit trail. */
import type { Epoch, Mebibytes } from "./identifiers.js";
import type { EngineRole, ResourceName } from "./resources.js";

interface OrderBase {
  /** Unique; an engine carries out an order at most once per identifier. */
  readonly id: string;
  readonly engine: string;
  /**
   * Incarnation of the engine that the order is addressed to. A restarted engine refuses it, which
   * keeps a delayed order from reaching a later incarnation.
   */
  readonly engineIncarnation: string;
  readonly epoch: Epoch;
  /** Reason for the order, recorded in the audit trail. */
  readonly cause: string;
}

/** Load an artifact into the memory of one accelerator. */
export interface LoadOrder extends OrderBase {
  readonly kind: "load";
  readonly artifact: string;
  readonly accelerator: number;
  readonly sizeMb: Mebibytes;
}

/** Unload an artifact once the requests that use it have finished. */
export interface UnloadOrder extends OrderBase {
  readonly kind: "unload";
  readonly artifact: string;
  readonly accelerator: number;
  readonly sizeMb: Mebibytes;
}

export interface RoleOrder extends OrderBase {
  readonly kind: "role";
  readonly role: EngineRole;
}

export type Order = LoadOrder | UnloadOrder | RoleOrder;

/** An engine's reply to an order. */
export type OrderReply =
  | { readonly kind: "accepted" }
  | { readonly kind: "stale_epoch"; readonly fence: Epoch }
  | { readonly kind: "refused"; readonly reason: string };

/** One entry of the audit trail. */
export interface AuditEntry {
  /** Wall-clock time of the box that wrote the entry, ISO 8601; for display only. */
  readonly at: string;
  readonly who: string;
  readonly box: string;
  readonly action: string;
  readonly subject: ResourceName | { readonly kind: "order"; readonly name: string };
  readonly oldRevision: number;
  readonly newRevision: number;
  readonly detail: string;
}
