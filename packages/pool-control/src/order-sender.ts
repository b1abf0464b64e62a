/**
 * Sends orders, checks each one immediately before it is sent, and resends those without effect.
 */
import { auditName } from "@linkfall/audit";
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import { enginePortName } from "@linkfall/ports";
import { stateStoreName } from "@linkfall/state-store";
import type { Engine, Order, OrderReply } from "@linkfall/types";
import { match } from "ts-pattern";
import type { Fences } from "./fences.js";
import type { OpenOrder } from "./open-orders.js";
import type { PoolContext } from "./pool-context.js";
import type { ServedElsewhereCheck } from "./served-elsewhere.js";

export interface OrderSender {
  /** Sends an open order and records it in the audit trail. */
  issue(order: Order): Promise<void>;
  /** Resends orders that have had no effect for some time. */
  resendDue(): Promise<void>;
}

/** Describes an order for logs and the audit trail. */
export function describeOrder(order: Order): string {
  if (order.kind === "role") return `${order.engine}: role ${order.role} (${order.cause})`;
  return `${order.engine}/${order.accelerator}: ${order.kind} ${order.artifact} (${order.cause})`;
}

/** Creates the order sender of a session. */
export function createOrderSender(
  kernel: Kernel,
  context: PoolContext,
  fences: Fences,
  isServedElsewhere: ServedElsewhereCheck,
): OrderSender {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const port = kernel.find(enginePortName);
  const audit = kernel.find(auditName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  const resendAfterMs = kernel.find(settingsName).targets.order_repeat_ms;
  const { lease, openOrders } = context;

  const maySend = (engine: Engine, order: Order) => {
    if (!context.isLeaseCurrent()) return false;
    // The order may be outdated, and the remaining copy lost since. It stays open until another
    // copy serves.
    if (order.kind === "unload" && !isServedElsewhere(order)) return false;
    if (engine.fenced) return fences.isRaisedOn(engine);
    return context.isLeaseValid() && store.state().intents.has(order.id);
  };

  const handleReply = (engine: Engine, order: Order, reply: OrderReply) =>
    match(reply)
      .with({ kind: "accepted" }, () => undefined)
      .with({ kind: "stale_epoch" }, ({ fence }) => {
        fences.invalidate(engine.name);
        logger.event("fenceRefused", { engine: engine.name, epoch: lease.epoch, fence });
      })
      .with({ kind: "refused" }, ({ reason }) =>
        logger.event("orderRefused", { order: order.id, engine: engine.name, reason }),
      )
      .exhaustive();

  const recordSent = (engine: Engine, { id, kind, cause }: Order) => {
    logger.event("orderSent", { order: id, kind, engine: engine.name, cause });
    metrics.count("linkfall_orders_sent_total", "Orders sent to engines.", { kind });
  };

  const recordWithheld = (engine: Engine, { id, kind, cause }: Order) => {
    logger.event("orderWithheld", { order: id, kind, engine: engine.name, cause });
    metrics.count(
      "linkfall_orders_withheld_total",
      "Orders that were not sent, as they were no longer permitted.",
      { action: kind },
    );
  };

  const send = async (engine: Engine, order: Order) => {
    if (!maySend(engine, order)) return;
    /** The lease, the intent or the other copies may be lost while the order waits for its connection. */
    const isPermitted = () => {
      const isStillPermitted = maySend(engine, order);
      if (isStillPermitted) recordSent(engine, order);
      else recordWithheld(engine, order);
      return isStillPermitted;
    };
    // An order of an earlier lease holder is sent with this session's epoch.
    const currentOrder = { ...order, epoch: lease.epoch };
    const response = await port.order(engine.address, currentOrder, isPermitted);
    response.ifRight((reply) => handleReply(engine, order, reply));
  };

  const recordAudit = (order: Order) => {
    const { kind, cause } = order;
    metrics.count("linkfall_moves_total", "Moves ordered, by kind and cause.", { kind, cause });
    audit.record({
      who: "linkfall",
      action: kind,
      subject: { kind: "order", name: order.id },
      oldRevision: 0,
      newRevision: 0,
      detail: describeOrder(order),
    });
  };

  const resend = async (openOrder: OpenOrder) => {
    const engine = context.engineNamed(openOrder.order.engine);
    if (!engine) {
      openOrders.removeEngine(openOrder.order.engine);
      return;
    }
    openOrder.sentAt = clock.now();
    await send(engine, openOrder.order);
  };

  return {
    async issue(order) {
      const engine = context.engineNamed(order.engine);
      if (!engine || !openOrders.has(order.id)) return;
      recordAudit(order);
      await send(engine, order);
    },
    async resendDue() {
      const now = clock.now();
      const dueOrders = openOrders
        .all()
        .filter((openOrder) => now - openOrder.sentAt >= resendAfterMs);
      await Promise.all(dueOrders.map(resend));
    },
  };
}
