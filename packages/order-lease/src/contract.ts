/** What the lease promises to the rest of a box, and what it asks of it. */
import { type Service, serviceName } from "@linkfall/kernel";
import type { Epoch, Incarnation, Milliseconds } from "@linkfall/types";

/** Who holds the right, as far as a box knows. */
export interface ObservedLease {
  readonly epoch: Epoch;
  readonly holder: Incarnation;
}

export interface LeaseOptions {
  /** Whether all engines refuse orders of an epoch below one that they have seen. */
  readonly enginesFence: boolean;
  /** Time for which a holder that has not been superseded may go on without the store. */
  readonly leaseMs: Milliseconds;
  /** A holder that has not been heard for this long is taken for gone. */
  readonly holderTimeoutMs: Milliseconds;
  /** Each later rank among the boxes waits this much longer before it claims. */
  readonly rankStepMs: Milliseconds;
  readonly checkMs: Milliseconds;
}

/** What the lease has to know of the other boxes. */
export interface LeasePeers {
  /** Time since the box was heard, undefined when it is not known; 0 for this box. */
  sinceLastMessageMs(incarnation: Incarnation): Milliseconds | undefined;
  /** Whether that is an earlier life of this very box. The platform starts a process of a box only after the one before has
   * ended, so that such a life gives no orders any more. */
  isOwnEarlierIncarnation(incarnation: Incarnation): boolean;
  /** Whether that box has said that it leaves. */
  isLeaving(incarnation: Incarnation): boolean;
  /** Time for which that box may go on giving orders, as it said last; 0 when it may not. */
  remainingLeaseMs(incarnation: Incarnation): Milliseconds;
  /** This box's place in the order in which boxes claim. */
  rank(): number;
  /** Tells all boxes of a claim that this one has made. */
  announceClaim(): void;
  /** Whether most boxes are heard and none of them reaches the store. */
  isStoreDownForAll(): boolean;
}

export interface OrderLease extends Service {
  /** The epoch under which this box may give orders now. */
  epoch(): Epoch | undefined;
  /** The newest word of the holder. */
  observedLease(): ObservedLease | undefined;
  /** Takes the word of another box. */
  observe(word: ObservedLease): void;
  /** Notes that an engine refused an order of this epoch. */
  recordRefusal(epoch: Epoch): void;
  /** Time for which this box may go on giving orders. */
  remainingLeaseMs(): Milliseconds;
  release(): Promise<void>;
}

export const orderLeaseName = serviceName<OrderLease>("order-lease");
