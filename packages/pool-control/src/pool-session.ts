/**
 * One tenure of a pool: from the reading of this box's claim to the reading of another's. It keeps
 * the fences it has raised and the orders that may still take effect; nothing outlives it but what
 * the engines and the log know.
 */
import { settingsName } from "@linkfall/config";
import { invariant } from "@linkfall/errors";
import { clockName, type Kernel, randomName } from "@linkfall/kernel";
import type { HeldLease } from "@linkfall/lease-holder";
import { assertMemoryAvailable } from "@linkfall/ledger";
import { loggerName } from "@linkfall/logger";
import { type Move, type Plan, planPool } from "@linkfall/placement";
import type { EngineReportRecord } from "@linkfall/target-watch";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { Milliseconds, Order } from "@linkfall/types";
import { createFences } from "./fences.js";
import { createIntents } from "./intents.js";
import { createStoreLoadLimiter, countActiveLoads, mayStillLoad } from "./store-load-limiter.js";
import { createOrderSender, describeOrder } from "./order-sender.js";
import { createPoolContext } from "./pool-context.js";
import { createPoolViewBuilder } from "./pool-view.js";
import { createServedElsewhereCheck } from "./served-elsewhere.js";

const secondsPerMinute = 60;

/** What a session shows of itself. */
export interface SessionStatus {
  readonly pool: string;
  readonly epoch: number;
  readonly fenceStands: boolean;
  readonly openOrders: number;
  readonly unplaceable: readonly string[];
}

export interface PoolSession {
  readonly epoch: number;
  /** One round: raise fences, settle, repeat, plan and order. */
  tick(): Promise<void>;
  /** Takes a report of one of the pool's engines. */
  handleReport(watched: EngineReportRecord): void;
  status(): SessionStatus;
}

/** Starts a session under a lease that has just been read. */
export function createPoolSession(kernel: Kernel, lease: HeldLease): PoolSession {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const { targets, placement } = kernel.find(settingsName);
  const context = createPoolContext(kernel, lease);
  const fences = createFences(kernel, context);
  const intents = createIntents(kernel, context);
  const servedElsewhere = createServedElsewhereCheck(kernel, context);
  const sender = createOrderSender(kernel, context, fences, servedElsewhere);
  const viewer = createPoolViewBuilder(kernel, context, fences);
  const slots = createStoreLoadLimiter(clock, context.pool());
  const spareMoves = createTokenBucket(clock, {
    rate: placement.moves_per_minute / secondsPerMinute,
    burst: placement.moves_per_minute,
  });
  const { openOrders: book } = context;
  const movedAt = new Map<string, Milliseconds>();
  let unplaceable: readonly string[] = [];

  /** Right after a takeover the engines are given time to report before anything is missed. */
  const isSettling = () => {
    const allReported = context.engines().every((engine) => context.reportOf(engine.name));
    return !allReported && clock.now() - context.startedAt < targets.silent_lost_ms;
  };

  const coolingDown = (model: string) =>
    clock.now() - (movedAt.get(model) ?? -Infinity) < placement.cooldown_ms;

  const plan = (): Plan => {
    const planned = planPool(viewer.build(spareMoves.msUntil() === 0 ? 1 : 0, coolingDown));
    if (planned.unplaceable.length > 0 && unplaceable.length === 0) {
      logger.event("unplaceable", { pool: lease.pool, models: planned.unplaceable.join(",") });
    }
    unplaceable = planned.unplaceable;
    return planned;
  };

  /** Loads of the pool that use the weight store, with those that a silent engine may still run. */
  const underWay = () => {
    const now = clock.now();
    let loads = 0;
    for (const engine of context.engines()) {
      const report = context.reportOf(engine.name)?.report;
      if (report) loads += countActiveLoads(report, context.openOrdersOf(engine.name));
      else if (mayStillLoad(context.startedAt, targets.load_timeout_ms, now)) loads += 1;
    }
    return loads;
  };

  const toOrder = (move: Move, engineIncarnation: string): Order => {
    const head = {
      id: `${lease.pool}/${lease.epoch}/${random.identifier()}`,
      engine: move.engine,
      engineIncarnation,
      epoch: lease.epoch,
      cause: move.cause,
    };
    if (move.kind === "role") return { ...head, kind: "role", role: move.role };
    const { artifact, accelerator, sizeMb } = move;
    return { ...head, kind: move.kind, artifact, accelerator, sizeMb };
  };

  const noteSpareMove = (move: Move) => {
    if (move.cause !== "demand" || move.kind === "role") return;
    spareMoves.take();
    const model = move.artifact.slice("model:".length, move.artifact.lastIndexOf("@"));
    movedAt.set(model, clock.now());
  };

  /** The orders of a plan that the weight store has slots for. */
  const admit = (moves: readonly Move[]): readonly Order[] => {
    const orders: Order[] = [];
    let loads = underWay();
    for (const move of moves) {
      const report = context.reportOf(move.engine)?.report;
      if (!report) continue;
      if (move.kind === "load" && !slots.tryAcquire(context.pool(), loads)) continue;
      if (move.kind === "load") loads += 1;
      noteSpareMove(move);
      orders.push(toOrder(move, report.engineIncarnation));
    }
    return orders;
  };

  /** Enters the orders in the book one after the other, so that each counts for the next. */
  const enter = (orders: readonly Order[]) => {
    for (const order of orders) {
      const engine = context.engineNamed(order.engine);
      const report = context.reportOf(order.engine)?.report;
      if (!engine || !report) continue;
      assertMemoryAvailable(order, engine, report, context.openOrdersOf(order.engine));
      invariant(order.kind !== "unload" || servedElsewhere(order), "last-replica-stays", () =>
        describeOrder(order),
      );
      book.add(order, clock.now());
    }
  };

  const planAndOrder = async () => {
    const orders = admit(plan().moves);
    const fenced = orders.filter((order) => context.engineNamed(order.engine)?.fenced);
    const unfenced = orders.filter((order) => !fenced.includes(order));
    enter(orders);
    await Promise.all(fenced.map(sender.issue));
    if (unfenced.length === 0) return;
    await intents.record(unfenced);
    if (!intents.hasInDoubt()) await Promise.all(unfenced.map(sender.issue));
  };

  return {
    epoch: lease.epoch,
    handleReport: viewer.handleReport,
    async tick() {
      intents.syncWithLog();
      await fences.raise();
      await intents.settle();
      await sender.resendDue();
      await intents.resolveInDoubt();
      if (!context.isLeaseCurrent() || isSettling() || intents.hasInDoubt()) return;
      await planAndOrder();
    },
    status: () => ({
      pool: lease.pool,
      epoch: lease.epoch,
      fenceStands: fences.isRaisedEverywhere(),
      openOrders: book.all().length,
      unplaceable,
    }),
  };
}
