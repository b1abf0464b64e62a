/** Estimates the remaining time of a move. */
import type { Milliseconds } from "@linkfall/types";
import type { ActiveMove } from "./active-move.js";
import { type DispatcherContext, engineShapeOf } from "./dispatcher-context.js";

/** Expected duration of an unload until it shows in a report. */
const unloadEstimateMs: Milliseconds = 300;
/** Lower bound on the estimate for a short load that should have finished. */
export const minRemainingMs: Milliseconds = 100;
/** Factor on the declared load time, for loads on busy engines and the delay of reports. */
const loadTimeFactor = 1.15;
/**
 * Lower bound on the estimate as a fraction of the load time, for overdue loads on busy engines.
 */
const minRemainingFraction = 0.1;

/**
 * Returns the time until the move's model is ready; the full load time until its load is ordered.
 */
export function remainingMoveMs(
  context: DispatcherContext,
  { move, lastOrder }: ActiveMove,
): Milliseconds {
  const target = context.fleet.find(move.engine);
  const model = target && engineShapeOf(context, target)?.models.get(move.model);
  if (!model) return context.rules.moveTimeoutMs;
  const {
    loadFromMemoryMs: fromMemoryMs,
    loadFromDiskMs: fromDiskMs,
    loadFromStoreMs: fromStoreMs,
  } = model;
  const loadMs = { memory: fromMemoryMs, disk: fromDiskMs, store: fromStoreMs }[move.source];
  if (lastOrder?.order.action !== "load") return loadMs + unloadEstimateMs;
  const remainingMs = lastOrder.sentAt + loadMs * loadTimeFactor - context.clock.now();
  return Math.max(minRemainingMs, loadMs * minRemainingFraction, remainingMs);
}
