/**
 * State shared by the parts of a session: the lease, the engines, their reports and the open
 * orders.
 */
import { clockName, type Kernel } from "@linkfall/kernel";
import { type HeldLease, leaseHolderName } from "@linkfall/lease-holder";
import { stateStoreName } from "@linkfall/state-store";
import { targetWatchName, type EngineReportRecord } from "@linkfall/target-watch";
import type { Engine, Milliseconds, Order, Pool } from "@linkfall/types";
import { createOpenOrders, type OpenOrders } from "./open-orders.js";

export interface PoolContext {
  readonly lease: HeldLease;
  /** Start of the session by this box's clock. */
  readonly startedAt: Milliseconds;
  readonly openOrders: OpenOrders;
  pool(): Pool;
  engines(): readonly Engine[];
  engineNamed(name: string): Engine | undefined;
  /** Returns the latest report of an engine that was requested during this session, if any. */
  reportOf(engine: string): EngineReportRecord | undefined;
  /** Whether this session still holds the lease, according to the log as read by this box. */
  isLeaseCurrent(): boolean;
  /** Whether the lease is also unexpired by this box's clock. */
  isLeaseValid(): boolean;
  /**
   * Returns the orders that may still take effect: those of this session and intents in the log.
   */
  openOrdersOf(engine: string): readonly Order[];
}

/** Creates the context of a session for a lease that has just been read. */
export function createPoolContext(kernel: Kernel, lease: HeldLease): PoolContext {
  const store = kernel.find(stateStoreName);
  const leases = kernel.find(leaseHolderName);
  const watch = kernel.find(targetWatchName);
  const startedAt = kernel.find(clockName).now();
  const openOrders = createOpenOrders();
  const isLeaseCurrent = () => leases.heldLease(lease.pool)?.epoch === lease.epoch;
  return {
    lease,
    startedAt,
    openOrders,
    pool() {
      const defaults = {
        kind: "pool",
        name: lease.pool,
        loadsPerSecond: 1,
        loadsAtOnce: 1,
      } as const;
      return store.desired().pools.get(lease.pool) ?? defaults;
    },
    engines: () => store.desired().enginesByPool.get(lease.pool) ?? [],
    engineNamed: (name) => store.desired().engines.get(name),
    reportOf(engine) {
      const watched = watch.reportOf(engine);
      return watched && watched.requestedAt >= startedAt ? watched : undefined;
    },
    isLeaseCurrent,
    isLeaseValid: () => isLeaseCurrent() && leases.heldLease(lease.pool)?.valid === true,
    openOrdersOf(engine) {
      const intents = [...store.state().intents.values()]
        .map((intent) => intent.order)
        .filter((order) => order.engine === engine && !openOrders.has(order.id));
      return [...openOrders.forEngine(engine), ...intents];
    },
  };
}
