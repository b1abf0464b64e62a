/** The folded state. It is identical on every box that has read up to the same offset. */
import type {
  Epoch,
  Fingerprint,
  HeldRequest,
  Incarnation,
  Milliseconds,
  Offset,
  Order,
  ResourceName,
  Revision,
  StoredResource,
} from "@linkfall/types";

/** The lease of one pool. */
export interface Lease {
  readonly pool: string;
  readonly epoch: Epoch;
  readonly holder: Incarnation;
  /** Peer address of the holder. */
  readonly holderAddress?: string;
  readonly leaseMs: Milliseconds;
  /** Offset of the newest claim or renewal; a competing claim must refer to it. */
  readonly touched: Offset;
  /** Whether the holder has released it. */
  readonly released: boolean;
}

/** An order to an engine without fencing, recorded before it is sent and not settled yet. */
export interface Intent {
  readonly pool: string;
  readonly order: Order;
  readonly offset: Offset;
}

/** The newest engine report that a settlement is based on; older reports must be ignored. */
export interface SettledThrough {
  readonly engineIncarnation: string;
  readonly sequence: number;
}

/** One accepted change, as listed in the audit trail. */
export interface AcceptedChange {
  readonly action: "put" | "delete";
  readonly subject: ResourceName;
  readonly oldRevision: Revision;
  /** Fields that differ from the previous revision; all fields of a new resource. */
  readonly fields: readonly string[];
}

/** One accepted write. */
export interface AcceptedWrite {
  readonly revision: Revision;
  readonly who: string;
  /** Wall-clock time at the box that accepted the write, ISO 8601; informational only. */
  readonly at: string;
  readonly changes: readonly AcceptedChange[];
}

/** Progress of the fold through the records of one writer incarnation. */
export interface WriterPosition {
  /** Highest sequence number folded. */
  readonly highest: number;
  /** Offset of its last record. */
  readonly offset: Offset;
}

/** A partially read snapshot. */
export interface SnapshotParts {
  readonly asOf: Offset;
  readonly count: number;
  readonly parts: Map<number, string>;
}

/** State of the fold. Mutable, to avoid copying thousands of resources for each record. */
export interface FoldedState {
  offset: Offset;
  readonly resources: Map<string, StoredResource>;
  readonly leases: Map<string, Lease>;
  readonly intents: Map<string, Intent>;
  readonly settledThrough: Map<string, SettledThrough>;
  readonly writers: Map<string, WriterPosition>;
  /** Requests that are or were held back, least recently updated first, bounded. */
  readonly heldRequests: Map<Fingerprint, HeldRequest>;
  /** The newest accepted writes, oldest first, bounded. */
  readonly history: AcceptedWrite[];
  /** Offset of the state in the newest complete snapshot in the log; 0 if there is none. */
  newestSnapshot: Offset;
}

/** Returns the state before the first record. */
export function emptyState(): FoldedState {
  return {
    offset: 0,
    resources: new Map(),
    leases: new Map(),
    intents: new Map(),
    settledThrough: new Map(),
    writers: new Map(),
    heldRequests: new Map(),
    history: [],
    newestSnapshot: 0,
  };
}
