/** Sends single orders to engines, after checking them against the engine's state. */
import { invariant } from "@linkfall/errors";
import type { TargetView } from "@linkfall/fleet";
import type {
  EngineSpec,
  Epoch,
  FencedOrder,
  Milliseconds,
  OrderResult,
  LoadedModel,
  WeightOrder,
} from "@linkfall/types";
import { usedAdapterSlots, usedMb } from "@linkfall/weight-plan";
import {
  type ActiveMove,
  type EngineSnapshot,
  predictSnapshot,
  type SentOrder,
} from "./active-move.js";
import { type DispatcherContext, engineShapeOf, stateInCurrentTerm } from "./dispatcher-context.js";
import { pollEngine } from "./poll-engines.js";

/** Expected duration of an unload of an idle model. */
const unloadEstimateMs: Milliseconds = 20;
/** Expected duration of an adapter load. */
const adapterLoadEstimateMs: Milliseconds = 30;
/** Pause after an order based on a prediction was sent too early. */
const predictionRetryMs: Milliseconds = 60;

/** Outcome of an order; `unanswered`: the order may still be carried out. */
type OrderAnswer = OrderResult | "unanswered";

/** An order with the engine state that it expects. */
export interface PlannedOrder {
  readonly order: WeightOrder;
  readonly expectedSequence: number;
  readonly residents: readonly LoadedModel[];
}

/** Plans an order based on the reported engine state. */
export function planOrder(target: TargetView, weightOrder: WeightOrder): PlannedOrder {
  const { sequence, models } = target.holdings;
  return { order: weightOrder, expectedSequence: sequence, residents: models };
}

/** Plans an order based on the predicted engine state. */
export function planOrderFromPrediction(
  target: TargetView,
  weightOrder: WeightOrder,
  snapshot: EngineSnapshot,
): PlannedOrder {
  const residents = target.holdings.models.filter((model) => snapshot.models.includes(model.name));
  return { order: weightOrder, expectedSequence: snapshot.sequence, residents };
}

/** Returns whether the engine has enough memory and adapter slots for the order. */
export function fits(
  target: TargetView,
  engineShape: EngineSpec,
  { order: weightOrder, residents }: PlannedOrder,
): boolean {
  if (weightOrder.action !== "load") return true;
  const held = { residents, loadingAdapters: target.state?.adaptersComing ?? [] };
  const model = engineShape.models.get(weightOrder.model);
  const addedMb = weightOrder.adapter === undefined ? model?.memoryMb : model?.adapterMb;
  const totalMb = usedMb(held, engineShape.models) + (addedMb ?? Infinity);
  if (totalMb > engineShape.memoryMb) return false;
  return weightOrder.adapter === undefined || usedAdapterSlots(held) < engineShape.adapterSlots;
}

/** Ends a move and logs the reason. */
export function endMove(context: DispatcherContext, id: string, reason: string): void {
  const activeMove = context.state.activeMoves.get(id);
  if (!activeMove) return;
  context.state.activeMoves.delete(id);
  context.logger.event("moveEnded", { target: id, model: activeMove.move.model, why: reason });
  context.notifyPeers();
}

/** When an order was handed to the engine client, and when it was written. */
interface OrderTiming {
  readonly handedOverAt: Milliseconds;
  /** Lease time that was left at `handedOverAt`. */
  readonly leaseLeftMs: Milliseconds;
  /** When the client asked whether it may write the order; undefined if no connection was established. */
  writableAt?: Milliseconds;
}

/** Describes how much lease time was left for an order, and how long it waited for its connection. */
function describeTiming({ handedOverAt, leaseLeftMs, writableAt }: OrderTiming) {
  const waitedMs = writableAt === undefined ? undefined : Math.round(writableAt - handedOverAt);
  return { leaseLeftMs, waitedMs };
}

function recordWithheld(
  { logger, metrics }: DispatcherContext,
  id: string,
  { action, model, adapter, epoch }: FencedOrder,
  timing: OrderTiming,
): void {
  metrics.count(
    "linkfall_orders_withheld_total",
    "Orders that were not sent as the lease had ended.",
    { action },
  );
  const detail = { target: id, action, model, adapter, epoch, ...describeTiming(timing) };
  logger.event("orderWithheld", detail);
}

