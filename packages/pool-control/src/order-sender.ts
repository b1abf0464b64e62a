/** Sends orders, checks right before each one that it may go, and repeats those without an effect. */
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
  /** Sends an order that is in the book, and enters it in the audit trail. */
  issue(order: Order): Promise<void>;
  /** Sends again what has had no effect for some time. */
  resendDue(): Promise<void>;
}

/** An order in words. */
export function describeOrder(order: Order): string {
  if (order.kind === "role") return `${order.engine}: role ${order.role} (${order.cause})`;
  return `${order.engine}/${order.accelerator}: ${order.kind} ${order.artifact} (${order.cause})`;
}

/** Creates the sender of a session. */
export function createOrderSender(
  kernel: Kernel,
  context: PoolContext,
  fences: Fences,
  servedElsewhere: ServedElsewhereCheck,
): OrderSender {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const port = kernel.find(enginePortName);
  const audit = kernel.find(auditName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  const repeatMs = kernel.find(settingsName).targets.order_repeat_ms;
  const { lease, openOrders: book } = context;

  const maySend = (engine: Engine, order: Order) => {
    if (!context.isLeaseCurrent()) return false;
    // Decided some time ago, perhaps, and the copy that was to stay may be lost since. The order waits in the
    // book until another copy serves.
    if (order.kind === "unload" && !servedElsewhere(order)) return false;
    if (engine.fenced) return fences.isRaisedOn(engine);
    return context.isLeaseValid() && store.state().intents.has(order.id);
  };

  const takeReply = (engine: Engine, order: Order, reply: OrderReply) =>
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

  const send = async (engine: Engine, order: Order) => {
    if (!maySend(engine, order)) return;
    const { id, kind, cause } = order;
    logger.event("orderSent", { order: id, kind, engine: engine.name, cause });
    metrics.count("linkfall_orders_sent_total", "Orders sent to engines", { kind });
    // An order adopted from an intent goes out under this session's epoch.
    const sent = await port.order(engine.address, { ...order, epoch: lease.epoch });
    sent.ifRight((reply) => takeReply(engine, order, reply));
  };

  const recordAudit = (order: Order) => {
    const { kind, cause } = order;
    metrics.count("linkfall_moves_total", "Moves ordered", { kind, cause });
    audit.record({
      who: "linkfall",
      action: kind,
      subject: { kind: "order", name: order.id },
      oldRevision: 0,
      newRevision: 0,
      detail: describeOrder(order),
    });
  };

  const repeat = async (entry: OpenOrder) => {
    const engine = context.engineNamed(entry.order.engine);
    if (!engine) {
      book.removeEngine(entry.order.engine);
      return;
    }
    entry.sentAt = clock.now();
    await send(engine, entry.order);
  };

  return {
    async issue(order) {
      const engine = context.engineNamed(order.engine);
      if (!engine || !book.has(order.id)) return;
      recordAudit(order);
      await send(engine, order);
    },
    async resendDue() {
      const now = clock.now();
      const due = book.all().filter((entry) => now - entry.sentAt >= repeatMs);
      await Promise.all(due.map(repeat));
    },
  };
}
