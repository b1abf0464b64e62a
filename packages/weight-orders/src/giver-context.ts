/** What the steps of the order giver share. */
import type { Fleet, TargetBelief } from "@linkfall/fleet";
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
import type { EngineWork } from "./engine-work.js";
import { createStoreLoadWindow, type StoreLoadWindow } from "./store-loads.js";

export interface OrderRules {
  readonly plan: PlanRules;
  /** How often engines without a move are asked for their state. */
  readonly stateMs: Milliseconds;
  /** How often an engine with a move is asked. */
  readonly busyStateMs: Milliseconds;
  /** After which an order that shows no effect is sent again. */
  readonly resendMs: Milliseconds;
  /** After which a move is given up. */
  readonly giveUpMs: Milliseconds;
}

export interface OrderGiverInput {
  /** Name under which engines see this box. */
  readonly self: string;
  readonly fleet: Fleet;
  readonly engines: RoutedEnginePort;
  readonly lease: OrderLease;
  readonly rules: OrderRules;
  configuration(): RoutedConfiguration | undefined;
  /** Demand of all boxes together. */
  demand(): readonly ModelDemand[];
  /** Requests a second that a target takes; undefined where it takes any number. */
  takesPerSecond(target: string): number | undefined;
  /** Called when an engine has named a limit in its report. */
  noteLimit(target: string, limit: AdvertisedLimit): void;
  /** Called when other boxes should hear of a change at once. */
  announce(): void;
}

/** An order about an adapter whose effect has not been seen. */
export interface AdapterOrder {
  /** `model/adapter`. */
  readonly key: string;
  /** The engine has taken it when it shows more orders than this. */
  readonly after: number;
  readonly until: Milliseconds;
}

/** The last request of a model that is known of. */
export interface LastAsked {
  readonly at: Milliseconds;
  /** Shortest objective of those who have asked for it. */
  readonly objectiveMs: Milliseconds;
}

/** What the giver keeps while it holds the lease. */
export interface GiverState {
  /** Moves under way, by engine. */
  readonly work: Map<string, EngineWork>;
  /** When each engine was asked last. */
  readonly asked: Map<string, Milliseconds>;
  /** Engines that have not answered yet. */
  readonly asking: Set<string>;
  /** Engines that have not answered an order yet. */
  readonly ordering: Set<string>;
  /** When each adapter was last waited for, by `model/adapter`. */
  readonly adapterUse: Map<string, Milliseconds>;
  /** The last request of each model, by `service model`. */
  readonly lastAsked: Map<string, LastAsked>;
  readonly adapterOrders: Map<string, AdapterOrder>;
  readonly loads: StoreLoadWindow;
  /** When this box first saw demand in its tenure. */
  watchedSince: Milliseconds | undefined;
  epoch: Epoch | undefined;
  /** Since when this box holds that epoch. */
  tenureSince: Milliseconds;
}

export interface GiverContext extends OrderGiverInput {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly state: GiverState;
}

export function createGiverState(): GiverState {
  return {
    work: new Map(),
    asked: new Map(),
    asking: new Set(),
    ordering: new Set(),
    adapterUse: new Map(),
    lastAsked: new Map(),
    adapterOrders: new Map(),
    loads: createStoreLoadWindow(),
    watchedSince: undefined,
    epoch: undefined,
    tenureSince: Infinity,
  };
}

/** What the configuration says of the engine's service. */
export function shapeOf(context: GiverContext, belief: TargetBelief): EngineSpec | undefined {
  return context.configuration()?.services.get(belief.listed.service)?.engine;
}

/** Engines that may be given orders. */
export function enginesOf(context: GiverContext): readonly TargetBelief[] {
  return context.fleet
    .all()
    .filter((belief) => shapeOf(context, belief) !== undefined && !belief.listed.leaving);
}

/**
 * What the engine has said of itself in this tenure. What it said before may be older than an order
 * of another holder, and holdings that another box told of lack what is on its way.
 */
export function stateInTenure(
  { state }: GiverContext,
  belief: TargetBelief,
): EngineState | undefined {
  if (belief.stateAt < state.tenureSince || !belief.state) return undefined;
  return belief.state.sequence >= belief.holdings.sequence ? belief.state : undefined;
}

/** The order about an adapter whose effect on this engine has yet to be seen. */
export function pendingAdapter(
  { state, clock }: GiverContext,
  belief: TargetBelief,
): AdapterOrder | undefined {
  const pending = state.adapterOrders.get(belief.listed.id);
  if (!pending || clock.now() >= pending.until) return undefined;
  return belief.holdings.sequence <= pending.after ? pending : undefined;
}
