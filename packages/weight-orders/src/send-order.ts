/** Sends one order to one engine, checked against what the engine holds. */
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
import { pollEngine } from "./poll-engines.js";
import { type EngineSnapshot, type ActiveMove, type SentOrder, predictSnapshot } from "./active-move.js";
import { type DispatcherContext, engineShapeOf, stateInCurrentTerm } from "./dispatcher-context.js";

/** An unload of a model that nobody uses is done about so long after it was taken. */
const unloadEstimateMs: Milliseconds = 20;
/** Time after which an adapter's load is taken to be done; most take some milliseconds. */
const adapterLoadEstimateMs: Milliseconds = 30;
/** Pause after an order ahead of the engine's word was too early. */
const predictionRetryMs: Milliseconds = 60;

/** An order with what the engine is taken to hold when it arrives. */
export interface PlannedOrder {
  readonly order: WeightOrder;
  readonly expectedSequence: number;
  readonly residents: readonly LoadedModel[];
}

/** The order against what the engine says that it holds. */
export function planOrder(belief: TargetView, wanted: WeightOrder): PlannedOrder {
  const { sequence, models } = belief.holdings;
  return { order: wanted, expectedSequence: sequence, residents: models };
}

/** The order against what the engine will hold, as far as a move knows it. */
export function planOrderFromPrediction(
  belief: TargetView,
  wanted: WeightOrder,
  word: EngineSnapshot,
): PlannedOrder {
  const residents = belief.holdings.models.filter((model) => word.models.includes(model.name));
  return { order: wanted, expectedSequence: word.sequence, residents };
}

/** Whether an order leaves the engine within its memory and its adapter places. */
export function fits(
  belief: TargetView,
  shape: EngineSpec,
  { order: wanted, residents }: PlannedOrder,
): boolean {
  if (wanted.action !== "load") return true;
  const held = { residents, adaptersComing: belief.state?.adaptersComing ?? [] };
  const model = shape.models.get(wanted.model);
  const addedMb = wanted.adapter === undefined ? model?.memoryMb : model?.adapterMb;
  const totalMb = usedMb(held, shape.models) + (addedMb ?? Infinity);
  if (totalMb > shape.memoryMb) return false;
  return wanted.adapter === undefined || usedAdapterSlots(held) < shape.adapterSlots;
}

/** Ends a move, whatever came of it. */
export function endMove(context: DispatcherContext, id: string, why: string): void {
  const work = context.state.activeMoves.get(id);
  if (!work) return;
  context.state.activeMoves.delete(id);
  context.logger.event("moveEnded", { target: id, model: work.move.model, why });
  context.notifyPeers();
}

function recordAnswer(
  { logger, metrics }: DispatcherContext,
  id: string,
  order: FencedOrder,
  answer: string,
) {
  metrics.count("linkfall_orders_total", "Orders by answer.", { action: order.action, answer });
  logger.event("orderAnswered", {
    target: id,
    action: order.action,
    model: order.model,
    adapter: order.adapter,
    expected: order.expectedSequence,
    epoch: order.epoch,
    answer,
  });
}

/** An order ahead of the engine's word was too early: what was sent before it stands. */
function discardOrder(context: DispatcherContext, work: ActiveMove, before: SentOrder | undefined): void {
  const { state, clock } = context;
  const storeLoad = work.move.source === "store" && work.lastOrder?.order.action === "load";
  if (storeLoad) state.storeLoads.removeLast();
  work.lastOrder = before;
  work.predictionUsableAt = clock.now() + predictionRetryMs;
}

function handleAnswer(context: DispatcherContext, id: string, order: FencedOrder, answer: OrderResult) {
  const { fleet, state } = context;
  if (answer === "gone") fleet.recordUnreachable(id, "another start has its address");
  if (answer !== "conflict" && answer !== "refused" && answer !== "gone") return;
  state.unconfirmedAdapterOrders.delete(id);
  endMove(context, id, answer);
}

