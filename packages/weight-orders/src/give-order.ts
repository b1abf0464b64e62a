/** Sends one order to one engine, checked against what the engine holds. */
import { invariant } from "@linkfall/errors";
import type { TargetBelief } from "@linkfall/fleet";
import type { EngineShape, Epoch, FencedOrder, OrderAnswer, WeightOrder } from "@linkfall/types";
import { adaptersTaken, usedMb } from "@linkfall/weight-plan";
import { askEngine } from "./ask-engines.js";
import { type GiverContext, shapeOf } from "./giver-context.js";

/** Whether an order leaves the engine within its memory and its adapter places. */
export function fits(belief: TargetBelief, shape: EngineShape, order: WeightOrder): boolean {
  if (order.action !== "load") return true;
  const coming = belief.state?.adaptersComing ?? [];
  const held = { residents: belief.holdings.models, adaptersComing: coming };
  const model = shape.models.get(order.model);
  const addedMb = order.adapter === undefined ? model?.memoryMb : model?.adapterMb;
  const totalMb = usedMb(held, shape.models) + (addedMb ?? Infinity);
  if (totalMb > shape.memoryMb) return false;
  return order.adapter === undefined || adaptersTaken(held) < shape.adapterSlots;
}

/** Ends a move, whatever came of it. */
export function endMove(context: GiverContext, id: string, why: string): void {
  const work = context.state.work.get(id);
  if (!work) return;
  context.state.work.delete(id);
  context.logger.event("moveEnded", { target: id, model: work.move.load, why });
  context.announce();
}

function takeAnswer(context: GiverContext, id: string, order: FencedOrder, answer: OrderAnswer) {
  const { logger, metrics, lease, fleet, state } = context;
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
  if (answer === "fenced") lease.refused(order.epoch);
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
  work.sent = { order, at: now };
  if (work.move.source === "store" && order.action === "load") state.loads.began(now);
}

/** Gives the order under the epoch, and asks for the engine's state after its answer. */
export async function giveOrder(
  context: GiverContext,
  belief: TargetBelief,
  wanted: WeightOrder,
  epoch: Epoch,
): Promise<void> {
  const { state, engines, self } = context;
  const { id } = belief.listed;
  const shape = shapeOf(context, belief);
  if (!shape || state.ordering.has(id)) return;
  invariant(fits(belief, shape, wanted), "weights-fit", () => `${id} ${wanted.model}`);
  const expectedSequence = belief.holdings.sequence;
  const order: FencedOrder = { ...wanted, expectedSequence, epoch, holder: self };
  noteSent(context, id, order);
  state.ordering.add(id);
  const answer = await engines.order(belief.listed, order);
  state.ordering.delete(id);
  takeAnswer(context, id, order, answer);
  void askEngine(context, belief);
}
