/** Gives the orders of the plan while this box holds the right to, and settles each before the next. */
import {
  type CancelTimer,
  clockName,
  type Kernel,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import type { Epoch, Milliseconds } from "@linkfall/types";
import { advanceMoves } from "./advance-moves.js";
import { pollDueEngines } from "./poll-engines.js";
import { endMove } from "./send-order.js";
import { createDispatcherState, type DispatcherContext, type OrderDispatcherInput } from "./dispatcher-context.js";
import { remainingMoveMs } from "./remaining-move-time.js";
import { planService } from "./plan-service.js";

export interface OrderDispatcher extends Service {
  /** Models that are about to be dropped, by engine. */
  pendingEvictions(): ReadonlyMap<string, readonly string[]>;
  /** When models are expected to be there, in milliseconds from now, by `service model`. */
  timesToReady(): Readonly<Record<string, Milliseconds>>;
  /** Looks at demand now and not at the next tick. */
  triggerCycle(): void;
}

export const orderDispatcherName = serviceName<OrderDispatcher>("order-giver");

const cycleIntervalMs: Milliseconds = 50;
/** Looks take at most about this share of the time, however large the deployment is. */
const maxCycleShare = 0.5;
/** A box that may not give orders looks less often whether it may. */
const idleIntervalMs: Milliseconds = 200;
/** The epoch of the first claim of all: nobody gave orders before it. */
const firstEpoch: Epoch = 1;

/** Begins a tenure: what another holder may have begun is counted as begun. */
function startTerm({ state, clock, configuration }: DispatcherContext, epoch: Epoch): void {
  state.epoch = epoch;
  state.termStartedAt = clock.now();
  state.activeMoves.clear();
  state.lastPolledAt.clear();
  if (epoch === firstEpoch) return;
  for (const service of configuration()?.services.values() ?? []) {
    const perSecond = service.engine?.storeLoadsPerSecond;
    if (perSecond !== undefined) state.storeLoads.assumeFull(perSecond, clock.now());
  }
}

function endTerm({ state }: DispatcherContext): void {
  state.epoch = undefined;
  state.activeMoves.clear();
}

/** One look at everything. */
function runCycle(context: DispatcherContext, epoch: Epoch): void {
  if (epoch !== context.state.epoch) startTerm(context, epoch);
  pollDueEngines(context);
  advanceMoves(context, epoch);
  for (const service of context.configuration()?.services.values() ?? []) {
    if (service.engine) planService(context, service.name, service.engine, epoch);
  }
}

/** Time until the first copy of each model on its way is there. */
function computeTimesToReady(context: DispatcherContext): Readonly<Record<string, Milliseconds>> {
  const expected: Record<string, Milliseconds> = {};
  for (const [id, work] of context.state.activeMoves) {
    const key = `${context.fleet.find(id)?.listed.service ?? ""} ${work.move.model}`;
    const leftMs = Math.round(remainingMoveMs(context, work));
    expected[key] = Math.min(expected[key] ?? Infinity, leftMs);
  }
  return expected;
}

export function createOrderDispatcher(kernel: Kernel, input: OrderDispatcherInput): OrderDispatcher {
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
    endMove(context, id, "engine gone or started again");
    state.unconfirmedAdapterOrders.delete(id);
    state.lastPolledAt.delete(id);
  });
  let stopped = false;
  let cancel: CancelTimer = () => undefined;
  /** The next look comes no sooner. */
  let notBefore = -Infinity;
  let hurrying = false;

  const lookNow = (epoch: Epoch) => {
    const before = clock.now();
    runCycle(context, epoch);
    const tookMs = clock.now() - before;
    context.metrics.observe(
      "linkfall_order_look_ms",
      "Time in which the box that gives orders does nothing else.",
      Math.round(tookMs),
    );
    notBefore = before + tookMs / maxCycleShare;
  };
  const tick = () => {
    if (stopped) return;
    hurrying = false;
    const epoch = input.lease.epoch();
    if (epoch !== undefined) lookNow(epoch);
    else if (state.epoch !== undefined) endTerm(context);
    const waitMs = epoch === undefined ? idleIntervalMs : cycleIntervalMs;
    cancel = clock.after(Math.max(waitMs, notBefore - clock.now()), tick);
  };

  return {
    pendingEvictions: () => new Map([...state.activeMoves].map(([id, work]) => [id, work.move.victims] as const)),
    timesToReady: () => computeTimesToReady(context),
    triggerCycle() {
      if (hurrying || stopped) return;
      cancel();
      const waitMs = notBefore - clock.now();
      if (waitMs <= 0) return tick();
      hurrying = true;
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