function recordAnswer(
  { logger, metrics }: DispatcherContext,
  id: string,
  order: FencedOrder,
  answer: string,
  timing: OrderTiming,
) {
  metrics.count("linkfall_orders_total", "Orders sent to engines, by answer.", {
    action: order.action,
    answer,
  });
  logger.event("orderAnswered", {
    target: id,
    action: order.action,
    model: order.model,
    adapter: order.adapter,
    expected: order.expectedSequence,
    epoch: order.epoch,
    answer,
    ...describeTiming(timing),
  });
}

/** Discards an order that was based on a premature prediction, and restores the previous one. */
function discardOrder(
  context: DispatcherContext,
  activeMove: ActiveMove,
  previousOrder: SentOrder | undefined,
): void {
  const { state, clock } = context;
  const isStoreLoad =
    activeMove.move.source === "store" && activeMove.lastOrder?.order.action === "load";
  if (isStoreLoad) state.storeLoads.removeLast();
  activeMove.lastOrder = previousOrder;
  activeMove.predictionUsableAt = clock.now() + predictionRetryMs;
}

function handleAnswer(
  context: DispatcherContext,
  id: string,
  order: FencedOrder,
  answer: OrderAnswer,
) {
  const { fleet, state } = context;
  if (answer === "gone")
    fleet.recordUnreachable(id, "its address now belongs to another incarnation");
  if (answer !== "conflict" && answer !== "refused" && answer !== "gone") return;
  state.unconfirmedAdapterOrders.delete(id);
  endMove(context, id, answer);
}

/**
 * Records an adapter order before it is sent. Returns a function that restores the state if the order
 * was not sent.
 */
function recordAdapterOrder(
  { state, clock, rules }: DispatcherContext,
  id: string,
  order: FencedOrder,
): () => void {
  const previous = state.unconfirmedAdapterOrders.get(id);
  const unconfirmed = {
    key: `${order.model}/${order.adapter}`,
    sequenceBefore: order.expectedSequence,
    expiresAt: clock.now() + rules.resendAfterMs,
  };
  state.unconfirmedAdapterOrders.set(id, unconfirmed);
  return () => {
    if (state.unconfirmedAdapterOrders.get(id) !== unconfirmed) return;
    if (previous) state.unconfirmedAdapterOrders.set(id, previous);
    else state.unconfirmedAdapterOrders.delete(id);
  };
}

/**
 * Records the order of a move before it is sent. Returns a function that restores the state if the
 * order was not sent.
 */
function recordMoveOrder(
  { state, clock }: DispatcherContext,
  id: string,
  order: FencedOrder,
): () => void {
  const activeMove = state.activeMoves.get(id);
  if (!activeMove) return () => undefined;
  const { lastOrder: previousOrder } = activeMove;
  const now = clock.now();
  const isStoreLoad = activeMove.move.source === "store" && order.action === "load";
  activeMove.lastOrder = { order, sentAt: now, accepted: false };
  if (isStoreLoad) state.storeLoads.record(now);
  return () => {
    // The move and its loads no longer count after a change of the lease term.
    if (state.activeMoves.get(id) !== activeMove || activeMove.lastOrder?.order !== order) return;
    activeMove.lastOrder = previousOrder;
    if (isStoreLoad) state.storeLoads.removeLast();
  };
}

/** Predicts the engine state after an accepted order. */
function predictOutcome(context: DispatcherContext, target: TargetView, order: FencedOrder): void {
  const activeMove = context.state.activeMoves.get(target.listed.id);
  if (!activeMove) return;
  const models = target.holdings.models.map((model) => model.name);
  const reported = activeMove.predicted ?? {
    sequence: target.holdings.sequence,
    busy: false,
    models,
  };
  activeMove.predicted = predictSnapshot(order, reported);
  activeMove.predictionUsableAt = context.clock.now() + unloadEstimateMs;
}

/** Marks the order as accepted by the engine. */
function markAccepted({ state }: DispatcherContext, id: string, order: FencedOrder): void {
  const lastOrder = state.activeMoves.get(id)?.lastOrder;
  if (lastOrder?.order === order) lastOrder.accepted = true;
}

