/**
 * Write-ahead intents: orders for unfenced engines are written to the log before any of them is
 * sent.
 */
import { settingsName } from "@linkfall/config";
import type { Kernel } from "@linkfall/kernel";
import { logWriterName } from "@linkfall/log-writer";
import { loggerName } from "@linkfall/logger";
import { stateStoreName } from "@linkfall/state-store";
import type { Order, Settlement } from "@linkfall/types";
import type { PoolContext } from "./pool-context.js";

export interface Intents {
  /**
   * Adds the intents in the log to the open orders, including those of an earlier lease holder, and
   * removes settled ones.
   */
  syncWithLog(): void;
  /** Writes intents for open orders; orders that could not be logged are removed. */
  record(orders: readonly Order[]): Promise<void>;
  /** Removes settled orders and logs their settlement. */
  settle(): Promise<void>;
  /** Determines the outcome of an append that was not acknowledged. */
  resolveInDoubtOrders(): Promise<void>;
  /** Returns whether such an append is unresolved, in which case nothing new may be planned. */
  hasInDoubtOrders(): boolean;
}

/** Creates the intents of a session. */
export function createIntents(kernel: Kernel, context: PoolContext): Intents {
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const timeoutMs = kernel.find(settingsName).lease.lease_ms;
  const { lease, openOrders } = context;
  let pendingSettlements: Settlement[] = [];
  /** Orders whose intents may or may not be in the log. */
  let inDoubtOrders: readonly Order[] = [];

  const appendSettlements = (settlements: readonly Settlement[]) =>
    writer.append((id) => ({ type: "settled", id, pool: lease.pool, settlements }), timeoutMs);

  const removeUnrecorded = (orders: readonly Order[]) => {
    for (const order of orders) {
      if (!store.state().intents.has(order.id)) openOrders.remove(order.id);
    }
  };

  /**
   * Removes orders whose intent is no longer in the log: they were settled by an earlier lease
   * holder, or by a record that was not acknowledged. The engine may have restarted since and no
   * longer report them.
   */
  const removeSettledElsewhere = () => {
    for (const { order } of openOrders.all()) {
      const isUnfenced = context.engineNamed(order.engine)?.fenced === false;
      const isInDoubt = inDoubtOrders.some((other) => other.id === order.id);
      if (isUnfenced && !isInDoubt && !store.state().intents.has(order.id))
        openOrders.remove(order.id);
    }
  };

  const collectSettled = () => {
    for (const engine of context.engines()) {
      const report = context.reportOf(engine.name)?.report;
      if (!report) continue;
      const settled = openOrders.settle(report);
      for (const settlement of settled) logger.event("orderSettled", { order: settlement.orderId });
      pendingSettlements.push(
        ...settled.filter((settlement) => store.state().intents.has(settlement.orderId)),
      );
    }
  };

  return {
    syncWithLog() {
      removeSettledElsewhere();
      for (const intent of store.state().intents.values()) {
        if (intent.pool === lease.pool && !openOrders.has(intent.order.id)) {
          openOrders.add(intent.order, -Infinity);
        }
      }
    },
    async record(orders) {
      const appended = await writer.append(
        (id) => ({ type: "intent", id, pool: lease.pool, epoch: lease.epoch, orders }),
        timeoutMs,
      );
      if (appended.isLeft()) inDoubtOrders = orders;
      else removeUnrecorded(orders);
    },
    async settle() {
      collectSettled();
      if (pendingSettlements.length === 0 || !context.isLeaseValid()) return;
      const settlements = pendingSettlements;
      pendingSettlements = [];
      const appended = await appendSettlements(settlements);
      // The intents are still in the log, which means that the settlement has to be written again.
      if (appended.isLeft()) pendingSettlements.push(...settlements);
    },
    async resolveInDoubtOrders() {
      if (inDoubtOrders.length === 0 || !context.isLeaseValid()) return;
      // Once a later record of this box is in the log, replay ignores the in-doubt one.
      const barrier = await appendSettlements([]);
      if (barrier.isLeft()) return;
      removeUnrecorded(inDoubtOrders);
      inDoubtOrders = [];
    },
    hasInDoubtOrders: () => inDoubtOrders.length > 0,
  };
}
