/** What the steps of the order giver share. */
import type { Fleet, TargetView } from "@linkfall/fleet";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { ModelDemand } from "@linkfall/model-demand";
import type { OrderLease } from "@linkfall/order-lease";
import type { RoutedEnginePort } from "@linkfall/ports";
import type {
  EngineSpec,
  EngineState,
  Epoch,
  AdvertisedLimit,
  Milliseconds,
  RoutedConfiguration,
} from "@linkfall/types";
import type { PlanRules } from "@linkfall/weight-plan";
import type { ActiveMove } from "./active-move.js";
import { createStoreLoadWindow, type StoreLoadWindow } from "./store-load-window.js";

export interface DispatchRules {
  readonly plan: PlanRules;
  /** How often engines without a move are asked for their state. */
  readonly pollIntervalMs: Milliseconds;
  /** How often an engine with a move is asked. */
  readonly activePollIntervalMs: Milliseconds;
  /** After which an order that shows no effect is sent again. */
  readonly resendAfterMs: Milliseconds;
  /** After which a move is given up. */
  readonly moveTimeoutMs: Milliseconds;
}

export interface OrderDispatcherInput {
  /** Name under which engines see this box. */
  readonly self: string;
  readonly fleet: Fleet;
  readonly engines: RoutedEnginePort;
  readonly lease: OrderLease;
  readonly rules: DispatchRules;
  configuration(): RoutedConfiguration | undefined;
  /** Demand of all boxes together. */
  demand(): readonly ModelDemand[];
  /** Requests a second that a target takes; undefined where it takes any number. */
  maxRequestsPerSecond(target: string): number | undefined;
  /** Called when an engine has named a limit in its report. */
  onLimitReported(target: string, limit: AdvertisedLimit): void;
  /** Called when other boxes should hear of a change at once. */
  notifyPeers(): void;
}

/** An order about an adapter whose effect has not been seen. */
export interface UnconfirmedAdapterOrder {
  /** `model/adapter`. */
  readonly key: string;
  /** The engine has taken it when it shows more orders than this. */
  readonly sequenceBefore: number;
  readonly expiresAt: Milliseconds;
}

/** The last request of a model that is known of. */
export interface LastRequest {
  readonly at: Milliseconds;
  /** Shortest objective of those who have asked for it. */
  readonly objectiveMs: Milliseconds;
}

/** What the giver keeps while it holds the lease. */
export interface DispatcherState {
  /** Moves under way, by engine. */
  readonly activeMoves: Map<string, ActiveMove>;
  /** When each engine was asked last. */
  readonly lastPolledAt: Map<string, Milliseconds>;
  /** Engines that have not answered yet. */
  readonly pendingPolls: Set<string>;
  /** Engines that have not answered an order yet. */
  readonly pendingOrders: Set<string>;
  /** When each adapter was last waited for, by `model/adapter`. */
  readonly adapterLastUsedAt: Map<string, Milliseconds>;
  /** The last request of each model, by `service model`. */
  readonly lastRequests: Map<string, LastRequest>;
  readonly unconfirmedAdapterOrders: Map<string, UnconfirmedAdapterOrder>;
  readonly storeLoads: StoreLoadWindow;
  /** When this box first saw demand in its tenure. */
  demandSince: Milliseconds | undefined;
  epoch: Epoch | undefined;
  /** Since when this box holds that epoch. */
  termStartedAt: Milliseconds;
}

export interface DispatcherContext extends OrderDispatcherInput {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly state: DispatcherState;
}

export function createDispatcherState(): DispatcherState {
  return {
    activeMoves: new Map(),
    lastPolledAt: new Map(),
    pendingPolls: new Set(),
    pendingOrders: new Set(),
    adapterLastUsedAt: new Map(),
    lastRequests: new Map(),
    unconfirmedAdapterOrders: new Map(),
    storeLoads: createStoreLoadWindow(),
    demandSince: undefined,
    epoch: undefined,
    termStartedAt: Infinity,
  };
}

/** What the configuration says of the engine's service. */
export function engineShapeOf(context: DispatcherContext, belief: TargetView): EngineSpec | undefined {
  return context.configuration()?.services.get(belief.listed.service)?.engine;
}

/** Engines that may be given orders. */
export function orderableEngines(context: DispatcherContext): readonly TargetView[] {
  return context.fleet
    .all()
    .filter((belief) => engineShapeOf(context, belief) !== undefined && !belief.listed.leaving);
}

/**
 * What the engine has said of itself in this tenure. What it said before may be older than an order
 * of another holder, and holdings that another box told of lack what is on its way.
 */
export function stateInCurrentTerm(
  { state }: DispatcherContext,
  belief: TargetView,
): EngineState | undefined {
  if (belief.stateReadAt < state.termStartedAt || !belief.state) return undefined;
  return belief.state.sequence >= belief.holdings.sequence ? belief.state : undefined;
}

/** The order about an adapter whose effect on this engine has yet to be seen. */
export function pendingAdapterOrder(
  { state, clock }: DispatcherContext,
  belief: TargetView,
): UnconfirmedAdapterOrder | undefined {
  const pending = state.unconfirmedAdapterOrders.get(belief.listed.id);
  if (!pending || clock.now() >= pending.expiresAt) return undefined;
  return belief.holdings.sequence <= pending.sequenceBefore ? pending : undefined;
}
