/** Orders of a session that may still take effect. */
import type { EngineReport, Milliseconds, Order, Settlement } from "@linkfall/types";

/** An order and the time at which it was last sent. */
export interface OpenOrder {
  readonly order: Order;
  sentAt: Milliseconds;
}

export interface OpenOrders {
  add(order: Order, sentAt: Milliseconds): void;
  has(id: string): boolean;
  /** Returns the unsettled orders of an engine. */
  forEngine(engine: string): readonly Order[];
  all(): readonly OpenOrder[];
  /** Removes the orders that the report lists as settled. */
  settle(report: EngineReport): readonly Settlement[];
  /** Removes an order that will certainly never be sent. */
  remove(id: string): void;
  /** Removes the orders of an engine that is no longer declared. */
  removeEngine(engine: string): void;
}

/** Creates an empty set of open orders. */
export function createOpenOrders(): OpenOrders {
  const entries = new Map<string, OpenOrder>();
  const entriesOf = (engine: string) =>
    [...entries.values()].filter((entry) => entry.order.engine === engine);
  return {
    add: (order, sentAt) => void entries.set(order.id, { order, sentAt }),
    has: (id) => entries.has(id),
    forEngine: (engine) => entriesOf(engine).map((entry) => entry.order),
    all: () => [...entries.values()],
    settle(report) {
      const settledIds = new Set(report.settledOrders);
      const settled = entriesOf(report.engine).filter((entry) => settledIds.has(entry.order.id));
      for (const entry of settled) entries.delete(entry.order.id);
      return settled.map((entry) => ({
        orderId: entry.order.id,
        engine: report.engine,
        engineIncarnation: report.engineIncarnation,
        sequence: report.sequence,
      }));
    },
    remove: (id) => void entries.delete(id),
    removeEngine(engine) {
      for (const entry of entriesOf(engine)) entries.delete(entry.order.id);
    },
  };
}
