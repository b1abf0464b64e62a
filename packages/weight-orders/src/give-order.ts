/** Sends one order to one engine, checked against what the engine holds. */
import { invariant } from "@linkfall/errors";
import type { TargetBelief } from "@linkfall/fleet";
import type {
  EngineSpec,
  Epoch,
  FencedOrder,
  Milliseconds,
  OrderResult,
  LoadedModel,
  WeightOrder,
} from "@linkfall/types";
import { adaptersTaken, usedMb } from "@linkfall/weight-plan";
import { askEngine } from "./ask-engines.js";
import { type EngineWord, type EngineWork, type SentOrder, wordAfter } from "./engine-work.js";
import { type GiverContext, shapeOf, stateInTenure } from "./giver-context.js";

/** An unload of a model that nobody uses is done about so long after it was taken. */
const aheadFirstMs: Milliseconds = 20;
/** Time after which an adapter's load is taken to be done; most take some milliseconds. */
const adapterLoadMs: Milliseconds = 30;
/** Pause after an order ahead of the engine's word was too early. */
const aheadAgainMs: Milliseconds = 60;

/** An order with what the engine is taken to hold when it arrives. */
export interface PlannedOrder {
  readonly wanted: WeightOrder;
  readonly expectedSequence: number;
  readonly residents: readonly LoadedModel[];
}

/** The order against what the engine says that it holds. */
export function planOrder(belief: TargetBelief, wanted: WeightOrder): PlannedOrder {
  const { sequence, models } = belief.holdings;
  return { wanted, expectedSequence: sequence, residents: models };
}

/** The order against what the engine will hold, as far as a move knows it. */
export function planOrderAhead(
  belief: TargetBelief,
  wanted: WeightOrder,
  word: EngineWord,
): PlannedOrder {
  const residents = belief.holdings.models.filter((model) => word.models.includes(model.name));
  return { wanted, expectedSequence: word.sequence, residents };
}

/** Whether an order leaves the engine within its memory and its adapter places. */
export function fits(
  belief: TargetBelief,
  shape: EngineSpec,
  { wanted, residents }: PlannedOrder,
): boolean {
  if (wanted.action !== "load") return true;
  const held = { residents, adaptersComing: belief.state?.adaptersComing ?? [] };
  const model = shape.models.get(wanted.model);
  const addedMb = wanted.adapter === undefined ? model?.memoryMb : model?.adapterMb;
  const totalMb = usedMb(held, shape.models) + (addedMb ?? Infinity);
  if (totalMb > shape.memoryMb) return false;
  return wanted.adapter === undefined || adaptersTaken(held) < shape.adapterSlots;
}

/** Ends a move, whatever came of it. */
export function endMove(context: GiverContext, id: string, why: string): void {
  const work = context.state.work.get(id);
  if (!work) return;
  context.state.work.delete(id);
  context.logger.event("moveEnded", { target: id, model: work.move.load, why });
  context.announce();
}

