/** Starts moves and advances those in progress. */
import type { TargetView } from "@linkfall/fleet";
import type { Epoch } from "@linkfall/types";
import type { WeightMove } from "@linkfall/weight-plan";
import { type ActiveMove, currentSnapshot, isOrderPending, nextStep } from "./active-move.js";
import { type DispatcherContext, engineShapeOf, stateInCurrentTerm } from "./dispatcher-context.js";
import { endMove, fits, planOrder, planOrderFromPrediction, sendOrder } from "./send-order.js";

/** Starts a move; its first order is sent in the next cycle. */
export function startMove(
  { state, clock, metrics, logger }: DispatcherContext,
  move: WeightMove,
): void {
  state.activeMoves.set(move.engine, {
    move,
    startedAt: clock.now(),
    predictionUsableAt: Infinity,
  });
  metrics.count("linkfall_loads_total", "Model loads started, by source.", { source: move.source });
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
  target: TargetView,
  activeMove: ActiveMove,
  epoch: Epoch,
): void {
  const { state, clock, rules } = context;
  const { id } = target.listed;
  const now = clock.now();
  const engineState = stateInCurrentTerm(context, target);
  if (!engineState || state.pendingOrders.has(id)) return;
  const reported = {
    sequence: target.holdings.sequence,
    busy: engineState.busy,
    models: target.holdings.models.map((model) => model.name),
  };
  const snapshot = currentSnapshot(activeMove, reported, now);
  if (now - activeMove.startedAt > rules.moveTimeoutMs) return endMove(context, id, "timed out");
  if (isOrderPending(activeMove, snapshot, now, rules.resendAfterMs)) return;
  const step = nextStep(activeMove.move, snapshot);
  if (step.kind === "done") return endMove(context, id, "done");
  if (step.kind !== "order") return;
  // A delayed order may have used the memory since the move was planned.
  const engineShape = engineShapeOf(context, target);
  const plannedOrder =
    snapshot === reported
      ? planOrder(target, step.order)
      : planOrderFromPrediction(target, step.order, snapshot);
  if (!engineShape || !fits(target, engineShape, plannedOrder))
    return endMove(context, id, "not enough memory left");
  void sendOrder(context, target, plannedOrder, epoch);
}

/** Advances every move in progress. */
export function advanceMoves(context: DispatcherContext, epoch: Epoch): void {
  for (const [id, activeMove] of [...context.state.activeMoves]) {
    const target = context.fleet.find(id);
    if (target && !target.listed.leaving) advanceMove(context, target, activeMove, epoch);
    else endMove(context, id, "engine removed");
  }
}
