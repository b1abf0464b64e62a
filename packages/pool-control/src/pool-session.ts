/**
 * One tenure of a pool: from the reading of this box's claim to the reading of another's. It keeps
 * the fences it has raised and the orders that may still take effect; nothing outlives it but what
 * the engines and the log know.
 */
import { auditName } from "@linkfall/audit";
import { settingsName } from "@linkfall/config";
import { demandShares } from "@linkfall/demand-meter";
import { invariant } from "@linkfall/errors";
import { clockName, type Kernel, randomName } from "@linkfall/kernel";
import { type HeldLease, leaseHolderName } from "@linkfall/lease-holder";
import { assertRoomFor, ledgersOf } from "@linkfall/ledger";
import { logWriterName } from "@linkfall/log-writer";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import {
  type EngineView,
  type ModelView,
  type Move,
  type Plan,
  planPool,
  type PoolView,
} from "@linkfall/placement";
import { enginePortName } from "@linkfall/ports";
import { stateStoreName } from "@linkfall/state-store";
import { targetWatchName, type WatchedReport } from "@linkfall/target-watch";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { Engine, Milliseconds, Order, Settlement } from "@linkfall/types";
import { usageReportsName } from "@linkfall/usage-report";
import { match } from "ts-pattern";
import { createLoadSlots, loadsUnderWay, mayStillLoad } from "./load-slots.js";
import { createOrderBook, type OpenOrder } from "./order-book.js";

const millisecondsPerMinute = 60_000;
/** Weight of one report in an engine's smoothed utilisation. */
const utilisationStep = 0.1;

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
  takeReport(watched: WatchedReport): void;
  status(): SessionStatus;
}

