/** Plans moves and dispatches their orders while this box holds the lease. */
import {
  type CancelTimer,
  clockName,
  type Kernel,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { timeTask } from "@linkfall/long-task";
import { metricsName } from "@linkfall/metrics";
import type { Epoch, Milliseconds } from "@linkfall/types";
import { advanceMoves } from "./advance-moves.js";
import {
  createDispatcherState,
  type DispatcherContext,
  orderableEngines,
  type OrderDispatcherInput,
} from "./dispatcher-context.js";
import { planService } from "./plan-service.js";
import { pollDueEngines } from "./poll-engines.js";
import { remainingMoveMs } from "./remaining-move-time.js";
import { endMove } from "./send-order.js";

export interface OrderDispatcher extends Service {
  /** Models about to be evicted, by engine. */
  pendingEvictions(): ReadonlyMap<string, readonly string[]>;
  /** Expected time in milliseconds until models are ready, by `service model` and by `service model version` of the engine. */
  timesToReady(): Readonly<Record<string, Milliseconds>>;
  /**
   * Time up to which demand has been considered for loads: the start of the newest cycle that planned with the
   * state of the engines; -Infinity if there was none in this lease term.
   */
  decidedAt(): Milliseconds;
  /** Runs a cycle as soon as possible instead of waiting for the next interval. */
  triggerCycle(): void;
}

export const orderDispatcherName = serviceName<OrderDispatcher>("order-dispatcher");

const cycleIntervalMs: Milliseconds = 50;
/** Maximum fraction of time spent in cycles, independent of the deployment's size. */
const maxCycleShare = 0.5;
/** Interval for checking the lease while another box holds it. */
const idleIntervalMs: Milliseconds = 200;
/** The first epoch ever; no box sent orders before it. */
const firstEpoch: Epoch = 1;

/**
 * Starts a lease term and assumes that the previous lease holder has used up the store load limit.
 */
function startTerm({ state, clock, configuration }: DispatcherContext, epoch: Epoch): void {
  state.epoch = epoch;
  state.termStartedAt = clock.now();
  state.activeMoves.clear();
  state.lastPolledAt.clear();
  state.polledInTerm.clear();
  state.decidedAt = -Infinity;
  if (epoch === firstEpoch) return;
  for (const service of configuration()?.services.values() ?? []) {
    const perSecond = service.engine?.storeLoadsPerSecond;
    if (perSecond !== undefined) state.storeLoads.assumeFull(perSecond, clock.now());
  }
}

function endTerm({ state }: DispatcherContext): void {
  state.epoch = undefined;
  state.activeMoves.clear();
  state.decidedAt = -Infinity;
}

/** Runs one cycle of polling, advancing moves and planning. */
function runCycle(context: DispatcherContext, epoch: Epoch): void {
  const { state, clock } = context;
  const startedAt = clock.now();
  if (epoch !== state.epoch) startTerm(context, epoch);
  timeTask(context, "poll engines", () => pollDueEngines(context));
  timeTask(context, "advance moves", () => advanceMoves(context, epoch));
  for (const service of context.configuration()?.services.values() ?? []) {
    const { engine } = service;
    if (engine)
      timeTask(context, "plan moves", () => planService(context, service.name, engine, epoch));
  }
  const allPolled = orderableEngines(context).every(({ listed }) =>
    state.polledInTerm.has(listed.id),
  );
  if (allPolled) state.decidedAt = startedAt;
}

/** Returns the time until the first replica of each model being loaded is ready. */
function computeTimesToReady(context: DispatcherContext): Readonly<Record<string, Milliseconds>> {
  const timesToReady: Record<string, Milliseconds> = {};
  for (const [id, activeMove] of context.state.activeMoves) {
    const listed = context.fleet.find(id)?.listed;
    const key = `${listed?.service ?? ""} ${activeMove.move.model}`;
    const remainingMs = Math.round(remainingMoveMs(context, activeMove));
    for (const name of [key, `${key} ${listed?.softwareVersion ?? ""}`])
      timesToReady[name] = Math.min(timesToReady[name] ?? Infinity, remainingMs);
  }
  return timesToReady;
}

export function createOrderDispatcher(
  kernel: Kernel,
  input: OrderDispatcherInput,
): OrderDispatcher {
  const clock = kernel.find(clockName);
  const context: DispatcherContext = {
    ...input,
    clock,
    logger: kernel.find(loggerName),
    metrics: kernel.find(metricsName),
    state: createDispatcherState(),
  };
  const { state } = context;
  input.fleet.onIncarnationEnded((id) => {
    endMove(context, id, "engine removed or restarted");
    state.unconfirmedAdapterOrders.delete(id);
    state.lastPolledAt.delete(id);
    state.polledInTerm.delete(id);
  });
  let stopped = false;
  let cancel: CancelTimer = () => undefined;
  /** Earliest time of the next cycle. */
  let nextCycleAt = -Infinity;
  let triggered = false;

  const runTimedCycle = (epoch: Epoch) => {
    const startedAt = clock.now();
    runCycle(context, epoch);
    const tookMs = clock.now() - startedAt;
    context.metrics.observe(
      "linkfall_order_look_ms",
      "Duration of one planning and dispatch cycle in milliseconds.",
      Math.round(tookMs),
    );
    nextCycleAt = startedAt + tookMs / maxCycleShare;
  };
  const tick = () => {
    if (stopped) return;
    triggered = false;
    const epoch = input.lease.epoch();
    if (epoch !== undefined) runTimedCycle(epoch);
    else if (state.epoch !== undefined) endTerm(context);
    const waitMs = epoch === undefined ? idleIntervalMs : cycleIntervalMs;
    cancel = clock.after(Math.max(waitMs, nextCycleAt - clock.now()), tick);
  };

  return {
    pendingEvictions: () =>
      new Map(
        [...state.activeMoves].map(([id, activeMove]) => [id, activeMove.move.victims] as const),
      ),
    timesToReady: () => computeTimesToReady(context),
    decidedAt: () => state.decidedAt,
    triggerCycle() {
      if (triggered || stopped) return;
      cancel();
      const waitMs = nextCycleAt - clock.now();
      if (waitMs <= 0) return tick();
      triggered = true;
      cancel = clock.after(waitMs, tick);
    },
    async start() {
      tick();
    },
    async stop() {
      stopped = true;
      cancel();
    },
  };
}
