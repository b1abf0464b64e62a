/** State of a move in progress, and the order that it needs next. */
import type { FencedOrder, Milliseconds, WeightOrder } from "@linkfall/types";
import type { WeightMove } from "@linkfall/weight-plan";

/** A move in progress: unloads its victims one by one, then loads its model. */
export interface ActiveMove {
  readonly move: WeightMove;
  readonly startedAt: Milliseconds;
  /** The last order sent, unless it is known to be done. */
  lastOrder?: SentOrder;
  /** Predicted engine state after an accepted unload has finished. */
  predicted?: EngineSnapshot;
  /** Earliest time at which orders may be based on the prediction. */
  predictionUsableAt: Milliseconds;
}

/** An order that has been sent. */
export interface SentOrder {
  readonly order: FencedOrder;
  readonly sentAt: Milliseconds;
  /** Whether the engine has accepted the order. */
  accepted: boolean;
}

/** Last reported state of an engine. */
export interface EngineSnapshot {
  readonly sequence: number;
  readonly busy: boolean;
  readonly models: readonly string[];
}

export type NextStep =
  | { readonly kind: "done" }
  | { readonly kind: "wait" }
  | { readonly kind: "order"; readonly order: WeightOrder };

/** Returns the next step of a move for the given engine state. */
export function nextStep(move: WeightMove, snapshot: EngineSnapshot): NextStep {
  if (snapshot.busy) return { kind: "wait" };
  const victim = move.victims.find((name) => snapshot.models.includes(name));
  if (victim !== undefined) return { kind: "order", order: { action: "unload", model: victim } };
  if (snapshot.models.includes(move.model)) return { kind: "done" };
  return { kind: "order", order: { action: "load", model: move.model } };
}

/** Returns the reported state, or the prediction if it is newer and may be used. */
export function currentSnapshot(
  activeMove: ActiveMove,
  reported: EngineSnapshot,
  now: Milliseconds,
): EngineSnapshot {
  const { predicted, predictionUsableAt } = activeMove;
  if (!predicted || reported.sequence >= predicted.sequence || now < predictionUsableAt)
    return reported;
  return predicted;
}

/** Predicts the engine state after an accepted order; undefined if the report has to be awaited. */
export function predictSnapshot(
  order: FencedOrder,
  reported: EngineSnapshot,
): EngineSnapshot | undefined {
  if (order.action !== "unload" || order.adapter !== undefined) return undefined;
  const models = reported.models.filter((name) => name !== order.model);
  return { sequence: order.expectedSequence + 1, busy: false, models };
}

/** Returns whether the last order may still take effect, in which case no other order is sent. */
export function isOrderPending(
  activeMove: ActiveMove,
  snapshot: EngineSnapshot,
  now: Milliseconds,
  resendAfterMs: Milliseconds,
): boolean {
  const { lastOrder } = activeMove;
  if (!lastOrder) return false;
  // The engine has accepted an order with this sequence, so this one is done or will be rejected.
  if (snapshot.sequence > lastOrder.order.expectedSequence) return false;
  // Reports lag behind the response, and a load may take longer than the resend timeout.
  if (lastOrder.accepted) return true;
  return now - lastOrder.sentAt < resendAfterMs;
}