/** Starts a session under a lease that has just been read. */
export function createPoolSession(kernel: Kernel, lease: HeldLease): PoolSession {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const store = kernel.find(stateStoreName);
  const leases = kernel.find(leaseHolderName);
  const watch = kernel.find(targetWatchName);
  const port = kernel.find(enginePortName);
  const writer = kernel.find(logWriterName);
  const audit = kernel.find(auditName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  const usage = kernel.find(usageReportsName);
  const settings = kernel.find(settingsName);

  const takenAt = clock.now();
  const book = createOrderBook();
  /** Engine incarnations on which this session's fence stands. */
  const fences = new Map<string, string>();
  const utilisation = new Map<string, number>();
  const movedAt = new Map<string, Milliseconds>();
  const slots = createLoadSlots(clock, poolOf());
  const movesPerMinute = settings.placement.moves_per_minute;
  const spareMoves = createTokenBucket(clock, {
    rate: (movesPerMinute * 1000) / millisecondsPerMinute,
    burst: movesPerMinute,
  });
  let unplaceable: readonly string[] = [];
  let fenceStood = false;
  let unsettled: Settlement[] = [];
  /** Orders whose intents may or may not be in the log. */
  let doubtful: readonly Order[] = [];

  function poolOf() {
    const standard = { kind: "pool", name: lease.pool, loadsPerSecond: 1, loadsAtOnce: 1 } as const;
    return store.desired().pools.get(lease.pool) ?? standard;
  }

  const engines = (): readonly Engine[] =>
    [...store.desired().engines.values()].filter((engine) => engine.pool === lease.pool);

  /** Whether the lease is still this session's, as far as this box has read. */
  const isCurrent = () => leases.held(lease.pool)?.epoch === lease.epoch;
  const isValid = () => leases.held(lease.pool)?.valid === true && isCurrent();

  /** The report of an engine, if it was asked for after this session began. */
  const reportOf = (engine: string): WatchedReport | undefined => {
    const watched = watch.reportOf(engine);
    return watched && watched.requestedAt >= takenAt ? watched : undefined;
  };

  const fenceStandsOn = (engine: Engine) => {
    const report = reportOf(engine.name)?.report;
    return (
      report !== undefined &&
      fences.get(engine.name) === report.engineIncarnation &&
      report.fence >= lease.epoch
    );
  };

  /** Orders that may still take effect: this session's, and intents that the log holds. */
  const openOrdersOf = (engine: string): readonly Order[] => {
    const intents = [...store.state().intents.values()]
      .map((intent) => intent.order)
      .filter((order) => order.engine === engine && !book.has(order.id));
    return [...book.openOf(engine), ...intents];
  };

  // --- Fences -------------------------------------------------------------------------------

  const raiseFence = async (engine: Engine) => {
    const requestedAt = clock.now();
    const raised = await port.raiseFence(engine.address, lease.epoch);
    raised.ifRight((report) => {
      if (report.engine !== engine.name || report.fence !== lease.epoch) return;
      fences.set(engine.name, report.engineIncarnation);
      watch.ingest(report, requestedAt);
    });
  };

  const raiseFences = async () => {
    const missing = engines().filter((engine) => engine.fenced && !fenceStandsOn(engine));
    await Promise.all(missing.map(raiseFence));
    const stands = fenceStandsEverywhere();
    if (stands && !fenceStood)
      logger.event("fenceStands", { pool: lease.pool, epoch: lease.epoch });
    fenceStood = stands;
  };

  /** Whether no order of another holder that this session does not know can take effect there. */
  const isFenceSafe = (engine: Engine) => !engine.fenced || fenceStandsOn(engine);
  const fenceStandsEverywhere = () => engines().every(isFenceSafe);

  // --- Settlement ---------------------------------------------------------------------------

  const adoptIntents = () => {
    for (const intent of store.state().intents.values()) {
      if (intent.pool === lease.pool && !book.has(intent.order.id)) {
        book.add(intent.order, -Infinity);
      }
    }
  };

  const settle = () => {
    for (const engine of engines()) {
      const report = reportOf(engine.name)?.report;
      if (!report) continue;
      const settled = book.settle(report);
      for (const entry of settled) logger.event("orderSettled", { order: entry.orderId });
      unsettled.push(...settled.filter((entry) => store.state().intents.has(entry.orderId)));
    }
  };

  const recordSettlements = async () => {
    if (unsettled.length === 0 || !isValid()) return;
    const settlements = unsettled;
    unsettled = [];
    const written = await writer.append(
      (id) => ({ type: "settled", id, pool: lease.pool, settlements }),
      settings.lease.lease_ms,
    );
    // What was not written is settled again: the intent still stands in the log.
    if (written.isLeft()) unsettled.push(...settlements);
  };

  // --- Sending ------------------------------------------------------------------------------

  /** Whether an order may leave this box right now. Checked immediately before each one. */
  const maySend = (engine: Engine, order: Order) => {
    if (!isCurrent()) return false;
    if (engine.fenced) return fenceStandsOn(engine);
    return isValid() && store.state().intents.has(order.id);
  };

  const send = async (engine: Engine, order: Order) => {
    if (!maySend(engine, order)) return;
    logger.event("orderSent", {
      order: order.id,
      kind: order.kind,
      engine: engine.name,
      cause: order.cause,
    });
    metrics.count("linkfall_orders_sent_total", "Orders sent to engines", { kind: order.kind });
    // An order adopted from an intent goes out under this session's epoch.
    const sent = await port.order(engine.address, { ...order, epoch: lease.epoch });
    sent.ifRight((reply) =>
      match(reply)
        .with({ kind: "accepted" }, () => undefined)
        .with({ kind: "stale_epoch" }, ({ fence }) => {
          fences.delete(engine.name);
          logger.event("fenceRefused", { engine: engine.name, epoch: lease.epoch, fence });
        })
        .with({ kind: "refused" }, ({ reason }) =>
          logger.event("orderRefused", { order: order.id, engine: engine.name, reason }),
        )
        .exhaustive(),
    );
  };

  const repeatOrders = async () => {
    const now = clock.now();
    const due = book
      .all()
      .filter((entry) => now - entry.sentAt >= settings.targets.order_repeat_ms);
    await Promise.all(due.map(repeatOrder));
  };

  const repeatOrder = async (entry: OpenOrder) => {
    const engine = store.desired().engines.get(entry.order.engine);
    if (!engine) {
      book.dropEngine(entry.order.engine);
      return;
    }
    entry.sentAt = clock.now();
    await send(engine, entry.order);
  };

  // --- Planning -----------------------------------------------------------------------------

  /** Right after a takeover the engines are given time to report before anything is missed. */
  const isSettling = () => {
    const allReported = engines().every((engine) => reportOf(engine.name) !== undefined);
    return !allReported && clock.now() - takenAt < settings.targets.silent_lost_ms;
  };

  const viewOf = (engine: Engine): EngineView => {
    const watched = reportOf(engine.name);
    if (!watched) return unseenView(engine);
    const open = openOrdersOf(engine.name);
    const silentMs = clock.now() - watched.receivedAt;
    const isFresh = silentMs <= settings.targets.report_stale_ms;
    const canOrder = engine.fenced ? fenceStandsOn(engine) : isValid();
    const leaving = watch.isLeaving(engine);
    return {
      engine,
      accelerators: ledgersOf(engine, watched.report, open),
      role: watched.report.role,
      roleOrdered: open.some((order) => order.kind === "role"),
      orderable: isFresh && canOrder && !leaving,
      counted: silentMs <= settings.targets.silent_lost_ms && !leaving,
      utilisation: utilisation.get(engine.name) ?? 0,
    };
  };

  const unseenView = (engine: Engine): EngineView => ({
    engine,
    accelerators: [],
    role: engine.role,
    roleOrdered: false,
    orderable: false,
    counted: false,
    utilisation: 0,
  });

  const modelViews = (): readonly ModelView[] => {
    const desired = store.desired();
    const shares = demandShares(usage.demand());
    const adapters = [...desired.adapters.values()];
    const now = clock.now();
    return [...desired.models.values()]
      .filter((model) => model.pool === lease.pool)
      .map((model) => ({
        model,
        adapters: adapters.filter((adapter) => adapter.model === model.name),
        demandShare: shares.get(model.name) ?? 0,
        coolingDown: now - (movedAt.get(model.name) ?? -Infinity) < settings.placement.cooldown_ms,
      }));
  };

  const poolView = (): PoolView => {
    const { attainmentWeight, movesWeight } = store.desired().deployment;
    const engineViews = engines().map(viewOf);
    return {
      engines: engineViews,
      models: modelViews(),
      limits: {
        attainmentWeight,
        movesWeight,
        mayUnload: engineViews.every((view) => !view.counted || isFenceSafe(view.engine)),
        spareMoves: spareMoves.waitFor() === 0 ? 1 : 0,
      },
    };
  };

  const underWay = () => {
    const now = clock.now();
    let loads = 0;
    for (const engine of engines()) {
      const report = reportOf(engine.name)?.report;
      if (report) loads += loadsUnderWay(report, openOrdersOf(engine.name));
      else if (mayStillLoad(takenAt, settings.targets.load_timeout_ms, now)) loads += 1;
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

  /** The orders of a plan that the weight store has slots for. */
  const admit = (plan: Plan): readonly Order[] => {
    const orders: Order[] = [];
    let loads = underWay();
    for (const move of plan.moves) {
      const report = reportOf(move.engine)?.report;
      if (!report) continue;
      if (move.kind === "load") {
        if (!slots.take(poolOf(), loads)) continue;
        loads += 1;
      }
      if (move.cause === "demand") noteSpareMove(move);
      orders.push(toOrder(move, report.engineIncarnation));
    }
    return orders;
  };

  const noteSpareMove = (move: Move) => {
    spareMoves.take();
    if (move.kind === "role") return;
    const name = move.artifact.slice("model:".length, move.artifact.lastIndexOf("@"));
    movedAt.set(name, clock.now());
  };

  /** Orders for unfenced engines are in the log, and read back, before any of them is sent. */
  const recordIntents = async (
    orders: readonly Order[],
  ): Promise<"accepted" | "void" | "unknown"> => {
    const written = await writer.append(
      (id) => ({ type: "intent", id, pool: lease.pool, epoch: lease.epoch, orders }),
      settings.lease.lease_ms,
    );
    return written.caseOf({
      Left: () => "unknown",
      Right: (folded) =>
        folded.some((event) => event.type === "intent_recorded" && event.accepted)
          ? "accepted"
          : "void",
    });
  };

  /** Enters the orders in the book one after the other, so that each counts for the next. */
  const enter = (orders: readonly Order[]) => {
    for (const order of orders) {
      const engine = store.desired().engines.get(order.engine);
      const report = reportOf(order.engine)?.report;
      if (!engine || !report) continue;
      assertRoomFor(order, engine, report, openOrdersOf(order.engine));
      assertStaysServed(order);
      book.add(order, clock.now());
    }
  };

  /** Asserts, right before it is given, that an unload does not take the last serving copy. */
  const assertStaysServed = (order: Order) => {
    if (order.kind !== "unload" || order.cause === "undeclared") return;
    const anyVersion = order.artifact.slice(0, order.artifact.lastIndexOf("@") + 1);
    const going = new Set(
      book.all().flatMap((entry) => (entry.order.kind === "unload" ? [slotOf(entry.order)] : [])),
    );
    const others = engines().flatMap((engine) =>
      (reportOf(engine.name)?.report.residents ?? []).filter(
        (copy) =>
          copy.state === "ready" &&
          copy.artifact.startsWith(anyVersion) &&
          slotOf({ ...copy, engine: engine.name }) !== slotOf(order) &&
          !going.has(slotOf({ ...copy, engine: engine.name })),
      ),
    );
    invariant(others.length > 0, "last-replica-stays", () => order.artifact);
  };

  const issue = async (order: Order) => {
    const engine = store.desired().engines.get(order.engine);
    if (!engine || !book.has(order.id)) return;
    recordAudit(order);
    await send(engine, order);
  };

  /**
   * After an append without an answer the intents may still come into the log. A later record of
   * this box settles it: the fold passes over what comes after that.
   */
  const resolveDoubt = async () => {
    if (doubtful.length === 0 || !isValid()) return;
    const barrier = await writer.append(
      (id) => ({ type: "settled", id, pool: lease.pool, settlements: [] }),
      settings.lease.lease_ms,
    );
    if (barrier.isLeft()) return;
    dropUnrecorded(doubtful);
    doubtful = [];
  };

  const dropUnrecorded = (orders: readonly Order[]) => {
    for (const order of orders) {
      if (!store.state().intents.has(order.id)) book.drop(order.id);
    }
  };

  const recordAudit = (order: Order) => {
    metrics.count("linkfall_moves_total", "Moves ordered", {
      kind: order.kind,
      cause: order.cause,
    });
    audit.record({
      who: "linkfall",
      action: order.kind,
      subject: { kind: "order", name: order.id },
      oldRevision: 0,
      newRevision: 0,
      detail: describeOrder(order),
    });
  };

  const planAndOrder = async () => {
    const plan = planPool(poolView());
    if (plan.unplaceable.length > 0 && unplaceable.length === 0) {
      logger.event("unplaceable", { pool: lease.pool, models: plan.unplaceable.join(",") });
    }
    unplaceable = plan.unplaceable;
    const orders = admit(plan);
    const fenced = orders.filter((order) => store.desired().engines.get(order.engine)?.fenced);
    const unfenced = orders.filter((order) => !fenced.includes(order));
    enter(orders);
    await Promise.all(fenced.map(issue));
    if (unfenced.length === 0) return;
    const recorded = await recordIntents(unfenced);
    if (recorded === "unknown") doubtful = unfenced;
    else dropUnrecorded(unfenced);
    if (recorded === "accepted") await Promise.all(unfenced.map(issue));
  };

  return {
    epoch: lease.epoch,
    takeReport({ report }) {
      const engine = store.desired().engines.get(report.engine);
      if (engine?.pool !== lease.pool) return;
      const now = (report.running + report.queued) / engine.concurrency;
      const before = utilisation.get(report.engine) ?? now;
      utilisation.set(report.engine, before + utilisationStep * (now - before));
    },
    async tick() {
      adoptIntents();
      await raiseFences();
      settle();
      await recordSettlements();
      await repeatOrders();
      await resolveDoubt();
      if (!isCurrent() || isSettling() || doubtful.length > 0) return;
      await planAndOrder();
    },
    status: () => ({
      pool: lease.pool,
      epoch: lease.epoch,
      fenceStands: fenceStandsEverywhere(),
      openOrders: book.all().length,
      unplaceable,
    }),
  };
}

/** One key for a copy on an accelerator. */
function slotOf(copy: {
  readonly engine: string;
  readonly accelerator: number;
  readonly artifact: string;
}): string {
  return `${copy.engine}/${copy.accelerator}/${copy.artifact}`;
}

function describeOrder(order: Order): string {
  if (order.kind === "role") return `${order.engine}: role ${order.role} (${order.cause})`;
  return `${order.engine}/${order.accelerator}: ${order.kind} ${order.artifact} (${order.cause})`;
}
