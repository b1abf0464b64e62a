/** Takes the list of targets: who is there, who leaves, and who is missing from it. */
import type { Holdings, ListedTarget } from "@linkfall/types";
import { createBelief, takeHoldings, takeListedModels, type TargetBelief } from "./belief.js";
import { type FleetState, noteChange, targetsOf } from "./fleet-state.js";

/** Targets that were told of and never listed; the oldest are let go of first. */
const mostEarly = 5_000;

function add(state: FleetState, listed: ListedTarget): void {
  const { beliefs, early, engines, clock, logger } = state;
  const belief = createBelief(listed, engines.get(listed.service), clock.now());
  beliefs.set(listed.id, belief);
  const told = early.get(listed.id);
  early.delete(listed.id);
  if (told) takeHoldings(belief, told, clock.now());
  logger.event("targetSeen", {
    target: listed.id,
    service: listed.service,
    address: listed.address,
  });
}

/** Keeps what was told of a target until the list brings it. */
export function keepEarly({ early }: FleetState, id: string, holdings: Holdings): void {
  early.delete(id);
  early.set(id, holdings);
  if (early.size > mostEarly) early.delete(early.keys().next().value ?? "");
}

function update(state: FleetState, listed: ListedTarget): void {
  const belief = state.beliefs.get(listed.id);
  if (!belief) return add(state, listed);
  if (listed.leaving && !belief.listed.leaving) {
    state.logger.event("targetLeaving", { target: listed.id, service: listed.service });
  }
  // A target that once said that it leaves does not come back under the same id.
  belief.listed = { ...listed, leaving: listed.leaving || belief.listed.leaving };
  belief.missingSince = undefined;
  if (!state.ownWord()) takeListedModels(belief, state.clock.now());
}

function remove({ beliefs, logger }: FleetState, belief: TargetBelief, why: string): void {
  beliefs.delete(belief.listed.id);
  logger.event("targetGone", { target: belief.listed.id, why });
}

function miss({ clock, logger }: FleetState, belief: TargetBelief): void {
  if (belief.missingSince !== undefined) return;
  belief.missingSince = clock.now();
  logger.event("targetMissing", { target: belief.listed.id, service: belief.listed.service });
}

/** Takes the whole list; targets that it lacks have lapsed or are gone. */
export function takeList(state: FleetState, list: readonly ListedTarget[]): void {
  const names = new Set(list.map((target) => target.id));
  for (const target of list) update(state, target);
  for (const belief of state.beliefs.values()) {
    if (!names.has(belief.listed.id)) miss(state, belief);
  }
  noteChange(state);
}

export function takeEntry(state: FleetState, target: ListedTarget): void {
  update(state, target);
  noteChange(state);
}

/** Takes that an entry has gone from the list. */
export function dropEntry(state: FleetState, id: string): void {
  const belief = state.beliefs.get(id);
  if (!belief) return;
  if (belief.listed.leaving) remove(state, belief, "left");
  else miss(state, belief);
}

/** Whether so many entries of a service are missing that the list is to blame. */
export function looksLikeLapse(state: FleetState, service: string): boolean {
  const targets = targetsOf(state, service);
  const missing = targets.filter((target) => target.missingSince !== undefined);
  return missing.length >= 2 && missing.length >= targets.length * state.rules.lapse.share;
}

/** Removes targets whose lapse has lasted longer than the grace. */
export function expireLapsed(state: FleetState, storeDisturbed: boolean): void {
  const now = state.clock.now();
  for (const belief of [...state.beliefs.values()]) {
    if (belief.missingSince === undefined) continue;
    // Nobody can renew an entry while the store is away: the grace begins with its return.
    if (storeDisturbed) belief.missingSince = now;
    else if (now - belief.missingSince > state.rules.lapse.graceMs) {
      remove(state, belief, "not listed again");
    }
  }
}
