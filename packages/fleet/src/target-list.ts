/** Applies the target list: adds, updates, marks as missing and removes targets. */
import { isSameIncarnation, type ListedTarget, type ListSource } from "@linkfall/types";
import { applyListedModels, createTargetView, type TargetView } from "./target-view.js";
import { type FleetState, notifyChange } from "./fleet-state.js";
import { expireRests } from "./rests.js";
import {
  applyPendingHoldings,
  notifyIncarnationEnded,
  viewForEntry,
  withLeavingNotice,
} from "./incarnations.js";

/** A single entry that disappears is no lapse, even of a service with few targets. */
const minLapsedEntries = 2;

function addTarget(state: FleetState, listed: ListedTarget): void {
  const { targets, engineShapes, clock, logger } = state;
  const shape = engineShapes.get(listed.service);
  const entry = withLeavingNotice(state, listed, listed.born);
  const target = createTargetView(entry, listed.born, shape, clock.now());
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

function updateTarget(state: FleetState, listed: ListedTarget): void {
  const known = state.targets.get(listed.id);
  if (!known) return addTarget(state, listed);
  const target = viewForEntry(state, known, listed);
  target.unlistedAt = undefined;
  target.missingSince = undefined;
  target.isEntryLost = undefined;
  recordListedLeaving(state, listed);
  // An entry of an earlier incarnation does not apply to the current one.
  if (!isSameIncarnation(listed.born, target.born)) return;
  // A leaving target stays so for the rest of its incarnation.
  const wasLeaving = target.listed.leaving && isSameIncarnation(listed.born, target.listed.born);
  // A box of an earlier version relays entries without the software version.
  const softwareVersion = listed.softwareVersion ?? target.listed.softwareVersion;
  const entry = { ...listed, softwareVersion, leaving: listed.leaving || wasLeaving };
  target.listed = withLeavingNotice(state, entry, target.born);
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
  { readFrom, position, isSettled }: ListSource,
): void {
  if (target.missingSince !== undefined) return;
  target.unlistedAt = clock.now();
  target.missingSince = target.unlistedAt;
  const { id, service } = target.listed;
  logger.event("targetMissing", { target: id, service, readFrom, isSettled, ...position });
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

/** Applies the complete list; targets that it lacks become missing. */
export function applyList(
  state: FleetState,
  list: readonly ListedTarget[],
  source: ListSource,
  isRestored: boolean,
): void {
  const ids = new Set(list.map((target) => target.id));
  for (const target of list) updateTarget(state, target);
  for (const target of state.targets.values()) {
    if (ids.has(target.listed.id)) continue;
    if (isRestored && target.missingSince === undefined) target.isEntryLost = true;
    markMissing(state, target, source);
  }
  removeReplaced(state);
  notifyChange(state);
}

/** Applies one new or changed entry. */
export function applyEntry(state: FleetState, target: ListedTarget): void {
  updateTarget(state, target);
  removeReplaced(state);
  notifyChange(state);
}

/** Handles a deleted entry: a leaving target is removed, any other becomes missing. */
export function removeEntry(state: FleetState, id: string, source: ListSource): void {
  const target = state.targets.get(id);
  if (!target) return;
  if (target.listed.leaving) removeTarget(state, target, "left");
  else markMissing(state, target, source);
  removeReplaced(state);
}

/**
 * Whether the entry disappeared together with so many others of its service that the list itself is at fault. Only
 * entries that disappeared within the grace period of each other count; otherwise targets that leave one after the other
 * would be used again long after their entries disappeared.
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

/** Removes targets that have been missing for longer than the grace period. */
export function expireMissing(state: FleetState, storeUnsettled: boolean): void {
  const now = state.clock.now();
  expireRests(state);
  state.leavingTargets.expire((id) => state.targets.has(id));
  for (const target of [...state.targets.values()]) {
    if (target.missingSince === undefined) continue;
    // Entries can't be renewed while the store is unavailable: the grace period starts when it is back.
    if (storeUnsettled) target.missingSince = now;
    else if (now - target.missingSince > state.policies.lapse.graceMs) {
      removeTarget(state, target, "not listed again");
    }
  }
}
