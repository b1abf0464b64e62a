/**
 * The lives of a target: it may start again under its id, and then holds and knows nothing of before. Its birth tells its
 * lives apart. Weighed: the birth as a part of the key in everything that is kept by id, against one place that begins a
 * new belief; the second, since whoever holds on to the old belief (a send under way, an order that is not answered) then
 * changes nothing of the new one.
 */
import type { EngineInventory, ListedTarget, Milliseconds } from "@linkfall/types";
import { createTargetView, applyHoldings, type TargetView } from "./target-view.js";
import { type FleetState, notifyChange } from "./fleet-state.js";

/** Where a birth was told; `told` is another box, whose word may be older than what is known here. */
export type RestartSource = "list" | "own_word" | "told";

/** Targets that were told of before this box knew of them, or of their life; the oldest are let go of first. */
const maxPendingHoldings = 5_000;

/** Whether two births name one life; a birth that was not told says nothing against it. */
export function isSameIncarnation(
  left: Milliseconds | undefined,
  right: Milliseconds | undefined,
): boolean {
  return left === undefined || right === undefined || left === right;
}

/** Keeps what was told of a target until the list brings it, or its life. */
export function keepPendingHoldings({ pendingHoldings: early }: FleetState, id: string, holdings: EngineInventory): void {
  early.delete(id);
  early.set(id, holdings);
  if (early.size > maxPendingHoldings) early.delete(early.keys().next().value ?? "");
}

/** Takes what was told of a belief's life before this box knew of it. */
export function applyPendingHoldings({ pendingHoldings: early, clock }: FleetState, belief: TargetView): void {
  const { id } = belief.listed;
  const told = early.get(id);
  if (!told || !isSameIncarnation(told.born, belief.born)) return;
  early.delete(id);
  applyHoldings(belief, told, clock.now());
}

/** Tells that nothing that is kept of a target counts any more. */
export function notifyIncarnationEnded({ incarnationListeners: lifeListeners }: FleetState, id: string): void {
  for (const listener of lifeListeners) listener(id);
}

/** Begins to believe in a new life: nothing of the one before counts. */
function beginIncarnation(
  state: FleetState,
  listed: ListedTarget,
  born: Milliseconds | undefined,
  source: RestartSource,
): TargetView {
  const { targets: beliefs, clock, engineShapes: engines, logger } = state;
  const belief = createTargetView(listed, born, engines.get(listed.service), clock.now());
  beliefs.set(listed.id, belief);
  logger.event("targetStartedAgain", { target: listed.id, born, source });
  applyPendingHoldings(state, belief);
  notifyIncarnationEnded(state, listed.id);
  notifyChange(state);
  return belief;
}

/**
 * The belief that an entry of the list is about. The list tells its entries in order, so that a birth which it did not tell
 * before is news whatever it is: a target's clock may have been set back. Only of the first birth that it tells is it not
 * known whether it is older than what the target itself has said; there the later one counts.
 */
export function viewForEntry(
  state: FleetState,
  belief: TargetView,
  listed: ListedTarget,
): TargetView {
  const { born } = listed;
  if (born === undefined || isSameIncarnation(born, belief.born)) return belief;
  const before = belief.listed.born;
  const isNews = before === undefined ? born > (belief.born ?? 0) : born !== before;
  return isNews ? beginIncarnation(state, listed, born, "list") : belief;
}

/** The belief that a target's own answer is about; it is the newest word of all. */
export function viewForDirectReport(
  state: FleetState,
  belief: TargetView,
  { born }: EngineInventory,
): TargetView {
  if (isSameIncarnation(born, belief.born)) return belief;
  return beginIncarnation(state, entryAfterRestart(belief.listed), born, "own_word");
}

/**
 * The belief that another box's word is about, or undefined where that word is of another life than the newest one known
 * here. A later birth is news; an earlier one is most likely late, and is kept in case the list brings that life.
 */
export function viewForRelayedReport(
  state: FleetState,
  belief: TargetView,
  holdings: EngineInventory,
): TargetView | undefined {
  const { born } = holdings;
  if (isSameIncarnation(born, belief.born)) return belief;
  if ((born ?? 0) > (belief.born ?? 0)) {
    return beginIncarnation(state, entryAfterRestart(belief.listed), born, "told");
  }
  keepPendingHoldings(state, belief.listed.id, holdings);
  return undefined;
}

/** What is left of an entry of the life before: where the target was, but not what it held or that it was leaving. */
function entryAfterRestart(listed: ListedTarget): ListedTarget {
  return { ...listed, leaving: false, models: listed.models && [] };
}
