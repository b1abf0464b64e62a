/** Records of the state stream of the platform's log. Every box applies them in offset order. */
import type { HeldRequest } from "./crash-blame.js";
import type { Epoch, Incarnation, Milliseconds, Offset, Revision } from "./identifiers.js";
import type { Order } from "./orders.js";
import type { Resource, ResourceName } from "./resources.js";

/** A change of one resource, conditional on its current revision being `base`. */
export type Change =
  | { readonly action: "put"; readonly resource: Resource; readonly base: Revision }
  | { readonly action: "delete"; readonly name: ResourceName; readonly base: Revision };

interface RecordBase {
  /** `<incarnation>#<sequence>`; records with an id that was already applied are ignored. */
  readonly id: string;
}

/** A write of desired state; its changes are applied atomically. */
export interface WriteRecord extends RecordBase {
  readonly type: "write";
  readonly who: string;
  /** Wall-clock time of the box that accepted the write, ISO 8601; for display only. */
  readonly at: string;
  readonly changes: readonly Change[];
}

/** Claims the lease of a pool; accepted if `supersedes` is the newest claim or renewal. */
export interface ClaimRecord extends RecordBase {
  readonly type: "claim";
  readonly pool: string;
  readonly holder: Incarnation;
  /** Peer address of the claimant; boxes use it to find each other while the platform's list is unavailable. */
  readonly holderAddress?: string;
  /** Offset of the newest claim or renewal that the claimant has read; 0 if there is none. */
  readonly supersedes: Offset;
  readonly leaseMs: Milliseconds;
}

/** Renews the leases with the given epochs. */
export interface RenewRecord extends RecordBase {
  readonly type: "renew";
  readonly holder: Incarnation;
  readonly epochs: readonly Epoch[];
}

/** Releases the leases with the given epochs immediately. */
export interface ReleaseRecord extends RecordBase {
  readonly type: "release";
  readonly holder: Incarnation;
  readonly epochs: readonly Epoch[];
}

/** Orders to unfenced engines; they may be sent once the sender has read this record back. */
export interface IntentRecord extends RecordBase {
  readonly type: "intent";
  readonly pool: string;
  readonly epoch: Epoch;
  readonly orders: readonly Order[];
}

/** Reference to the report in which an engine listed an order as settled. */
export interface Settlement {
  readonly orderId: string;
  readonly engine: string;
  readonly engineIncarnation: string;
  readonly sequence: number;
}

/** Marks orders as settled: their effect has been reported, or they can no longer take effect. */
export interface SettledRecord extends RecordBase {
  readonly type: "settled";
  readonly pool: string;
  readonly settlements: readonly Settlement[];
}

/** Blocks or releases a request; the record with the highest revision wins. */
export interface HeldRecord extends RecordBase {
  readonly type: "held";
  readonly word: HeldRequest;
}

/** One part of a snapshot of the state at offset `asOf`. */
export interface SnapshotPartRecord extends RecordBase {
  readonly type: "snapshot";
  readonly snapshot: string;
  readonly asOf: Offset;
  readonly index: number;
  readonly count: number;
  readonly data: string;
}

export type StateRecord =
  | WriteRecord
  | ClaimRecord
  | RenewRecord
  | ReleaseRecord
  | IntentRecord
  | SettledRecord
  | HeldRecord
  | SnapshotPartRecord;

/** A record of any stream as stored in the log. */
export interface LogEntry {
  readonly offset: Offset;
  readonly data: string;
}
