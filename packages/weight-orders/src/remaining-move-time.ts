/** How long a move still takes. */
import type { Milliseconds } from "@linkfall/types";
import type { ActiveMove } from "./active-move.js";
import { type DispatcherContext, engineShapeOf } from "./dispatcher-context.js";

/** What an unload takes with the reports that show its end. */
const unloadEstimateMs: Milliseconds = 300;
/** A short load that should have ended may still take this long. */
export const minRemainingMs: Milliseconds = 100;
/** Loads on engines at work, with the reports that show their end, take so much longer than declared. */
const loadTimeFactor = 1.15;
/** A load that should have ended is taken to last for this share of its time: engines at work load slowly. */
const minRemainingFraction = 0.1;

/** Time until the move's model is there: until its load is ordered, all of the load is ahead. */
export function remainingMoveMs(
  context: DispatcherContext,
  { move, lastOrder: sent }: ActiveMove,
): Milliseconds {
  const belief = context.fleet.find(move.engine);
  const model = belief && engineShapeOf(context, belief)?.models.get(move.model);
  if (!model) return context.rules.moveTimeoutMs;
  const {
    loadFromMemoryMs: fromMemoryMs,
    loadFromDiskMs: fromDiskMs,
    loadFromStoreMs: fromStoreMs,
  } = model;
  const loadMs = { memory: fromMemoryMs, disk: fromDiskMs, store: fromStoreMs }[move.source];
  if (sent?.order.action !== "load") return loadMs + unloadEstimateMs;
  const leftMs = sent.sentAt + loadMs * loadTimeFactor - context.clock.now();
  return Math.max(minRemainingMs, loadMs * minRemainingFraction, leftMs);
}
