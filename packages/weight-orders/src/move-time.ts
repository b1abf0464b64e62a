/** How long a move still takes. */
import type { Milliseconds } from "@linkfall/types";
import type { EngineWork } from "./engine-work.js";
import { type GiverContext, shapeOf } from "./giver-context.js";

/** What an unload takes with the reports that show its end. */
const unloadMs: Milliseconds = 300;
/** A load that should have ended may still take this long. */
export const leastLeftMs: Milliseconds = 100;

/** Time until the move's model is there: until its load is ordered, all of the load is ahead. */
export function moveLeftMs(context: GiverContext, { move, sent }: EngineWork): Milliseconds {
  const belief = context.fleet.find(move.engine);
  const model = belief && shapeOf(context, belief)?.models.get(move.load);
  if (!model) return context.rules.giveUpMs;
  const { fromMemoryMs, fromDiskMs, fromStoreMs } = model;
  const loadMs = { memory: fromMemoryMs, disk: fromDiskMs, store: fromStoreMs }[move.source];
  if (sent?.order.action !== "load") return loadMs + unloadMs;
  return Math.max(leastLeftMs, sent.at + loadMs - context.clock.now());
}
