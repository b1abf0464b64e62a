/** Applies the target list: adds, updates, marks as missing and removes targets. */
import { isSameIncarnation, type ListedTarget, type ListSource } from "@linkfall/types";
import { applyListedModels, createTargetView, type TargetView } from "./target-view.js";
import { type FleetState, notifyChange } from "./fleet-state.js";
import { confirmReturns, departureOf, recordListed } from "./departures.js";
import { expireRests } from "./rests.js";
import {
  applyPendingHoldings,
  notifyIncarnationEnded,
  viewForEntry,
  withLeavingNotice,
} from "./incarnations.js";

/** A single entry that disappears is no lapse, even of a service with few targets. */
const minLapsedEntries = 2;

function addTarget(state: FleetState, listed: ListedTarget, { position }: ListSource): void {
  const { targets, engineShapes, clock, logger } = state;
  const shape = engineShapes.get(listed.service);
  recordListed(state, listed, position);
  const entry = withLeavingNotice(state, listed, listed.born);
  const target = createTargetView(entry, listed.born, shape, clock.now());
  target.listedAt = position;
  targets.set(listed.id, target);
  recordListedLeaving(state, listed);
  applyPendingHoldings(state, target);
  notifyListed(state, target.listed);
  logger.event("targetSeen", {
    target: listed.id,
    service: listed.service,
    address: listed.address,
    softwareVersion: listed.softwareVersion,
  });
}

/** Keeps that the target is leaving, in case its entry is lost or restored from an older copy. */
function recordListedLeaving({ leavingTargets }: FleetState, { id, born, leaving }: ListedTarget) {
  if (leaving) leavingTargets.record({ target: id, born }, "list");
}

function notifyListed({ listedListeners }: FleetState, listed: ListedTarget): void {
  for (const listener of listedListeners) listener(listed);
}

function updateTarget(state: FleetState, listed: ListedTarget, source: ListSource): void {
  const known = state.targets.get(listed.id);
  if (!known) return addTarget(state, listed, source);
  const target = viewForEntry(state, known, listed);
  target.listedAt = source.position;
  target.unlistedAt = undefined;
  target.isEntryLost = undefined;
  recordListedLeaving(state, listed);
  // An entry of an earlier incarnation does not apply to the current one.
  if (!isSameIncarnation(listed.born, target.born)) return;
  recordListed(state, listed, source.position);
  // A box of an earlier version relays entries without the software version.
  const softwareVersion = listed.softwareVersion ?? target.listed.softwareVersion;
  target.listed = withLeavingNotice(state, { ...listed, softwareVersion }, target.born);
  target.born ??= listed.born;
  notifyListed(state, target.listed);
  if (!state.hasDirectReports()) applyListedModels(target, state.clock.now());
}

function removeTarget(state: FleetState, target: TargetView, why: string): void {
  const { id } = target.listed;
  state.targets.delete(id);
  const missingMs = target.unlistedAt && Math.round(state.clock.now() - target.unlistedAt);
  state.logger.event("targetGone", { target: id, why, missingMs });
  notifyIncarnationEnded(state, id);
}

/** Removes a target whose entry can't be read; it is added again with its next valid entry. */
export function excludeUnreadable(state: FleetState, id: string): void {
  const target = state.targets.get(id);
  if (target) removeTarget(state, target, "entry can't be read");
}

function markMissing(
  { clock, logger }: FleetState,
  target: TargetView,
  { readFrom, position, isContinuous }: ListSource,
): void {
  if (target.unlistedAt !== undefined) return;
  target.unlistedAt = clock.now();
  const { id, service } = target.listed;
  logger.event("targetMissing", { target: id, service, readFrom, isContinuous, ...position });
}

/** Whether another listed target has the address of a missing one, which must have ended before. */
function isAddressTaken({ targets }: FleetState, missing: TargetView): boolean {
  const { address, id } = missing.listed;
  return [...targets.values()].some(({ listed, unlistedAt, born }) => {
    if (listed.id === id || listed.address !== address || unlistedAt !== undefined) return false;
    if (born === undefined || missing.born === undefined) return !missing.isEntryLost;
    return born > missing.born;
  });
}