/** Notes an order before it goes, so that nothing else is sent while its effect is open. */
function recordSentOrder(context: DispatcherContext, id: string, order: FencedOrder): void {
  const { state, clock, rules } = context;
  const now = clock.now();
  if (order.adapter !== undefined) {
    const key = `${order.model}/${order.adapter}`;
    const after = order.expectedSequence;
    state.unconfirmedAdapterOrders.set(id, { key, sequenceBefore: after, expiresAt: now + rules.resendAfterMs });
    return;
  }
  const work = state.activeMoves.get(id);
  if (!work) return;
  work.lastOrder = { order, sentAt: now, accepted: false };
  if (work.move.source === "store" && order.action === "load") state.storeLoads.record(now);
}

/** Notes what the engine will hold when an order that it has taken is done. */
function predictOutcome(context: DispatcherContext, belief: TargetView, order: FencedOrder): void {
  const work = context.state.activeMoves.get(belief.listed.id);
  if (!work) return;
  const models = belief.holdings.models.map((model) => model.name);
  const said = work.predicted ?? { sequence: belief.holdings.sequence, busy: false, models };
  work.predicted = predictSnapshot(order, said);
  work.predictionUsableAt = context.clock.now() + unloadEstimateMs;
}

/** Notes that the engine carries the order out. */
function markAccepted({ state }: DispatcherContext, id: string, order: FencedOrder): void {
  const sent = state.activeMoves.get(id)?.lastOrder;
  if (sent?.order === order) sent.accepted = true;
}

/** What an engine holds of a model after an order about one of its adapters. */
function applyAdapterOrder(held: LoadedModel, { action, model, adapter }: FencedOrder): LoadedModel {
  if (held.name !== model || adapter === undefined) return held;
  const others = held.adapters.filter((name) => name !== adapter);
  return { ...held, adapters: action === "load" ? [...others, adapter] : others };
}

/**
 * Takes what an order about an adapter does to be done after `afterMs`: an engine's reports show it only when
 * they have grown old, and callers cannot wait for that. Where it is not done yet, the engine refuses, and its
 * next report counts.
 */
function assumeAdapterOrderDone(
  context: DispatcherContext,
  id: string,
  order: FencedOrder,
  afterMs: Milliseconds,
): void {
  const { fleet, clock, notifyPeers: announce } = context;
  const known = fleet.find(id);
  clock.after(afterMs, () => {
    const belief = fleet.find(id);
    if (belief !== known) return;
    const state = belief && stateInCurrentTerm(context, belief);
    if (!state || belief.holdings.sequence !== order.expectedSequence) return;
    const models = belief.holdings.models.map((held) => applyAdapterOrder(held, order));
    fleet.applyState(id, { ...state, sequence: order.expectedSequence + 1, models }, 0);
    announce();
  });
}

/** Gives the order under the epoch; an engine that does not take it is asked for its state. */
export async function sendOrder(
  context: DispatcherContext,
  belief: TargetView,
  planned: PlannedOrder,
  epoch: Epoch,
): Promise<void> {
  const { state, engines, self } = context;
  const { id } = belief.listed;
  const { order: wanted, expectedSequence } = planned;
  const shape = engineShapeOf(context, belief);
  if (!shape || state.pendingOrders.has(id)) return;
  invariant(fits(belief, shape, planned), "weights-fit", () => `${id} ${wanted.model}`);
  const order: FencedOrder = { ...wanted, expectedSequence, epoch, holder: self };
  const before = state.activeMoves.get(id)?.lastOrder;
  recordSentOrder(context, id, order);
  state.pendingOrders.add(id);
  const answer = await engines.order(belief.listed, order);
  state.pendingOrders.delete(id);
  recordAnswer(context, id, order, answer);
  if (answer === "fenced") context.lease.recordRefusal(order.epoch);
  if (context.fleet.find(id) !== belief) return;
  const work = state.activeMoves.get(id);
  const wasAhead = expectedSequence > belief.holdings.sequence;
  if (work && wasAhead && answer === "conflict") discardOrder(context, work, before);
  else handleAnswer(context, id, order, answer);
  if (answer === "under_way" || answer === "in_force") predictOutcome(context, belief, order);
  if (order.adapter !== undefined && answer === "in_force") assumeAdapterOrderDone(context, id, order, 0);
  if (order.adapter !== undefined && answer === "under_way") {
    assumeAdapterOrderDone(context, id, order, adapterLoadEstimateMs);
  }
  if (answer === "under_way") return markAccepted(context, id, order);
  // Anything else says that the engine is not as it was believed to be.
  void pollEngine(context, belief);
}