/** Applies an adapter order to a resident model. */
function applyAdapterOrder(
  held: LoadedModel,
  { action, model, adapter }: FencedOrder,
): LoadedModel {
  if (held.name !== model || adapter === undefined) return held;
  const others = held.adapters.filter((name) => name !== adapter);
  return { ...held, adapters: action === "load" ? [...others, adapter] : others };
}

/**
 * Assumes after `afterMs` that an adapter order has taken effect, since reports show it too late
 * for waiting callers. If the assumption is wrong, the engine refuses the request and its next
 * report corrects the state.
 */
function assumeAdapterOrderDone(
  context: DispatcherContext,
  id: string,
  order: FencedOrder,
  afterMs: Milliseconds,
): void {
  const { fleet, clock, notifyPeers } = context;
  const expectedTarget = fleet.find(id);
  clock.after(afterMs, () => {
    const target = fleet.find(id);
    if (target !== expectedTarget) return;
    const state = target && stateInCurrentTerm(context, target);
    if (!state || target.holdings.sequence !== order.expectedSequence) return;
    const models = target.holdings.models.map((held) => applyAdapterOrder(held, order));
    fleet.applyState(id, { ...state, sequence: order.expectedSequence + 1, models }, 0);
    notifyPeers();
  });
}

/**
 * Sends the order with the given epoch, unless the lease ends before it can be written; the engine is
 * polled if it does not accept the order.
 */
export async function sendOrder(
  context: DispatcherContext,
  target: TargetView,
  plannedOrder: PlannedOrder,
  epoch: Epoch,
): Promise<void> {
  const { state, engines, self, lease, clock } = context;
  const { id } = target.listed;
  const { order: weightOrder, expectedSequence } = plannedOrder;
  const engineShape = engineShapeOf(context, target);
  if (!engineShape || state.pendingOrders.has(id)) return;
  invariant(
    fits(target, engineShape, plannedOrder),
    "weights-fit",
    () => `${id} ${weightOrder.model}`,
  );
  const order: FencedOrder = { ...weightOrder, expectedSequence, epoch, holder: self };
  const previousOrder = state.activeMoves.get(id)?.lastOrder;
  // Orders that conflict with this one are not sent while it is pending.
  const restoreState =
    order.adapter === undefined
      ? recordMoveOrder(context, id, order)
      : recordAdapterOrder(context, id, order);
  state.pendingOrders.add(id);
  const timing: OrderTiming = {
    handedOverAt: clock.now(),
    leaseLeftMs: lease.remainingLeaseMs(),
  };
  const isPermitted = () => {
    timing.writableAt = clock.now();
    return lease.epoch() === epoch;
  };
  const result = await engines.order(target.listed, order, isPermitted);
  const answer: OrderAnswer = result
    .ifLeft((failure) => context.onEngineUnreachable(id, failure))
    .map<OrderAnswer>((received) => received)
    .orDefault("unanswered");
  state.pendingOrders.delete(id);
  if (answer === "withheld") {
    restoreState();
    return recordWithheld(context, id, order, timing);
  }
  recordAnswer(context, id, order, answer, timing);
  if (answer === "fenced") lease.recordRefusal(order.epoch);
  if (context.fleet.find(id) !== target) return;
  const activeMove = state.activeMoves.get(id);
  const wasPredicted = expectedSequence > target.holdings.sequence;
  if (activeMove && wasPredicted && answer === "conflict")
    discardOrder(context, activeMove, previousOrder);
  else handleAnswer(context, id, order, answer);
  if (answer === "under_way" || answer === "in_force") predictOutcome(context, target, order);
  if (order.adapter !== undefined && answer === "in_force")
    assumeAdapterOrderDone(context, id, order, 0);
  if (order.adapter !== undefined && answer === "under_way") {
    assumeAdapterOrderDone(context, id, order, adapterLoadEstimateMs);
  }
  if (answer === "under_way") return markAccepted(context, id, order);
  // Any other answer shows that the local view of the engine is outdated.
  void pollEngine(context, target);
}
