/** What the parts of a session share: the lease, the engines, their reports and the open orders. */
import { clockName, type Kernel } from "@linkfall/kernel";
import { type HeldLease, leaseHolderName } from "@linkfall/lease-holder";
import { stateStoreName } from "@linkfall/state-store";
import { targetWatchName, type EngineReportRecord } from "@linkfall/target-watch";
import type { Engine, Milliseconds, Order, Pool } from "@linkfall/types";
import { createOpenOrders, type OpenOrders } from "./open-orders.js";

export interface PoolContext {
  readonly lease: HeldLease;
  /** When this session began, by this box's clock. */
  readonly startedAt: Milliseconds;
  readonly openOrders: OpenOrders;
  pool(): Pool;
  engines(): readonly Engine[];
  engineNamed(name: string): Engine | undefined;
  /** The report of an engine, if it was asked for after this session began. */
  reportOf(engine: string): EngineReportRecord | undefined;
  /** Whether the lease is still this session's, as far as this box has read. */
  isLeaseCurrent(): boolean;
  /** Whether it has not run out by this box's clock either. */
  isLeaseValid(): boolean;
  /** Orders that may still take effect: this session's, and intents that the log holds. */
  openOrdersOf(engine: string): readonly Order[];
}

/** Creates the context of a session under a lease that has just been read. */
export function createPoolContext(kernel: Kernel, lease: HeldLease): PoolContext {
  const store = kernel.find(stateStoreName);
  const leases = kernel.find(leaseHolderName);
  const watch = kernel.find(targetWatchName);
  const takenAt = kernel.find(clockName).now();
  const book = createOpenOrders();
  const isCurrent = () => leases.heldLease(lease.pool)?.epoch === lease.epoch;
  return {
    lease,
    startedAt: takenAt,
    openOrders: book,
    pool() {
      const least = { kind: "pool", name: lease.pool, loadsPerSecond: 1, loadsAtOnce: 1 } as const;
      return store.desired().pools.get(lease.pool) ?? least;
    },
    engines: () => store.desired().enginesByPool.get(lease.pool) ?? [],
    engineNamed: (name) => store.desired().engines.get(name),
    reportOf(engine) {
      const watched = watch.reportOf(engine);
      return watched && watched.requestedAt >= takenAt ? watched : undefined;
    },
    isLeaseCurrent: isCurrent,
    isLeaseValid: () => isCurrent() && leases.heldLease(lease.pool)?.valid === true,
    openOrdersOf(engine) {
      const intents = [...store.state().intents.values()]
        .map((intent) => intent.order)
        .filter((order) => order.engine === engine && !book.has(order.id));
      return [...book.forEngine(engine), ...intents];
    },
  };
}
