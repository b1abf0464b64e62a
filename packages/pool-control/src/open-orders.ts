/** The orders of one session that may still take effect. */
import type { EngineReport, Milliseconds, Order, Settlement } from "@linkfall/types";

/** An order and when it was last sent. */
export interface OpenOrder {
  readonly order: Order;
  sentAt: Milliseconds;
}

export interface OpenOrders {
  add(order: Order, sentAt: Milliseconds): void;
  has(id: string): boolean;
  /** Orders of an engine that are not settled. */
  forEngine(engine: string): readonly Order[];
  all(): readonly OpenOrder[];
  /** Removes the orders that the report shows as settled. */
  settle(report: EngineReport): readonly Settlement[];
  /** Removes an order that is certain never to be sent. */
  remove(id: string): void;
  /** Removes the orders of an engine that is no longer declared. */
  removeEngine(engine: string): void;
}

/** Creates an empty book. */
export function createOpenOrders(): OpenOrders {
  const open = new Map<string, OpenOrder>();
  const ofEngine = (engine: string) =>
    [...open.values()].filter((entry) => entry.order.engine === engine);
  return {
    add: (order, sentAt) => void open.set(order.id, { order, sentAt }),
    has: (id) => open.has(id),
    forEngine: (engine) => ofEngine(engine).map((entry) => entry.order),
    all: () => [...open.values()],
    settle(report) {
      const shown = new Set(report.settledOrders);
      const settled = ofEngine(report.engine).filter((entry) => shown.has(entry.order.id));
      for (const entry of settled) open.delete(entry.order.id);
      return settled.map((entry) => ({
        orderId: entry.order.id,
        engine: report.engine,
        engineIncarnation: report.engineIncarnation,
        sequence: report.sequence,
      }));
    },
    remove: (id) => void open.delete(id),
    removeEngine(engine) {
      for (const entry of ofEngine(engine)) open.delete(entry.order.id);
    },
  };
}
