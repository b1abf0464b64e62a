/** The move under way on one engine, and which order it needs next. */
import type { FencedOrder, Milliseconds, WeightOrder } from "@linkfall/types";
import type { WeightMove } from "@linkfall/weight-plan";

/** A move under way: its victims go one by one, then its model comes. */
export interface ActiveMove {
  readonly move: WeightMove;
  readonly startedAt: Milliseconds;
  /** The order that was sent last, if it is not known to be done. */
  lastOrder?: SentOrder;
  /** What the engine will hold once an unload that it has taken is done. */
  predicted?: EngineSnapshot;
  /** Nothing is sent ahead of the engine's own word before then. */
  predictionUsableAt: Milliseconds;
}

/** An order as it went. */
export interface SentOrder {
  readonly order: FencedOrder;
  readonly sentAt: Milliseconds;
  /** The engine has said that it carries the order out. */
  accepted: boolean;
}

/** What the engine last said that it holds. */
export interface EngineSnapshot {
  readonly sequence: number;
  readonly busy: boolean;
  readonly models: readonly string[];
}

export type NextStep =
  | { readonly kind: "done" }
  | { readonly kind: "wait" }
  | { readonly kind: "order"; readonly order: WeightOrder };

/** The step that a move needs, given what the engine says. */
export function nextStep(move: WeightMove, word: EngineSnapshot): NextStep {
  if (word.busy) return { kind: "wait" };
  const victim = move.victims.find((name) => word.models.includes(name));
  if (victim !== undefined) return { kind: "order", order: { action: "unload", model: victim } };
  if (word.models.includes(move.model)) return { kind: "done" };
  return { kind: "order", order: { action: "load", model: move.model } };
}

/** The engine's word, or what it will be when an unload that it has taken is done. */
export function currentSnapshot(work: ActiveMove, said: EngineSnapshot, now: Milliseconds): EngineSnapshot {
  const { predicted: ahead, predictionUsableAt: aheadFrom } = work;
  if (!ahead || said.sequence >= ahead.sequence || now < aheadFrom) return said;
  return ahead;
}

/** What the engine will hold after an order that it has taken; undefined where that must be seen. */
export function predictSnapshot(order: FencedOrder, said: EngineSnapshot): EngineSnapshot | undefined {
  if (order.action !== "unload" || order.adapter !== undefined) return undefined;
  const models = said.models.filter((name) => name !== order.model);
  return { sequence: order.expectedSequence + 1, busy: false, models };
}

/** Whether the last order may still be on its way: nothing else is sent before it is settled. */
export function isOrderPending(
  work: ActiveMove,
  word: EngineSnapshot,
  now: Milliseconds,
  resendMs: Milliseconds,
): boolean {
  const { lastOrder: sent } = work;
  if (!sent) return false;
  // The engine has taken an order since: this one is done, or can no longer be taken.
  if (word.sequence > sent.order.expectedSequence) return false;
  // Reports are older than the answer, and a load may take longer than a lost order is waited for.
  if (sent.accepted) return true;
  return now - sent.sentAt < resendMs;
}
