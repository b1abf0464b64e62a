/** Records of the state stream of the platform's log. Every box folds them in the order of offset. */
import type { HeldRequest } from "./crash-blame.js";
import type { Epoch, Incarnation, Milliseconds, Offset, Revision } from "./identifiers.js";
import type { Order } from "./orders.js";
import type { Resource, ResourceName } from "./resources.js";

/** One change of one resource, with the revision that it is based on. */
export type Change =
  | { readonly action: "put"; readonly resource: Resource; readonly base: Revision }
  | { readonly action: "delete"; readonly name: ResourceName; readonly base: Revision };

interface RecordBase {
  /** `<incarnation>#<sequence>`; a second record with the same id is dropped by the fold. */
  readonly id: string;
}

/** A write of desired state: all of its changes take effect, or none. */
export interface WriteRecord extends RecordBase {
  readonly type: "write";
  readonly who: string;
  /** Wall-clock time of the box that took the write, ISO 8601; for people only. */
  readonly at: string;
  readonly changes: readonly Change[];
}

/** Claims the lease of a pool; accepted when it names the newest claim or renewal. */
export interface ClaimRecord extends RecordBase {
  readonly type: "claim";
  readonly pool: string;
  readonly holder: Incarnation;
  /** Where other boxes reach the claimant: they find each other by it while the platform's list is out. */
  readonly holderAddress?: string;
  /** Offset of the newest claim or renewal that the claimant has read; 0 for the first. */
  readonly supersedes: Offset;
  readonly leaseMs: Milliseconds;
}

/** Renews every lease that the holder names, by epoch. */
export interface RenewRecord extends RecordBase {
  readonly type: "renew";
  readonly holder: Incarnation;
  readonly epochs: readonly Epoch[];
}

/** Gives leases up at once. */
export interface ReleaseRecord extends RecordBase {
  readonly type: "release";
  readonly holder: Incarnation;
  readonly epochs: readonly Epoch[];
}

/** Orders to unfenced engines that may be sent once this record has been read back. */
export interface IntentRecord extends RecordBase {
  readonly type: "intent";
  readonly pool: string;
  readonly epoch: Epoch;
  readonly orders: readonly Order[];
}

/** The report in which an engine showed an order as settled. */
export interface Settlement {
  readonly orderId: string;
  readonly engine: string;
  readonly engineIncarnation: string;
  readonly sequence: number;
}

/** Orders that can no longer take effect, or whose effect is in the engine's reports. */
export interface SettledRecord extends RecordBase {
  readonly type: "settled";
  readonly pool: string;
  readonly settlements: readonly Settlement[];
}

/** A request is held back, or released: the word with the higher revision stands. */
export interface HeldRecord extends RecordBase {
  readonly type: "held";
  readonly word: HeldRequest;
}

/** A part of a snapshot of the folded state as of `asOf`. */
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

/** A record of any stream as the log holds it. */
export interface LogEntry {
  readonly offset: Offset;
  readonly data: string;
}