/** Removes missing targets that can't be running any more. */
function removeReplaced(state: FleetState): void {
  for (const target of [...state.targets.values()]) {
    if (target.unlistedAt === undefined || !isAddressTaken(state, target)) continue;
    removeTarget(state, target, "another target has its address");
  }
}

/**
 * Handles a target that the list no longer contains. While the store serves the list, running targets renew their entries,
 * so that an entry only disappears if its target leaves, however many disappear with it. Only a reader of the store knows
 * whether it was interrupted before it read this; other boxes are sent the departure.
 */
function handleUnlisted(state: FleetState, target: TargetView, source: ListSource): void {
  const { departedTargets } = state;
  const { id, leaving } = target.listed;
  departedTargets.recordUnlisted(id);
  const wasListed = target.unlistedAt === undefined;
  const hasLeft = wasListed && source.readFrom === "store" && source.isContinuous;
  if (hasLeft && !leaving) departedTargets.record(departureOf(target, source), "list");
  if (target.listed.leaving) removeTarget(state, target, "left");
  else markMissing(state, target, source);
}

/** Applies the complete list; targets that it lacks have left, or become missing. */
export function applyList(
  state: FleetState,
  list: readonly ListedTarget[],
  source: ListSource,
  isRestored: boolean,
): void {
  const ids = new Set(list.map((target) => target.id));
  for (const target of list) updateTarget(state, target, source);
  for (const target of [...state.targets.values()]) {
    if (ids.has(target.listed.id)) continue;
    if (isRestored && target.unlistedAt === undefined) target.isEntryLost = true;
    handleUnlisted(state, target, source);
  }
  removeReplaced(state);
  notifyChange(state);
}

/** Applies one new or changed entry. */
export function applyEntry(state: FleetState, target: ListedTarget, source: ListSource): void {
  updateTarget(state, target, source);
  removeReplaced(state);
  notifyChange(state);
}

/** Handles a deleted entry: a target that has left is removed, any other becomes missing. */
export function removeEntry(state: FleetState, id: string, source: ListSource): void {
  const target = state.targets.get(id);
  if (!target) return;
  handleUnlisted(state, target, source);
  removeReplaced(state);
}

/**
 * Whether the entry of a missing target disappeared together with so many others of its service that the list itself is at
 * fault. Only entries that disappeared within the grace period of each other count; otherwise targets that leave one after
 * the other would be used again long after their entries disappeared.
 */
export function disappearedInLapse(
  { policies }: FleetState,
  { unlistedAt, isEntryLost = false }: TargetView,
  targets: readonly TargetView[],
): boolean {
  if (isEntryLost) return true;
  if (unlistedAt === undefined) return false;
  const { graceMs, minShare } = policies.lapse;
  const disappearedTogether = targets.filter(
    (other) => other.unlistedAt !== undefined && Math.abs(other.unlistedAt - unlistedAt) <= graceMs,
  );
  return (
    disappearedTogether.length >= minLapsedEntries &&
    disappearedTogether.length >= targets.length * minShare
  );
}

/** Removes targets that have been missing for longer than the grace period, and drops what is no longer needed. */
export function expireMissing(state: FleetState, isSettled: boolean): void {
  const now = state.clock.now();
  const isKnown = (id: string) => state.targets.has(id);
  expireRests(state);
  state.leavingTargets.expire(isKnown);
  state.departedTargets.expire(isKnown);
  confirmReturns(state, isSettled);
  // Entries can't be renewed while the store is unavailable.
  if (!isSettled) return;
  for (const target of [...state.targets.values()]) {
    const { unlistedAt } = target;
    if (unlistedAt === undefined || now - unlistedAt <= state.policies.lapse.graceMs) continue;
    removeTarget(state, target, "not listed again");
  }
}