function logAnswer(
  { logger, metrics }: GiverContext,
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
function takeBack(context: GiverContext, work: EngineWork, before: SentOrder | undefined): void {
  const { state, clock } = context;
  const storeLoad = work.move.source === "store" && work.sent?.order.action === "load";
  if (storeLoad) state.loads.undo();
  work.sent = before;
  work.aheadFrom = clock.now() + aheadAgainMs;
}

function takeAnswer(context: GiverContext, id: string, order: FencedOrder, answer: OrderResult) {
  const { fleet, state } = context;
  if (answer === "gone") fleet.unreachable(id, "another start has its address");
  if (answer !== "conflict" && answer !== "refused" && answer !== "gone") return;
  state.adapterOrders.delete(id);
  endMove(context, id, answer);
}

/** Notes an order before it goes, so that nothing else is sent while its effect is open. */
function noteSent(context: GiverContext, id: string, order: FencedOrder): void {
  const { state, clock, rules } = context;
  const now = clock.now();
  if (order.adapter !== undefined) {
    const key = `${order.model}/${order.adapter}`;
    const after = order.expectedSequence;
    state.adapterOrders.set(id, { key, after, until: now + rules.resendMs });
    return;
  }
  const work = state.work.get(id);
  if (!work) return;
  work.sent = { order, at: now, taken: false };
  if (work.move.source === "store" && order.action === "load") state.loads.began(now);
}

/** Notes what the engine will hold when an order that it has taken is done. */
function lookAhead(context: GiverContext, belief: TargetBelief, order: FencedOrder): void {
  const work = context.state.work.get(belief.listed.id);
  if (!work) return;
  const models = belief.holdings.models.map((model) => model.name);
  const said = work.ahead ?? { sequence: belief.holdings.sequence, busy: false, models };
  work.ahead = wordAfter(order, said);
  work.aheadFrom = context.clock.now() + aheadFirstMs;
}

/** Notes that the engine carries the order out. */
function noteTaken({ state }: GiverContext, id: string, order: FencedOrder): void {
  const sent = state.work.get(id)?.sent;
  if (sent?.order === order) sent.taken = true;
}

/** What an engine holds of a model after an order about one of its adapters. */
function withAdapter(held: LoadedModel, { action, model, adapter }: FencedOrder): LoadedModel {
  if (held.name !== model || adapter === undefined) return held;
  const others = held.adapters.filter((name) => name !== adapter);
  return { ...held, adapters: action === "load" ? [...others, adapter] : others };
}

/**
 * Takes what an order about an adapter does to be done after `afterMs`: an engine's reports show it only when
 * they have grown old, and callers cannot wait for that. Where it is not done yet, the engine refuses, and its
 * next report counts.
 */
function assumeAdapter(
  context: GiverContext,
  id: string,
  order: FencedOrder,
  afterMs: Milliseconds,
): void {
  const { fleet, clock, announce } = context;
  const known = fleet.find(id);
  clock.after(afterMs, () => {
    const belief = fleet.find(id);
    if (belief !== known) return;
    const state = belief && stateInTenure(context, belief);
    if (!state || belief.holdings.sequence !== order.expectedSequence) return;
    const models = belief.holdings.models.map((held) => withAdapter(held, order));
    fleet.takeState(id, { ...state, sequence: order.expectedSequence + 1, models }, 0);
    announce();
  });
}

/** Gives the order under the epoch; an engine that does not take it is asked for its state. */
export async function giveOrder(
  context: GiverContext,
  belief: TargetBelief,
  planned: PlannedOrder,
  epoch: Epoch,
): Promise<void> {
  const { state, engines, self } = context;
  const { id } = belief.listed;
  const { wanted, expectedSequence } = planned;
  const shape = shapeOf(context, belief);
  if (!shape || state.ordering.has(id)) return;
  invariant(fits(belief, shape, planned), "weights-fit", () => `${id} ${wanted.model}`);
  const order: FencedOrder = { ...wanted, expectedSequence, epoch, holder: self };
  const before = state.work.get(id)?.sent;
  noteSent(context, id, order);
  state.ordering.add(id);
  const answer = await engines.order(belief.listed, order);
  state.ordering.delete(id);
  logAnswer(context, id, order, answer);
  if (answer === "fenced") context.lease.refused(order.epoch);
  if (context.fleet.find(id) !== belief) return;
  const work = state.work.get(id);
  const wasAhead = expectedSequence > belief.holdings.sequence;
  if (work && wasAhead && answer === "conflict") takeBack(context, work, before);
  else takeAnswer(context, id, order, answer);
  if (answer === "under_way" || answer === "in_force") lookAhead(context, belief, order);
  if (order.adapter !== undefined && answer === "in_force") assumeAdapter(context, id, order, 0);
  if (order.adapter !== undefined && answer === "under_way") {
    assumeAdapter(context, id, order, adapterLoadMs);
  }
  if (answer === "under_way") return noteTaken(context, id, order);
  // Anything else says that the engine is not as it was believed to be.
  void askEngine(context, belief);
}
