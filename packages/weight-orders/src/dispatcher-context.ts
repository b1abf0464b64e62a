/** State and dependencies shared by the parts of the order dispatcher. */
import type { TargetUnreachable } from "@linkfall/errors";
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
  /** Polling interval for engines without a move. */
  readonly pollIntervalMs: Milliseconds;
  /** Polling interval for engines with a move. */
  readonly activePollIntervalMs: Milliseconds;
  /** Time after which an order without visible effect is sent again. */
  readonly resendAfterMs: Milliseconds;
  /** Time after which a move is abandoned. */
  readonly moveTimeoutMs: Milliseconds;
}

export interface OrderDispatcherInput {
  /** Name of this box in orders to engines. */
  readonly self: string;
  readonly fleet: Fleet;
  readonly engines: RoutedEnginePort;
  readonly lease: OrderLease;
  readonly rules: DispatchRules;
  configuration(): RoutedConfiguration | undefined;
  /** Total demand over all boxes. */
  demand(): readonly ModelDemand[];
  /** Returns the rate limit of a target in requests per second; undefined if unlimited. */
  maxRequestsPerSecond(target: string): number | undefined;
  /** Speed of an engine relative to the median of its service; 1 if unknown. */
  relativeSpeed(target: string): number;
  /** Called when an engine reports a limit. */
  onLimitReported(target: string, limit: AdvertisedLimit): void;
  /** Called when an engine did not answer a poll or an order. */
  onEngineUnreachable(target: string, failure: TargetUnreachable): void;
  /** Called when other boxes should be notified of a change immediately. */
  notifyPeers(): void;
}

/** An adapter order whose effect is not visible in a report yet. */
export interface UnconfirmedAdapterOrder {
  /** `model/adapter`. */
  readonly key: string;
  /** Sequence before the order; a higher one in a report shows that the order was accepted. */
  readonly sequenceBefore: number;
  readonly expiresAt: Milliseconds;
}

/** Last known request for a model. */
export interface LastRequest {
  readonly at: Milliseconds;
  /** Shortest latency objective of any request for the model. */
  readonly objectiveMs: Milliseconds;
}

/** State kept while this box holds the lease. */
export interface DispatcherState {
  /** Moves in progress, by engine. */
  readonly activeMoves: Map<string, ActiveMove>;
  /** Time of the last poll, by engine. */
  readonly lastPolledAt: Map<string, Milliseconds>;
  /** Engines with a pending poll. */
  readonly pendingPolls: Set<string>;
  /** Engines of which a poll has ended in this lease term, with or without an answer. */
  readonly polledInTerm: Set<string>;
  /** Engines with a pending order. */
  readonly pendingOrders: Set<string>;
  /** Last time that a request waited for the adapter, by `model/adapter`. */
  readonly adapterLastUsedAt: Map<string, Milliseconds>;
  /** Last request for each model, by `service model`. */
  readonly lastRequests: Map<string, LastRequest>;
  readonly unconfirmedAdapterOrders: Map<string, UnconfirmedAdapterOrder>;
  readonly storeLoads: StoreLoadWindow;
  /** Time at which demand was first observed in this lease term. */
  demandSince: Milliseconds | undefined;
  epoch: Epoch | undefined;
  /** Start of the current lease term. */
  termStartedAt: Milliseconds;
  /** Start of the newest cycle of this lease term that planned after all engines had been polled. */
  decidedAt: Milliseconds;
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
    polledInTerm: new Set(),
    pendingOrders: new Set(),
    adapterLastUsedAt: new Map(),
    lastRequests: new Map(),
    unconfirmedAdapterOrders: new Map(),
    storeLoads: createStoreLoadWindow(),
    demandSince: undefined,
    epoch: undefined,
    termStartedAt: Infinity,
    decidedAt: -Infinity,
  };
}

/** Returns the configured engine parameters of the target's service. */
export function engineShapeOf(
  context: DispatcherContext,
  target: TargetView,
): EngineSpec | undefined {
  return context.configuration()?.services.get(target.listed.service)?.engine;
}

/** Returns the engines that can receive orders. */
export function orderableEngines(context: DispatcherContext): readonly TargetView[] {
  return context.fleet
    .all()
    .filter((target) => engineShapeOf(context, target) !== undefined && !target.listed.leaving);
}

/**
 * Returns the engine state if it was reported in this lease term. Earlier reports may predate
 * orders of another lease holder, and holdings received from other boxes lack pending loads.
 */
export function stateInCurrentTerm(
  { state }: DispatcherContext,
  target: TargetView,
): EngineState | undefined {
  if (target.stateReadAt < state.termStartedAt || !target.state) return undefined;
  return target.state.sequence >= target.holdings.sequence ? target.state : undefined;
}

/** Returns the adapter order of an engine whose effect is not visible yet. */
export function pendingAdapterOrder(
  { state, clock }: DispatcherContext,
  target: TargetView,
): UnconfirmedAdapterOrder | undefined {
  const pending = state.unconfirmedAdapterOrders.get(target.listed.id);
  if (!pending || clock.now() >= pending.expiresAt) return undefined;
  return target.holdings.sequence <= pending.sequenceBefore ? pending : undefined;
}
