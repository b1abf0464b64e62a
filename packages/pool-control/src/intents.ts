/** Intents: orders for unfenced engines that stand in the log before any of them is sent. */
import { settingsName } from "@linkfall/config";
import type { Kernel } from "@linkfall/kernel";
import { logWriterName } from "@linkfall/log-writer";
import { loggerName } from "@linkfall/logger";
import { stateStoreName } from "@linkfall/state-store";
import type { Order, Settlement } from "@linkfall/types";
import type { PoolContext } from "./pool-context.js";

export interface Intents {
  /** Brings the book in step with the intents that stand in the log, an earlier holder's included. */
  syncWithLog(): void;
  /** Records orders that are in the book; those that did not come into the log leave it again. */
  record(orders: readonly Order[]): Promise<void>;
  /** Removes settled orders from the book and notes in the log that they are. */
  settle(): Promise<void>;
  /** Finds out what became of an append without an answer. */
  resolveInDoubt(): Promise<void>;
  /** Whether such an append stands out; nothing new may be planned then. */
  hasInDoubt(): boolean;
}

/** Creates the intents of a session. */
export function createIntents(kernel: Kernel, context: PoolContext): Intents {
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const limit = kernel.find(settingsName).lease.lease_ms;
  const { lease, openOrders: book } = context;
  let unsettled: Settlement[] = [];
  /** Orders whose intents may or may not be in the log. */
  let doubtful: readonly Order[] = [];

  const appendSettled = (settlements: readonly Settlement[]) =>
    writer.append((id) => ({ type: "settled", id, pool: lease.pool, settlements }), limit);

  const dropUnrecorded = (orders: readonly Order[]) => {
    for (const order of orders) {
      if (!store.state().intents.has(order.id)) book.remove(order.id);
    }
  };

  /**
   * An intent that is gone from the log is settled, by a record whose answer was lost or by an earlier
   * holder. The engine may have restarted since and show nothing of it any more.
   */
  const dropSettledElsewhere = () => {
    for (const { order } of book.all()) {
      const unfenced = context.engineNamed(order.engine)?.fenced === false;
      const isDoubtful = doubtful.some((other) => other.id === order.id);
      if (unfenced && !isDoubtful && !store.state().intents.has(order.id)) book.remove(order.id);
    }
  };

  const takeSettled = () => {
    for (const engine of context.engines()) {
      const report = context.reportOf(engine.name)?.report;
      if (!report) continue;
      const settled = book.settle(report);
      for (const entry of settled) logger.event("orderSettled", { order: entry.orderId });
      unsettled.push(...settled.filter((entry) => store.state().intents.has(entry.orderId)));
    }
  };

  return {
    syncWithLog() {
      dropSettledElsewhere();
      for (const intent of store.state().intents.values()) {
        if (intent.pool === lease.pool && !book.has(intent.order.id)) {
          book.add(intent.order, -Infinity);
        }
      }
    },
    async record(orders) {
      const written = await writer.append(
        (id) => ({ type: "intent", id, pool: lease.pool, epoch: lease.epoch, orders }),
        limit,
      );
      if (written.isLeft()) doubtful = orders;
      else dropUnrecorded(orders);
    },
    async settle() {
      takeSettled();
      if (unsettled.length === 0 || !context.isLeaseValid()) return;
      const settlements = unsettled;
      unsettled = [];
      const written = await appendSettled(settlements);
      // What was not written is settled again: the intent still stands in the log.
      if (written.isLeft()) unsettled.push(...settlements);
    },
    async resolveInDoubt() {
      if (doubtful.length === 0 || !context.isLeaseValid()) return;
      // Once a later record of this box is in the log, the fold passes over the doubtful one.
      const barrier = await appendSettled([]);
      if (barrier.isLeft()) return;
      dropUnrecorded(doubtful);
      doubtful = [];
    },
    hasInDoubt: () => doubtful.length > 0,
  };
}
