/** Takes the moves under way a step further. */
import type { TargetView } from "@linkfall/fleet";
import type { Epoch } from "@linkfall/types";
import type { WeightMove } from "@linkfall/weight-plan";
import { type ActiveMove, isOrderPending, nextStep, currentSnapshot } from "./active-move.js";
import { endMove, fits, sendOrder, planOrder, planOrderFromPrediction } from "./send-order.js";
import { type DispatcherContext, engineShapeOf, stateInCurrentTerm } from "./dispatcher-context.js";

/** Begins a move; its first order goes with the next look at it. */
export function startMove(
  { state, clock, metrics, logger }: DispatcherContext,
  move: WeightMove,
): void {
  state.activeMoves.set(move.engine, {
    move,
    startedAt: clock.now(),
    predictionUsableAt: Infinity,
  });
  metrics.count("linkfall_loads_total", "Loads begun, by source.", { source: move.source });
  logger.event("moveBegun", {
    target: move.engine,
    model: move.model,
    victims: move.victims.join(" "),
    source: move.source,
    reason: move.reason,
  });
}

function advanceMove(
  context: DispatcherContext,
  belief: TargetView,
  work: ActiveMove,
  epoch: Epoch,
): void {
  const { state, clock, rules } = context;
  const { id } = belief.listed;
  const now = clock.now();
  const read = stateInCurrentTerm(context, belief);
  if (!read || state.pendingOrders.has(id)) return;
  const said = {
    sequence: belief.holdings.sequence,
    busy: read.busy,
    models: belief.holdings.models.map((model) => model.name),
  };
  const word = currentSnapshot(work, said, now);
  if (now - work.startedAt > rules.moveTimeoutMs) return endMove(context, id, "took too long");
  if (isOrderPending(work, word, now, rules.resendAfterMs)) return;
  const next = nextStep(work.move, word);
  if (next.kind === "done") return endMove(context, id, "done");
  if (next.kind !== "order") return;
  // An order that was carried out late may have filled the place since the move was planned.
  const shape = engineShapeOf(context, belief);
  const planned =
    word === said
      ? planOrder(belief, next.order)
      : planOrderFromPrediction(belief, next.order, word);
  if (!shape || !fits(belief, shape, planned)) return endMove(context, id, "no longer fits");
  void sendOrder(context, belief, planned, epoch);
}

/** Looks at every move. */
export function advanceMoves(context: DispatcherContext, epoch: Epoch): void {
  for (const [id, work] of [...context.state.activeMoves]) {
    const belief = context.fleet.find(id);
    if (belief && !belief.listed.leaving) advanceMove(context, belief, work, epoch);
    else endMove(context, id, "engine gone");
  }
}
