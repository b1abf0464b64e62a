/** Takes the moves under way a step further. */
import type { TargetView } from "@linkfall/fleet";
import type { Epoch } from "@linkfall/types";
import type { WeightMove } from "@linkfall/weight-plan";
import { type EngineWork, isPending, nextStep, wordToGoBy } from "./engine-work.js";
import { endMove, fits, giveOrder, planOrder, planOrderAhead } from "./give-order.js";
import { type GiverContext, shapeOf, stateInTenure } from "./giver-context.js";

/** Begins a move; its first order goes with the next look at it. */
export function beginMove({ state, clock, metrics, logger }: GiverContext, move: WeightMove): void {
  state.work.set(move.engine, { move, begunAt: clock.now(), aheadFrom: Infinity });
  metrics.count("linkfall_loads_total", "Loads begun, by source.", { source: move.source });
  logger.event("moveBegun", {
    target: move.engine,
    model: move.load,
    victims: move.victims.join(" "),
    source: move.source,
    reason: move.reason,
  });
}

function advance(context: GiverContext, belief: TargetView, work: EngineWork, epoch: Epoch): void {
  const { state, clock, rules } = context;
  const { id } = belief.listed;
  const now = clock.now();
  const read = stateInTenure(context, belief);
  if (!read || state.ordering.has(id)) return;
  const said = {
    sequence: belief.holdings.sequence,
    busy: read.busy,
    models: belief.holdings.models.map((model) => model.name),
  };
  const word = wordToGoBy(work, said, now);
  if (now - work.begunAt > rules.giveUpMs) return endMove(context, id, "took too long");
  if (isPending(work, word, now, rules.resendMs)) return;
  const next = nextStep(work.move, word);
  if (next.kind === "done") return endMove(context, id, "done");
  if (next.kind !== "order") return;
  // An order that was carried out late may have filled the place since the move was planned.
  const shape = shapeOf(context, belief);
  const planned =
    word === said ? planOrder(belief, next.order) : planOrderAhead(belief, next.order, word);
  if (!shape || !fits(belief, shape, planned)) return endMove(context, id, "no longer fits");
  void giveOrder(context, belief, planned, epoch);
}

/** Looks at every move. */
export function advanceMoves(context: GiverContext, epoch: Epoch): void {
  for (const [id, work] of [...context.state.work]) {
    const belief = context.fleet.find(id);
    if (belief && !belief.listed.leaving) advance(context, belief, work, epoch);
    else endMove(context, id, "engine gone");
  }
}
