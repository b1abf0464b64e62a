/** Plans the moves of one service from what is believed and asked now, and begins them. */
import { isEjected, type TargetBelief } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { EngineSpec, Epoch, Milliseconds } from "@linkfall/types";
import { type AdapterNeed, type EngineView, planAdapters, planMoves } from "@linkfall/weight-plan";
import { beginMove } from "./advance-moves.js";
import { fits, giveOrder, planOrder } from "./give-order.js";
import { enginesOf, type GiverContext, pendingAdapter, stateInTenure } from "./giver-context.js";
import { leastLeftMs, moveLeftMs } from "./move-time.js";
import { toEngineView, toNeeds } from "./views.js";

function viewOf(
  context: GiverContext,
  belief: TargetBelief,
  shape: EngineSpec,
): EngineView | undefined {
  const work = context.state.work.get(belief.listed.id);
  const view = toEngineView(
    belief,
    stateInTenure(context, belief),
    shape,
    work,
    work ? moveLeftMs(context, work) : 0,
    context.takesPerSecond(belief.listed.id),
  );
  const pending = pendingAdapter(context, belief);
  if (!view || !pending) return view;
  const adaptersComing = [...view.adaptersComing, pending.key];
  return { ...view, adaptersComing, freeInMs: Math.max(view.freeInMs, leastLeftMs) };
}

function viewsOf(context: GiverContext, service: string, shape: EngineSpec): readonly EngineView[] {
  const now = context.clock.now();
  return enginesOf(context)
    .filter((belief) => belief.listed.service === service && belief.missingSince === undefined)
    .filter((belief) => !isEjected(belief.health, now))
    .flatMap((belief) => viewOf(context, belief, shape) ?? []);
}

/** Loads that may begin now, less those of moves whose load has yet to be ordered. */
function storeLoadsLeft({ state, clock }: GiverContext, shape: EngineSpec): number {
  const ahead = [...state.work.values()].filter(
    ({ move, sent }) => move.source === "store" && sent?.order.action !== "load",
  );
  return state.loads.left(shape.storeLoadsPerSecond, clock.now()) - ahead.length;
}

/** Notes when models and adapters were asked for, and returns the adapters that requests wait for. */
function noteDemand(
  { state, clock }: GiverContext,
  demand: readonly ModelDemand[],
): readonly AdapterNeed[] {
  const now = clock.now();
  return demand.flatMap((entry) => {
    const key = `${entry.service} ${entry.model}`;
    const known = state.lastAsked.get(key)?.objectiveMs ?? Infinity;
    const objectiveMs = Math.min(known, entry.objectiveMs);
    state.lastAsked.set(key, { at: now - entry.idleMs, objectiveMs });
    return Object.entries(entry.waitingAdapters).map(([adapter, waiting]) => {
      state.adapterUse.set(`${entry.model}/${adapter}`, now);
      return { model: entry.model, adapter, waiting };
    });
  });
}

function giveAdapterOrders(
  context: GiverContext,
  views: readonly EngineView[],
  needs: readonly AdapterNeed[],
  shape: EngineSpec,
  epoch: Epoch,
): void {
  const { state, fleet } = context;
  const lastUsed = (key: string): Milliseconds => state.adapterUse.get(key) ?? -Infinity;
  for (const { engine, action, model, adapter } of planAdapters(
    views,
    needs,
    shape.models,
    lastUsed,
  )) {
    const belief = fleet.find(engine);
    const planned = belief && planOrder(belief, { action, model, adapter });
    if (planned && fits(belief, shape, planned)) void giveOrder(context, belief, planned, epoch);
  }
}

/** An engine that has yet to answer an order can be given a move soon. */
function afterOrder(view: EngineView): EngineView {
  return { ...view, freeInMs: Math.max(view.freeInMs, leastLeftMs) };
}

/** What was not asked for in so short a time may still be: it takes this long to tell. */
const leastWatchedMs: Milliseconds = 10_000;

/** Plans one service. */
export function planService(
  context: GiverContext,
  service: string,
  shape: EngineSpec,
  epoch: Epoch,
): void {
  const { state, clock, rules } = context;
  const demand = context.demand().filter((entry) => entry.service === service);
  if (demand.length > 0) state.watchedSince ??= clock.now();
  const adapterNeeds = noteDemand(context, demand);
  const lastAsked = (model: string) => state.lastAsked.get(`${service} ${model}`);
  const views = viewsOf(context, service, shape);
  // An adapter takes milliseconds of an engine, a move takes all of its orders for a second or more.
  const free = views.filter((view) => !state.ordering.has(view.id));
  giveAdapterOrders(context, free, adapterNeeds, shape, epoch);
  const moves = planMoves({
    engines: views.map((view) => (state.ordering.has(view.id) ? afterOrder(view) : view)),
    needs: toNeeds(demand, service, shape, lastAsked, clock.now()),
    models: shape.models,
    watchedMs: Math.max(leastWatchedMs, clock.now() - (state.watchedSince ?? clock.now())),
    storeLoadsLeft: storeLoadsLeft(context, shape),
    rules: rules.plan,
  });
  for (const move of moves) beginMove(context, move);
  if (moves.length > 0) context.announce();
}
