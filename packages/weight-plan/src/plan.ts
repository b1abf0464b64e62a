/** Plans which models engines swap: what is missed most comes in, what is missed least goes. */
import { selectPlacement, createEvictionOptionsCache } from "./placements.js";
import type { PlanInput, WeightMove } from "./plan-input.js";
import { summarizeAvailability, selectCandidates } from "./load-candidates.js";

/** Moves to begin now: at most one an engine. */
export function planMoves(input: PlanInput): readonly WeightMove[] {
  const where = summarizeAvailability(input);
  const { replicaCounts: copies } = where;
  const prices = createEvictionOptionsCache(input, copies);
  const moves: WeightMove[] = [];
  let { storeLoadBudget: storeLoadsLeft, engines } = input;
  for (const { model, ...wish } of selectCandidates(input, where)) {
    const place = selectPlacement(
      { ...input, engines },
      prices,
      { model, ...wish },
      storeLoadsLeft,
    );
    // An engine that is soon free and has the weights at hand is better than a slow load now.
    if (!place || place.engine.availableInMs > 0) continue;
    const { id } = place.engine;
    const { source } = place;
    if (source === "store") storeLoadsLeft -= 1;
    moves.push({
      engine: id,
      model: model.name,
      victims: place.victims,
      source,
      reason: wish.reason,
    });
    copies.set(model.name, (copies.get(model.name) ?? 0) + 1);
    prices.invalidate(new Set([model.name, ...place.victims]));
    for (const victim of place.victims) copies.set(victim, (copies.get(victim) ?? 0) - 1);
    const occupied = {
      freeInMs: Math.max(1, place.readyMs),
      incoming: model.name,
      loadsFromStore: source === "store",
    };
    engines = engines.map((engine) => (engine.id === id ? { ...engine, ...occupied } : engine));
  }
  return moves;
}
