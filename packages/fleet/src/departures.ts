/** Targets that say that they leave, or whose entries disappeared while the store served the list. */
import type { DepartureSource, NoticeSource } from "@linkfall/leaving-targets";
import {
  type Departure,
  type DepartureMessage,
  type Incarnation,
  isBehind,
  isSameIncarnation,
  type LeavingNotice,
  type ListedTarget,
  type ListPosition,
  type ListSource,
} from "@linkfall/types";
import { type FleetState, notifyChange } from "./fleet-state.js";
import { withLeavingNotice } from "./incarnations.js";
import type { TargetView } from "./target-view.js";

/** Marks the target's entry as leaving, which excludes it from new requests, plans and orders. */
function markLeaving(state: FleetState, target: TargetView): void {
  if (target.listed.leaving) return;
  target.listed = { ...target.listed, leaving: true };
  target.leavingSince = state.clock.now();
  notifyChange(state);
}

/** Marks the target of a new notice as leaving. */
export function applyLeavingNotice(
  state: FleetState,
  notice: LeavingNotice,
  source: NoticeSource,
): void {
  const target = state.targets.get(notice.target);
  if (!target || !isSameIncarnation(notice.born, target.born)) return;
  const { id, service } = target.listed;
  if (source === "list") state.logger.event("targetLeaving", { target: id, service });
  else state.logger.event("targetAnnouncedLeaving", { target: id, service, source });
  markLeaving(state, target);
}

/** Marks the target of a new departure as leaving; its entry may still be listed here. */
export function applyDeparture(
  state: FleetState,
  { target: id, born, position }: Departure,
  source: DepartureSource,
): void {
  const target = state.targets.get(id);
  if (!target || !isSameIncarnation(born, target.born)) return;
  const { service } = target.listed;
  state.logger.event("targetDeparted", { target: id, service, source, ...position });
  if (target.listedAt && target.unlistedAt === undefined)
    state.departedTargets.recordListed(target.listed, target.listedAt);
  if (state.departedTargets.hasDeparted(id, target.born)) markLeaving(state, target);
}

/** Whether this box has a later entry of the target, by which the departure is over. */
function isListedSince({ targets }: FleetState, { target: id, position }: Departure): boolean {
  const target = targets.get(id);
  if (target?.listedAt === undefined || target.unlistedAt !== undefined) return false;
  // A later generation of the store may contain an older copy of the entry.
  return target.listedAt.generation === position.generation && isBehind(position, target.listedAt);
}

/** Applies departures that another box has recorded. */
export function applyDepartures(
  state: FleetState,
  from: Incarnation,
  message: DepartureMessage,
): void {
  const departures = message.departures.filter((departure) => !isListedSince(state, departure));
  state.departedTargets.applyDepartures(from, { ...message, departures });
}

/** Ends the departure of a target whose entry shows that it lives. */
export function recordListed(
  state: FleetState,
  listed: ListedTarget,
  position: ListPosition,
): void {
  if (!state.departedTargets.recordListed(listed, position)) return;
  state.logger.event("targetReturned", { target: listed.id, after: "heartbeats" });
}

/** Describes the departure of a target whose entry this box no longer found in the list. */
export function departureOf({ listed, born }: TargetView, { position }: ListSource): Departure {
  return { target: listed.id, born, position, heartbeats: listed.heartbeats };
}

/** Puts departed targets back into use that have been listed again for long enough. */
export function confirmReturns(state: FleetState, isSettled: boolean): void {
  const { departedTargets, targets, logger } = state;
  for (const id of departedTargets.confirmReturns(isSettled)) {
    logger.event("targetReturned", { target: id, after: "time" });
    const target = targets.get(id);
    if (!target) continue;
    target.leavingSince = undefined;
    target.listed = withLeavingNotice(state, { ...target.listed, leaving: false }, target.born);
    notifyChange(state);
  }
}
