/** The folded state. It is the same on every box that has read as far. */
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
  /** Where other boxes reach the holder. */
  readonly holderAddress?: string;
  readonly leaseMs: Milliseconds;
  /** Offset of the newest claim or renewal; a rival's claim must name it. */
  readonly touched: Offset;
  /** Whether the holder gave it up. */
  readonly released: boolean;
}

/** An order to an unfenced engine that may still arrive there. */
export interface Intent {
  readonly pool: string;
  readonly order: Order;
  readonly offset: Offset;
}

/** The newest report of an engine on which a settlement rests. Older ones must not be used. */
export interface SettledThrough {
  readonly engineIncarnation: string;
  readonly sequence: number;
}

/** One accepted change, as the audit trail shows it. */
export interface AcceptedChange {
  readonly action: "put" | "delete";
  readonly subject: ResourceName;
  readonly oldRevision: Revision;
  /** Fields that differ from the revision before; all where it is new. */
  readonly fields: readonly string[];
}

/** One accepted write. */
export interface AcceptedWrite {
  readonly revision: Revision;
  readonly who: string;
  /** Wall-clock time of the box that took the write, ISO 8601; for people only. */
  readonly at: string;
  readonly changes: readonly AcceptedChange[];
}

/** How far the records of one process start have been folded. */
export interface WriterPosition {
  readonly highest: number;
  readonly offset: Offset;
}

/** A snapshot that is being read from the log. */
export interface SnapshotParts {
  readonly asOf: Offset;
  readonly count: number;
  readonly parts: Map<number, string>;
}

/** Mutable on purpose: a fold over thousands of resources must not copy them for each record. */
export interface FoldedState {
  offset: Offset;
  readonly resources: Map<string, StoredResource>;
  readonly leases: Map<string, Lease>;
  readonly intents: Map<string, Intent>;
  readonly settledThrough: Map<string, SettledThrough>;
  readonly writers: Map<string, WriterPosition>;
  /** Requests that are held back or were released, oldest word first, bounded. */
  readonly heldRequests: Map<Fingerprint, HeldRequest>;
  /** The newest accepted writes, oldest first, bounded. */
  readonly history: AcceptedWrite[];
  /** The state's own offset of the newest complete snapshot in the log; 0 for none. */
  newestSnapshot: Offset;
}

/** The state before the first record. */
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
