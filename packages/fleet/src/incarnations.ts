/**
 * Detects restarts of targets. A restarted target keeps its id and has a new start time (`born`). Each incarnation gets a
 * new view, so that callers still holding the old one (a request or an order in flight) can't affect it.
 */
import {
  type EngineInventory,
  isSameIncarnation,
  type ListedTarget,
  type Milliseconds,
} from "@linkfall/types";
import { applyHoldings, createTargetView, type TargetView } from "./target-view.js";
import { type FleetState, notifyChange } from "./fleet-state.js";
import { endRestOfEarlierIncarnation } from "./rests.js";

/** Source of a start time: the target list, the target's own state, or another box, whose report may be outdated. */
export type RestartSource = "list" | "own_word" | "told";

/** Limit of pending holdings; the oldest are evicted first. */
const maxPendingHoldings = 5_000;

/** Keeps relayed holdings until the target, or its incarnation, is listed. */
export function keepPendingHoldings(
  { pendingHoldings }: FleetState,
  id: string,
  holdings: EngineInventory,
): void {
  pendingHoldings.delete(id);
  pendingHoldings.set(id, holdings);
  if (pendingHoldings.size > maxPendingHoldings)
    pendingHoldings.delete(pendingHoldings.keys().next().value ?? "");
}

/** Applies pending holdings of the target's current incarnation. */
export function applyPendingHoldings(
  { pendingHoldings, clock }: FleetState,
  target: TargetView,
): void {
  const { id } = target.listed;
  const pending = pendingHoldings.get(id);
  if (!pending || !isSameIncarnation(pending.born, target.born)) return;
  pendingHoldings.delete(id);
  applyHoldings(target, pending, clock.now());
}

/** Notifies listeners that state kept for the target is void. */
export function notifyIncarnationEnded({ incarnationListeners }: FleetState, id: string): void {
  for (const listener of incarnationListeners) listener(id);
}

/** Returns the entry marked as leaving if the incarnation is known to be leaving or to have departed. */
export function withLeavingNotice(
  { leavingTargets, departedTargets }: FleetState,
  listed: ListedTarget,
  born: Milliseconds | undefined,
): ListedTarget {
  const { id } = listed;
  const leaving = leavingTargets.isLeaving(id, born) || departedTargets.hasDeparted(id, born);
  return { ...listed, leaving: listed.leaving || leaving };
}

/** Replaces the target's view by an empty one for a new incarnation. */
function beginIncarnation(
  state: FleetState,
  listed: ListedTarget,
  born: Milliseconds | undefined,
  source: RestartSource,
): TargetView {
  const { targets, clock, engineShapes, leavingTargets, departedTargets, logger } = state;
  leavingTargets.startIncarnation(listed.id, born);
  departedTargets.startIncarnation(listed.id, born);
  endRestOfEarlierIncarnation(state, listed.id, born);
  const entry = withLeavingNotice(state, listed, born);
  const target = createTargetView(entry, born, engineShapes.get(listed.service), clock.now());
  targets.set(listed.id, target);
  logger.event("targetStartedAgain", { target: listed.id, born, source });
  applyPendingHoldings(state, target);
  notifyIncarnationEnded(state, listed.id);
  notifyChange(state);
  return target;
}

/** Whether the entry is of another software version than the view, which only another incarnation can have. */
function isOtherVersion(target: TargetView, { softwareVersion }: ListedTarget): boolean {
  const known = target.listed.softwareVersion;
  return softwareVersion !== undefined && known !== undefined && softwareVersion !== known;
}

/**
 * Returns the view that a list entry applies to. Entries arrive in order, so a changed start time means a new incarnation,
 * even if it is earlier: the target's clock may have been set back. The first listed start time may be older than the
 * target's own report; there the later one wins.
 */
export function viewForEntry(
  state: FleetState,
  target: TargetView,
  listed: ListedTarget,
): TargetView {
  const { born } = listed;
  if (isOtherVersion(target, listed)) return beginIncarnation(state, listed, born, "list");
  if (born === undefined || isSameIncarnation(born, target.born)) return target;
  const previousBorn = target.listed.born;
  const isNew = previousBorn === undefined ? born > (target.born ?? 0) : born !== previousBorn;
  return isNew ? beginIncarnation(state, listed, born, "list") : target;
}

/** Returns the view that the target's own report applies to; such a report is always the newest. */
export function viewForDirectReport(
  state: FleetState,
  target: TargetView,
  { born }: EngineInventory,
): TargetView {
  if (isSameIncarnation(born, target.born)) return target;
  return beginIncarnation(state, entryAfterRestart(target.listed), born, "own_word");
}

/**
 * Returns the view that a relayed report applies to, or undefined if it is of an earlier incarnation. Such a report is
 * probably outdated, and is kept in case the list confirms that incarnation.
 */
export function viewForRelayedReport(
  state: FleetState,
  target: TargetView,
  holdings: EngineInventory,
): TargetView | undefined {
  const { born } = holdings;
  if (isSameIncarnation(born, target.born)) return target;
  if ((born ?? 0) > (target.born ?? 0)) {
    return beginIncarnation(state, entryAfterRestart(target.listed), born, "told");
  }
  keepPendingHoldings(state, target.listed.id, holdings);
  return undefined;
}

/** Returns the entry without what ended with the previous incarnation: its models, version and whether it was leaving. */
function entryAfterRestart(listed: ListedTarget): ListedTarget {
  const models = listed.models && [];
  return { ...listed, leaving: false, softwareVersion: undefined, models };
}
