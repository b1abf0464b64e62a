/** How long a move still takes. */
import type { Milliseconds } from "@linkfall/types";
import type { EngineWork } from "./engine-work.js";
import { type GiverContext, shapeOf } from "./giver-context.js";

/** What an unload takes with the reports that show its end. */
const unloadMs: Milliseconds = 300;
/** A short load that should have ended may still take this long. */
export const leastLeftMs: Milliseconds = 100;
/** Loads on engines at work, with the reports that show their end, take so much longer than declared. */
const usualOverrun = 1.15;
/** A load that should have ended is taken to last for this share of its time: engines at work load slowly. */
const overdueShare = 0.1;

/** Time until the move's model is there: until its load is ordered, all of the load is ahead. */
export function moveLeftMs(context: GiverContext, { move, sent }: EngineWork): Milliseconds {
  const belief = context.fleet.find(move.engine);
  const model = belief && shapeOf(context, belief)?.models.get(move.load);
  if (!model) return context.rules.giveUpMs;
  const {
    loadFromMemoryMs: fromMemoryMs,
    loadFromDiskMs: fromDiskMs,
    loadFromStoreMs: fromStoreMs,
  } = model;
  const loadMs = { memory: fromMemoryMs, disk: fromDiskMs, store: fromStoreMs }[move.source];
  if (sent?.order.action !== "load") return loadMs + unloadMs;
  const leftMs = sent.at + loadMs * usualOverrun - context.clock.now();
  return Math.max(leastLeftMs, loadMs * overdueShare, leftMs);
}
