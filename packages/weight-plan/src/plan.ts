/** Plans which models to load and evict: highest demand first, cheapest evictions first. */
import { selectCandidates, summarizeAvailability } from "./load-candidates.js";
import { createEvictionOptionsCache, selectPlacement } from "./placements.js";
import type { PlanInput, WeightMove } from "./plan-input.js";

/** Returns the moves to start now, at most one per engine. */
export function planMoves(input: PlanInput): readonly WeightMove[] {
  const availability = summarizeAvailability(input);
  const { replicaCounts } = availability;
  const evictionOptions = createEvictionOptionsCache(input, replicaCounts);
  const moves: WeightMove[] = [];
  let { storeLoadBudget, engines } = input;
  for (const { model, ...candidate } of selectCandidates(input, availability)) {
    const placement = selectPlacement(
      { ...input, engines },
      evictionOptions,
      { model, ...candidate },
      storeLoadBudget,
    );
    // Waits for a busy engine if it will be ready sooner than any idle one.
    if (!placement || placement.engine.availableInMs > 0) continue;
    const { id } = placement.engine;
    const { source } = placement;
    if (source === "store") storeLoadBudget -= 1;
    moves.push({
      engine: id,
      model: model.name,
      victims: placement.victims,
      source,
      reason: candidate.reason,
    });
    replicaCounts.set(model.name, (replicaCounts.get(model.name) ?? 0) + 1);
    evictionOptions.invalidate(new Set([model.name, ...placement.victims]));
    for (const victim of placement.victims)
      replicaCounts.set(victim, (replicaCounts.get(victim) ?? 0) - 1);
    const occupied = {
      availableInMs: Math.max(1, placement.readyMs),
      loadingModel: model.name,
      isLoadingFromStore: source === "store",
    };
    engines = engines.map((engine) => (engine.id === id ? { ...engine, ...occupied } : engine));
  }
  return moves;
}
