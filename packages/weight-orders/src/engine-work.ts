/** The move under way on one engine, and which order it needs next. */
import type { FencedOrder, Milliseconds, WeightOrder } from "@linkfall/types";
import type { WeightMove } from "@linkfall/weight-plan";

/** A move under way: its victims go one by one, then its model comes. */
export interface EngineWork {
  readonly move: WeightMove;
  readonly begunAt: Milliseconds;
  /** The order that was sent last, if it is not known to be done. */
  sent?: SentOrder;
  /** What the engine will hold once an unload that it has taken is done. */
  ahead?: EngineWord;
  /** Nothing is sent ahead of the engine's own word before then. */
  aheadFrom: Milliseconds;
}

/** An order as it went. */
export interface SentOrder {
  readonly order: FencedOrder;
  readonly at: Milliseconds;
  /** The engine has said that it carries the order out. */
  taken: boolean;
}

/** What the engine last said that it holds. */
export interface EngineWord {
  readonly sequence: number;
  readonly busy: boolean;
  readonly models: readonly string[];
}

export type NextStep =
  | { readonly kind: "done" }
  | { readonly kind: "wait" }
  | { readonly kind: "order"; readonly order: WeightOrder };

/** The step that a move needs, given what the engine says. */
export function nextStep(move: WeightMove, word: EngineWord): NextStep {
  if (word.busy) return { kind: "wait" };
  const victim = move.victims.find((name) => word.models.includes(name));
  if (victim !== undefined) return { kind: "order", order: { action: "unload", model: victim } };
  if (word.models.includes(move.model)) return { kind: "done" };
  return { kind: "order", order: { action: "load", model: move.model } };
}

/** The engine's word, or what it will be when an unload that it has taken is done. */
export function wordToGoBy(work: EngineWork, said: EngineWord, now: Milliseconds): EngineWord {
  const { ahead, aheadFrom } = work;
  if (!ahead || said.sequence >= ahead.sequence || now < aheadFrom) return said;
  return ahead;
}

/** What the engine will hold after an order that it has taken; undefined where that must be seen. */
export function wordAfter(order: FencedOrder, said: EngineWord): EngineWord | undefined {
  if (order.action !== "unload" || order.adapter !== undefined) return undefined;
  const models = said.models.filter((name) => name !== order.model);
  return { sequence: order.expectedSequence + 1, busy: false, models };
}

/** Whether the last order may still be on its way: nothing else is sent before it is settled. */
export function isPending(
  work: EngineWork,
  word: EngineWord,
  now: Milliseconds,
  resendMs: Milliseconds,
): boolean {
  const { sent } = work;
  if (!sent) return false;
  // The engine has taken an order since: this one is done, or can no longer be taken.
  if (word.sequence > sent.order.expectedSequence) return false;
  // Reports are older than the answer, and a load may take longer than a lost order is waited for.
  if (sent.taken) return true;
  return now - sent.at < resendMs;
}
