/**
 * One lease term of a pool, from reading this box's claim to reading another box's. Keeps the
 * raised fences and the orders that may still take effect; other state is kept only by the engines
 * and the log.
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
import { createOrderSender, describeOrder } from "./order-sender.js";
import { createPoolContext } from "./pool-context.js";
import { createPoolViewBuilder } from "./pool-view.js";
import { createServedElsewhereCheck } from "./served-elsewhere.js";
import { countActiveLoads, createStoreLoadLimiter, mayStillLoad } from "./store-load-limiter.js";

const secondsPerMinute = 60;

/** Status of a session. */
export interface SessionStatus {
  readonly pool: string;
  readonly epoch: number;
  readonly fenceStands: boolean;
  readonly openOrders: number;
  readonly unplaceable: readonly string[];
}

export interface PoolSession {
  readonly epoch: number;
  /** Runs one round: raises fences, settles and resends orders, then plans and sends new ones. */
  tick(): Promise<void>;
  /** Processes a report of one of the pool's engines. */
  handleReport(watched: EngineReportRecord): void;
  status(): SessionStatus;
}

/** Creates a session for a lease that has just been read. */
export function createPoolSession(kernel: Kernel, lease: HeldLease): PoolSession {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const { targets, placement } = kernel.find(settingsName);
  const context = createPoolContext(kernel, lease);
  const fences = createFences(kernel, context);
  const intents = createIntents(kernel, context);
  const isServedElsewhere = createServedElsewhereCheck(kernel, context);
  const sender = createOrderSender(kernel, context, fences, isServedElsewhere);
  const viewBuilder = createPoolViewBuilder(kernel, context, fences);
  const storeLoadLimiter = createStoreLoadLimiter(clock, context.pool());
  const demandMoveLimiter = createTokenBucket(clock, {
    rate: placement.moves_per_minute / secondsPerMinute,
    burst: placement.moves_per_minute,
  });
  const { openOrders } = context;
  const lastDemandMoveAt = new Map<string, Milliseconds>();
  let unplaceable: readonly string[] = [];

  /**
   * Returns whether engines still have time to report after a change of lease holder, before any is
   * considered lost.
   */
  const isAwaitingReports = () => {
    const allReported = context.engines().every((engine) => context.reportOf(engine.name));
    return !allReported && clock.now() - context.startedAt < targets.silent_lost_ms;
  };

  const isCoolingDown = (model: string) =>
    clock.now() - (lastDemandMoveAt.get(model) ?? -Infinity) < placement.cooldown_ms;

  const plan = (): Plan => {
    const nextPlan = planPool(
      viewBuilder.build(demandMoveLimiter.msUntil() === 0 ? 1 : 0, isCoolingDown),
    );
    if (nextPlan.unplaceable.length > 0 && unplaceable.length === 0) {
      logger.event("unplaceable", { pool: lease.pool, models: nextPlan.unplaceable.join(",") });
    }
    unplaceable = nextPlan.unplaceable;
    return nextPlan;
  };

  /**
   * Counts the pool's loads from the weight store, including those that unreachable engines may
   * still run.
   */
  const countPoolLoads = () => {
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
    const common = {
      id: `${lease.pool}/${lease.epoch}/${random.identifier()}`,
      engine: move.engine,
      engineIncarnation,
      epoch: lease.epoch,
      cause: move.cause,
    };
    if (move.kind === "role") return { ...common, kind: "role", role: move.role };
    const { artifact, accelerator, sizeMb } = move;
    return { ...common, kind: move.kind, artifact, accelerator, sizeMb };
  };

  const recordDemandMove = (move: Move) => {
    if (move.cause !== "demand" || move.kind === "role") return;
    demandMoveLimiter.take();
    const model = move.artifact.slice("model:".length, move.artifact.lastIndexOf("@"));
    lastDemandMoveAt.set(model, clock.now());
  };

  /** Creates orders for the moves that the store load limit allows. */
  const createOrders = (moves: readonly Move[]): readonly Order[] => {
    const orders: Order[] = [];
    let loads = countPoolLoads();
    for (const move of moves) {
      const report = context.reportOf(move.engine)?.report;
      if (!report) continue;
      if (move.kind === "load" && !storeLoadLimiter.tryAcquire(context.pool(), loads)) continue;
      if (move.kind === "load") loads += 1;
      recordDemandMove(move);
      orders.push(toOrder(move, report.engineIncarnation));
    }
    return orders;
  };

  /**
   * Adds the orders one by one, which makes each count against the memory available to the next.
   */
  const addOpenOrders = (orders: readonly Order[]) => {
    for (const order of orders) {
      const engine = context.engineNamed(order.engine);
      const report = context.reportOf(order.engine)?.report;
      if (!engine || !report) continue;
      assertMemoryAvailable(order, engine, report, context.openOrdersOf(order.engine));
      invariant(order.kind !== "unload" || isServedElsewhere(order), "last-replica-stays", () =>
        describeOrder(order),
      );
      openOrders.add(order, clock.now());
    }
  };

  const planAndOrder = async () => {
    const orders = createOrders(plan().moves);
    const fenced = orders.filter((order) => context.engineNamed(order.engine)?.fenced);
    const unfenced = orders.filter((order) => !fenced.includes(order));
    addOpenOrders(orders);
    await Promise.all(fenced.map(sender.issue));
    if (unfenced.length === 0) return;
    await intents.record(unfenced);
    if (!intents.hasInDoubtOrders()) await Promise.all(unfenced.map(sender.issue));
  };

  return {
    epoch: lease.epoch,
    handleReport: viewBuilder.handleReport,
    async tick() {
      intents.syncWithLog();
      await fences.raise();
      await intents.settle();
      await sender.resendDue();
      await intents.resolveInDoubtOrders();
      if (!context.isLeaseCurrent() || isAwaitingReports() || intents.hasInDoubtOrders()) return;
      await planAndOrder();
    },
    status: () => ({
      pool: lease.pool,
      epoch: lease.epoch,
      fenceStands: fences.isRaisedEverywhere(),
      openOrders: openOrders.all().length,
      unplaceable,
    }),
  };
}
