/** Interface of the order lease, and what it depends on. */
import { type Service, serviceName } from "@linkfall/kernel";
import type { Epoch, Incarnation, Milliseconds } from "@linkfall/types";

/** The newest lease known to a box. */
export interface ObservedLease {
  readonly epoch: Epoch;
  readonly holder: Incarnation;
}

/** Timing of the lease. */
export interface LeaseOptions {
  /** Whether all engines reject orders with an epoch lower than the highest they have received. */
  readonly enginesFence: boolean;
  /** Time for which a holder may send orders after its last proof that it has not been superseded. */
  readonly leaseMs: Milliseconds;
  /** Time without a message after which a holder is presumed gone. */
  readonly holderTimeoutMs: Milliseconds;
  /** Additional delay per rank before a box claims the lease. */
  readonly rankStepMs: Milliseconds;
  /** Interval of the periodic check. */
  readonly checkMs: Milliseconds;
}

/** State of the other boxes that the lease depends on. */
export interface LeasePeers {
  /** Time since the last message from the box; undefined if it is not known, 0 for this box. */
  sinceLastMessageMs(incarnation: Incarnation): Milliseconds | undefined;
  /** Number of other boxes of which a message was received within `ms`. */
  countHeardWithin(ms: Milliseconds): number;
  /** Highest number of boxes known at the same time, including this one. */
  maxKnownBoxes(): number;
  /**
   * Whether it is an earlier incarnation of this box. The platform starts a box only after its previous process has ended, so
   * an earlier incarnation sends no more orders.
   */
  isOwnEarlierIncarnation(incarnation: Incarnation): boolean;
  /** Whether the box has announced that it is leaving. */
  isLeaving(incarnation: Incarnation): boolean;
  /** Time for which the box may continue to send orders, as it last reported; 0 if it may not. */
  remainingLeaseMs(incarnation: Incarnation): Milliseconds;
  /** Whether the box reached the store, as it last reported; true for a box that has reported nothing. */
  reachesStore(incarnation: Incarnation): boolean;
  /** Position of this box in the order in which boxes claim, from 0. */
  rank(): number;
  /** Notifies all boxes of a claim made by this box. */
  announceClaim(): void;
  /** Whether this box reaches no engine while another live box does. */
  isCutOffFromEngines(): boolean;
  /** Whether this box is in contact with most boxes, and none of them reaches the store. */
  isStoreDownForAll(): boolean;
}

/** The lease as held or observed by one box. */
export interface OrderLease extends Service {
  /** Returns the epoch under which this box may currently send orders, or undefined if it may not. */
  epoch(): Epoch | undefined;
  /** Returns the newest observed lease. */
  observedLease(): ObservedLease | undefined;
  /** Applies a lease reported by another box, if it is newer. */
  observe(lease: ObservedLease): void;
  /** Records that an engine rejected an order of this epoch. */
  recordRefusal(epoch: Epoch): void;
  /** Returns the time for which this box may continue to send orders; 0 if it may not. */
  remainingLeaseMs(): Milliseconds;
  /** Stops claiming, and releases the lease if this box holds it. */
  release(): Promise<void>;
}

/** Name of the lease in the kernel. */
export const orderLeaseName = serviceName<OrderLease>("order-lease");
