/** Takes the list of targets: who is there, who leaves, and who is missing from it. */
import type { ListedTarget } from "@linkfall/types";
import { createTargetView, applyListedModels, type TargetView } from "./target-view.js";
import { type FleetState, notifyChange } from "./fleet-state.js";
import { isSameIncarnation, viewForEntry, notifyIncarnationEnded, applyPendingHoldings } from "./incarnations.js";

/** One entry that goes alone is no lapse, however few there are. */
const fewestInLapse = 2;

function add(state: FleetState, listed: ListedTarget): void {
  const { targets: beliefs, engineShapes: engines, clock, logger } = state;
  const shape = engines.get(listed.service);
  const belief = createTargetView(listed, listed.born, shape, clock.now());
  beliefs.set(listed.id, belief);
  applyPendingHoldings(state, belief);
  logger.event("targetSeen", {
    target: listed.id,
    service: listed.service,
    address: listed.address,
  });
}

function update(state: FleetState, listed: ListedTarget): void {
  const known = state.targets.get(listed.id);
  if (!known) return add(state, listed);
  const belief = viewForEntry(state, known, listed);
  belief.unlistedAt = undefined;
  belief.missingSince = undefined;
  // The entry of a life that is over, read again, says nothing of the one that is known by now.
  if (!isSameIncarnation(listed.born, belief.born)) return;
  if (listed.leaving && !belief.listed.leaving) {
    state.logger.event("targetLeaving", { target: listed.id, service: listed.service });
  }
  // A target that once said that it leaves does not come back in the same life.
  const left = belief.listed.leaving && isSameIncarnation(listed.born, belief.listed.born);
  belief.listed = { ...listed, leaving: listed.leaving || left };
  belief.born ??= listed.born;
  if (!state.hasDirectReports()) applyListedModels(belief, state.clock.now());
}

function remove(state: FleetState, belief: TargetView, why: string): void {
  const { id } = belief.listed;
  state.targets.delete(id);
  state.logger.event("targetGone", { target: id, why });
  notifyIncarnationEnded(state, id);
}

/** Takes that an entry can't be read: its target gets nothing new until its entry is good again. */
export function leaveAlone(state: FleetState, id: string): void {
  const belief = state.targets.get(id);
  if (belief) remove(state, belief, "entry can't be read");
}

function miss({ clock, logger }: FleetState, belief: TargetView): void {
  if (belief.missingSince !== undefined) return;
  belief.unlistedAt = clock.now();
  belief.missingSince = belief.unlistedAt;
  logger.event("targetMissing", { target: belief.listed.id, service: belief.listed.service });
}

/** Takes the whole list; targets that it lacks have lapsed or are gone. */
export function takeList(state: FleetState, list: readonly ListedTarget[]): void {
  const names = new Set(list.map((target) => target.id));
  for (const target of list) update(state, target);
  for (const belief of state.targets.values()) {
    if (!names.has(belief.listed.id)) miss(state, belief);
  }
  notifyChange(state);
}

export function takeEntry(state: FleetState, target: ListedTarget): void {
  update(state, target);
  notifyChange(state);
}

/** Takes that an entry has gone from the list. */
export function dropEntry(state: FleetState, id: string): void {
  const belief = state.targets.get(id);
  if (!belief) return;
  if (belief.listed.leaving) remove(state, belief, "left");
  else miss(state, belief);
}

/**
 * Whether an entry went with so many others of its service that the list is to blame. Those that went at other times say
 * nothing of it: targets that leave one after the other would be used again, long after their entries went.
 */
export function wentInLapse(
  { policies: rules }: FleetState,
  { unlistedAt: wentAt }: TargetView,
  targets: readonly TargetView[],
): boolean {
  if (wentAt === undefined) return false;
  const { graceMs, minShare: share } = rules.lapse;
  const together = targets.filter(
    (other) => other.unlistedAt !== undefined && Math.abs(other.unlistedAt - wentAt) <= graceMs,
  );
  return together.length >= fewestInLapse && together.length >= targets.length * share;
}

/** Removes targets whose lapse has lasted longer than the grace. */
export function expireLapsed(state: FleetState, storeDisturbed: boolean): void {
  const now = state.clock.now();
  for (const belief of [...state.targets.values()]) {
    if (belief.missingSince === undefined) continue;
    // Nobody can renew an entry while the store is away: the grace begins with its return.
    if (storeDisturbed) belief.missingSince = now;
    else if (now - belief.missingSince > state.policies.lapse.graceMs) {
      remove(state, belief, "not listed again");
    }
  }
}
