/** Plans the moves of one service from the current state and demand, and starts them. */
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
import {
  type DispatcherContext,
  orderableEngines,
  pendingAdapterOrder,
  stateInCurrentTerm,
} from "./dispatcher-context.js";
import { toDemandViews, toEngineView } from "./planner-views.js";
import { minRemainingMs, remainingMoveMs } from "./remaining-move-time.js";
import { fits, planOrder, sendOrder } from "./send-order.js";

function createEngineView(
  context: DispatcherContext,
  target: TargetView,
  engineShape: EngineSpec,
): EngineView | undefined {
  const activeMove = context.state.activeMoves.get(target.listed.id);
  const view = toEngineView(
    target,
    stateInCurrentTerm(context, target),
    engineShape,
    activeMove,
    activeMove ? remainingMoveMs(context, activeMove) : 0,
    context.maxRequestsPerSecond(target.listed.id),
    context.relativeSpeed(target.listed.id),
  );
  const pendingOrder = pendingAdapterOrder(context, target);
  if (!view || !pendingOrder) return view;
  const loadingAdapters = [...view.loadingAdapters, pendingOrder.key];
  return { ...view, loadingAdapters, availableInMs: Math.max(view.availableInMs, minRemainingMs) };
}

function engineViewsOf(
  context: DispatcherContext,
  service: string,
  engineShape: EngineSpec,
): readonly EngineView[] {
  const now = context.clock.now();
  return orderableEngines(context)
    .filter((target) => target.listed.service === service && target.unlistedAt === undefined)
    .filter((target) => !isEjected(target.health, now))
    .flatMap((target) => createEngineView(context, target, engineShape) ?? []);
}

/**
 * Returns the store loads that may start, less those reserved by moves that have not ordered their
 * load yet.
 */
function remainingStoreLoads({ state, clock }: DispatcherContext, engineShape: EngineSpec): number {
  const unorderedLoads = [...state.activeMoves.values()].filter(
    ({ move, lastOrder }) => move.source === "store" && lastOrder?.order.action !== "load",
  );
  return (
    state.storeLoads.remaining(engineShape.storeLoadsPerSecond, clock.now()) - unorderedLoads.length
  );
}

/** The adapters of a model that requests are waiting for. */
function adapterDemandOf({
  model,
  waitingAdapters,
  confinedWaits = [],
}: ModelDemand): readonly AdapterDemand[] {
  const anywhere = Object.entries(waitingAdapters).map(([adapter, waiting]) => ({
    model,
    adapter,
    waiting,
  }));
  const confined = confinedWaits.flatMap(({ adapter, softwareVersion, waiting }) =>
    adapter === undefined ? [] : [{ model, adapter, softwareVersion, waiting }],
  );
  return [...anywhere, ...confined];
}

/**
 * Records the last requests for models and adapters, and returns the adapters with waiting
 * requests.
 */
function recordDemand(
  { state, clock }: DispatcherContext,
  demand: readonly ModelDemand[],
): readonly AdapterDemand[] {
  const now = clock.now();
  return demand.flatMap((entry) => {
    const key = `${entry.service} ${entry.model}`;
    const knownObjectiveMs = state.lastRequests.get(key)?.objectiveMs ?? Infinity;
    const objectiveMs = Math.min(knownObjectiveMs, entry.objectiveMs);
    state.lastRequests.set(key, { at: now - entry.idleMs, objectiveMs });
    return adapterDemandOf(entry).map((wanted) => {
      state.adapterLastUsedAt.set(`${wanted.model}/${wanted.adapter}`, now);
      return wanted;
    });
  });
}

function sendAdapterOrders(
  context: DispatcherContext,
  views: readonly EngineView[],
  adapterDemand: readonly AdapterDemand[],
  engineShape: EngineSpec,
  epoch: Epoch,
): void {
  const { state, fleet } = context;
  const lastUsed = (key: string): Milliseconds => state.adapterLastUsedAt.get(key) ?? -Infinity;
  for (const { engine, action, model, adapter } of planAdapters(
    views,
    adapterDemand,
    engineShape.models,
    lastUsed,
  )) {
    const target = fleet.find(engine);
    const plannedOrder = target && planOrder(target, { action, model, adapter });
    if (plannedOrder && fits(target, engineShape, plannedOrder))
      void sendOrder(context, target, plannedOrder, epoch);
  }
}

/** Marks an engine as available soon, once its pending order is answered. */
function withPendingOrder(view: EngineView): EngineView {
  return { ...view, availableInMs: Math.max(view.availableInMs, minRemainingMs) };
}

/** Minimum observation time; shorter ones say little about rarely requested models. */
const minObservedMs: Milliseconds = 10_000;

/** Plans one service and starts the resulting moves. */
export function planService(
  context: DispatcherContext,
  service: string,
  engineShape: EngineSpec,
  epoch: Epoch,
): void {
  const { state, clock, rules } = context;
  const demand = context.demand().filter((entry) => entry.service === service);
  if (demand.length > 0) state.demandSince ??= clock.now();
  const adapterDemand = recordDemand(context, demand);
  const lastRequest = (model: string) => state.lastRequests.get(`${service} ${model}`);
  const views = engineViewsOf(context, service, engineShape);
  // Adapter orders go first: they take milliseconds, whereas a move blocks the engine for a second
  // or more.
  const idleViews = views.filter((view) => !state.pendingOrders.has(view.id));
  sendAdapterOrders(context, idleViews, adapterDemand, engineShape, epoch);
  const moves = planMoves({
    engines: views.map((view) =>
      state.pendingOrders.has(view.id) ? withPendingOrder(view) : view,
    ),
    demand: toDemandViews(demand, service, engineShape, lastRequest, clock.now()),
    models: engineShape.models,
    observedMs: Math.max(minObservedMs, clock.now() - (state.demandSince ?? clock.now())),
    storeLoadBudget: remainingStoreLoads(context, engineShape),
    rules: rules.plan,
  });
  for (const move of moves) startMove(context, move);
  if (moves.length > 0) context.notifyPeers();
}
