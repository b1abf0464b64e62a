/** Plans the moves of one service from what is believed and asked now, and begins them. */
import { isEjected, type TargetView } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { EngineSpec, Epoch, Milliseconds } from "@linkfall/types";
import {
  type AdapterDemand,
  type EngineView,
  planAdapters,
  planMoves,
} from "@linkfall/weight-plan";
import { startMove } from "./advance-moves.js";
import { fits, sendOrder, planOrder } from "./send-order.js";
import {
  orderableEngines,
  type DispatcherContext,
  pendingAdapterOrder,
  stateInCurrentTerm,
} from "./dispatcher-context.js";
import { minRemainingMs, remainingMoveMs } from "./remaining-move-time.js";
import { toEngineView, toDemandViews } from "./planner-views.js";

function createEngineView(
  context: DispatcherContext,
  belief: TargetView,
  shape: EngineSpec,
): EngineView | undefined {
  const work = context.state.activeMoves.get(belief.listed.id);
  const view = toEngineView(
    belief,
    stateInCurrentTerm(context, belief),
    shape,
    work,
    work ? remainingMoveMs(context, work) : 0,
    context.maxRequestsPerSecond(belief.listed.id),
  );
  const pending = pendingAdapterOrder(context, belief);
  if (!view || !pending) return view;
  const adaptersComing = [...view.loadingAdapters, pending.key];
  return {
    ...view,
    loadingAdapters: adaptersComing,
    availableInMs: Math.max(view.availableInMs, minRemainingMs),
  };
}

function engineViewsOf(
  context: DispatcherContext,
  service: string,
  shape: EngineSpec,
): readonly EngineView[] {
  const now = context.clock.now();
  return orderableEngines(context)
    .filter((belief) => belief.listed.service === service && belief.missingSince === undefined)
    .filter((belief) => !isEjected(belief.health, now))
    .flatMap((belief) => createEngineView(context, belief, shape) ?? []);
}

/** Loads that may begin now, less those of moves whose load has yet to be ordered. */
function remainingStoreLoads({ state, clock }: DispatcherContext, shape: EngineSpec): number {
  const ahead = [...state.activeMoves.values()].filter(
    ({ move, lastOrder: sent }) => move.source === "store" && sent?.order.action !== "load",
  );
  return state.storeLoads.remaining(shape.storeLoadsPerSecond, clock.now()) - ahead.length;
}

/** Notes when models and adapters were asked for, and returns the adapters that requests wait for. */
function recordDemand(
  { state, clock }: DispatcherContext,
  demand: readonly ModelDemand[],
): readonly AdapterDemand[] {
  const now = clock.now();
  return demand.flatMap((entry) => {
    const key = `${entry.service} ${entry.model}`;
    const known = state.lastRequests.get(key)?.objectiveMs ?? Infinity;
    const objectiveMs = Math.min(known, entry.objectiveMs);
    state.lastRequests.set(key, { at: now - entry.idleMs, objectiveMs });
    return Object.entries(entry.waitingAdapters).map(([adapter, waiting]) => {
      state.adapterLastUsedAt.set(`${entry.model}/${adapter}`, now);
      return { model: entry.model, adapter, waiting };
    });
  });
}

function sendAdapterOrders(
  context: DispatcherContext,
  views: readonly EngineView[],
  needs: readonly AdapterDemand[],
  shape: EngineSpec,
  epoch: Epoch,
): void {
  const { state, fleet } = context;
  const lastUsed = (key: string): Milliseconds => state.adapterLastUsedAt.get(key) ?? -Infinity;
  for (const { engine, action, model, adapter } of planAdapters(
    views,
    needs,
    shape.models,
    lastUsed,
  )) {
    const belief = fleet.find(engine);
    const planned = belief && planOrder(belief, { action, model, adapter });
    if (planned && fits(belief, shape, planned)) void sendOrder(context, belief, planned, epoch);
  }
}

/** An engine that has yet to answer an order can be given a move soon. */
function withPendingOrder(view: EngineView): EngineView {
  return { ...view, availableInMs: Math.max(view.availableInMs, minRemainingMs) };
}

/** What was not asked for in so short a time may still be: it takes this long to tell. */
const minObservedMs: Milliseconds = 10_000;

/** Plans one service. */
export function planService(
  context: DispatcherContext,
  service: string,
  shape: EngineSpec,
  epoch: Epoch,
): void {
  const { state, clock, rules } = context;
  const demand = context.demand().filter((entry) => entry.service === service);
  if (demand.length > 0) state.demandSince ??= clock.now();
  const adapterNeeds = recordDemand(context, demand);
  const lastAsked = (model: string) => state.lastRequests.get(`${service} ${model}`);
  const views = engineViewsOf(context, service, shape);
  // An adapter takes milliseconds of an engine, a move takes all of its orders for a second or more.
  const free = views.filter((view) => !state.pendingOrders.has(view.id));
  sendAdapterOrders(context, free, adapterNeeds, shape, epoch);
  const moves = planMoves({
    engines: views.map((view) =>
      state.pendingOrders.has(view.id) ? withPendingOrder(view) : view,
    ),
    demand: toDemandViews(demand, service, shape, lastAsked, clock.now()),
    models: shape.models,
    observedMs: Math.max(minObservedMs, clock.now() - (state.demandSince ?? clock.now())),
    storeLoadBudget: remainingStoreLoads(context, shape),
    rules: rules.plan,
  });
  for (const move of moves) startMove(context, move);
  if (moves.length > 0) context.notifyPeers();
}
